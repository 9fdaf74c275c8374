"""The subcommands of the program, one module each."""

from siskinmount.commands._command_line import create_commands
from siskinmount.commands._command_line import run_command_line
from siskinmount.commands._exit_status import ExitStatus
