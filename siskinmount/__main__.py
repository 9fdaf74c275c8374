"""Starts the command that the command line names."""

import sys

from siskinmount import _process_guard
from siskinmount import commands


def main() -> None:
    """Runs a command and ends the process with its exit status."""
    _process_guard.refuse_child_processes()
    sys.exit(int(commands.run_command_line(sys.argv)))


if __name__ == '__main__':
    main()
