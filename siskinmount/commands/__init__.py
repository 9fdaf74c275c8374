"""The commands of the program, one a file."""

from siskinmount.commands._command_line import create_commands
from siskinmount.commands._command_line import run_command_line
from siskinmount.commands._exit_status import ExitStatus
