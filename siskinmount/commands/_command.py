"""Interface between the command line and its subcommands."""

from collections.abc import Callable
from typing import TextIO

from absl import flags

from siskinmount.commands import _exit_status


class Invocation:
    """Parsed command line and output streams of one run of a command.

    Attributes:
        flag_values: Parsed flags of the command.
        arguments: Positional arguments.
        output: Where results are written.
        errors: Where errors are written.
    """

    __slots__ = ('flag_values', 'arguments', 'output', 'errors')

    def __init__(
        self,
        flag_values: flags.FlagValues,
        arguments: list[str],
        output: TextIO,
        errors: TextIO,
    ) -> None:
        self.flag_values = flag_values
        self.arguments = arguments
        self.output = output
        self.errors = errors

    def write_line(self, line: str) -> None:
        """Writes a line to `output`."""
        self.output.write(line + '\n')

    def write_error(self, line: str) -> None:
        """Writes a line to `errors`."""
        self.errors.write(line + '\n')


class Command:
    """One subcommand.

    Attributes:
        name: Words of the command, such as `check` or `report burn`.
        argument_names: Names of the positional arguments, all required.
        summary: One sentence for the help text.
        define_flags: Adds the command's flags.
        run: Executes the command and returns its exit status.
    """

    __slots__ = ('name', 'argument_names', 'summary', 'define_flags', 'run')

    def __init__(
        self,
        *,
        name: str,
        summary: str,
        run: Callable[[Invocation], _exit_status.ExitStatus],
        define_flags: Callable[[flags.FlagValues], None],
        argument_names: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.argument_names = argument_names
        self.summary = summary
        self.define_flags = define_flags
        self.run = run
