"""Starts the command that the command line names."""

import sys

from siskinmount import commands


def main() -> None:
    """Runs a command and ends the process with its exit status."""
    sys.exit(int(commands.run_command_line(sys.argv)))


if __name__ == '__main__':
    main()
