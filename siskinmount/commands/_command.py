"""What a command of the program consists of."""

from collections.abc import Callable
from typing import TextIO

from absl import flags

from siskinmount.commands import _exit_status


class Invocation:
    """What a command is run with.

    Attributes:
        flag_values: Parsed flags of the command.
        arguments: Arguments that are no flags.
        output: Where results are written.
        errors: Where complaints are written.
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
        """Writes one line of the result."""
        self.output.write(line + '\n')

    def write_error(self, line: str) -> None:
        """Writes one line of complaint."""
        self.errors.write(line + '\n')


class Command:
    """One command.

    Attributes:
        name: Words of the command, such as `check` or `report burn`.
        argument_names: Names of the arguments that are no flags, all required.
        summary: One sentence on what the command does.
        define_flags: Adds the command's flags.
        run: Does the work.
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
