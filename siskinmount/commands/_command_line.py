"""Dispatches a command line to a subcommand."""

import importlib
import sys
import traceback
from typing import TextIO

from absl import flags

import siskinmount
from siskinmount import results
from siskinmount.commands import _command
from siskinmount.commands import _exit_status

_PROGRAM = 'siskinmount'
_HELP_ARGUMENTS = ('--help', '-h', 'help')


#: Commands in the order of the help text. The module of `x y` is
#: `_x_y_command`. A module is imported only when its command is run, since
#: unused modules increase the memory of a daemon.
_COMMAND_NAMES = (
    'entry',
    'sidecar',
    'gateway',
    'check',
    'publish',
    'diff',
    'status',
    'jobs',
    'report burn',
)


def create_commands() -> list[_command.Command]:
    """Returns all commands in the order of the help text."""
    return [_create_command(name) for name in _COMMAND_NAMES]


def _create_command(name: str) -> _command.Command:
    """Imports and returns one command."""
    word = name.replace(' ', '_')
    module = importlib.import_module(f'siskinmount.commands._{word}_command')
    return getattr(module, f'create_{word}_command')()


def run_command_line(
    arguments: list[str],
    output: TextIO | None = None,
    errors: TextIO | None = None,
) -> _exit_status.ExitStatus:
    """Runs the command given by the arguments.

    Args:
        arguments: Name of the program, followed by its arguments.
        output: Receives results; standard output by default.
        errors: Receives errors; standard error by default.
    """
    output = output or sys.stdout
    errors = errors or sys.stderr
    words = arguments[1:]
    if words and words[0] in _HELP_ARGUMENTS:
        output.write(_describe_program(create_commands()))
        return _exit_status.ExitStatus.OK
    if words and words[0] == '--version':
        output.write(f'{_PROGRAM} {siskinmount.VERSION}\n')
        return _exit_status.ExitStatus.OK
    command = _find_command(words)
    if command is None:
        errors.write(_describe_program(create_commands()))
        return _report_usage_error(
            errors, 'no such command: ' + ' '.join(words[:2])
        )
    rest = words[len(command.name.split()) :]
    return _run_command(command, rest, output, errors)


def _find_command(words: list[str]) -> _command.Command | None:
    for name in _COMMAND_NAMES:
        name_words = name.split()
        if words[: len(name_words)] == name_words:
            return _create_command(name)
    return None


def _run_command(
    command: _command.Command,
    words: list[str],
    output: TextIO,
    errors: TextIO,
) -> _exit_status.ExitStatus:
    """Parses a command's flags and runs it."""
    flag_values = flags.FlagValues()
    flag_values.set_gnu_getopt()
    flags.DEFINE_bool('help', False, 'Show this help.', flag_values=flag_values)
    command.define_flags(flag_values)
    try:
        rest = flag_values([_PROGRAM, *words])[1:]
    except flags.Error as error:
        return _report_usage_error(errors, str(error))
    if flag_values['help'].value:
        output.write(_describe_command(command, flag_values))
        return _exit_status.ExitStatus.OK
    if len(rest) != len(command.argument_names):
        expected = ' '.join(command.argument_names) or 'no arguments'
        return _report_usage_error(errors, f'{command.name} takes {expected}')
    invocation = _command.Invocation(flag_values, rest, output, errors)
    try:
        return command.run(invocation)
    except Exception:
        code = results.ResultCode.INTERNAL
        errors.write(traceback.format_exc())
        errors.write(f'{_PROGRAM}: {int(code)} {code.name}\n')
        return _exit_status.ExitStatus.INTERNAL


def _report_usage_error(errors: TextIO, reason: str) -> _exit_status.ExitStatus:
    code = results.ResultCode.USAGE
    errors.write(f'{_PROGRAM}: {reason} ({int(code)} {code.name})\n')
    return _exit_status.ExitStatus.USAGE


def _describe_program(commands: list[_command.Command]) -> str:
    lines = [f'usage: {_PROGRAM} COMMAND [FLAGS] [ARGUMENTS]', '', 'commands:']
    for command in commands:
        words = ' '.join((command.name, *command.argument_names))
        lines.append(f'  {words:<16} {command.summary}')
    lines.append('')
    lines.append(f'{_PROGRAM} COMMAND --help shows the flags of a command.')
    return '\n'.join(lines) + '\n'


def _describe_command(
    command: _command.Command, flag_values: flags.FlagValues
) -> str:
    words = ' '.join((command.name, *command.argument_names))
    lines = [f'usage: {_PROGRAM} {words} [FLAGS]', '', command.summary, '']
    lines.append('flags:')
    for name in sorted(flag_values):
        flag = flag_values[name]
        lines.append(f'  --{name}: {flag.help}')
        if flag.default:
            lines.append(f'      default: {flag.default}')
    return '\n'.join(lines) + '\n'
