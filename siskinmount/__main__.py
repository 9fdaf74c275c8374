"""Entry point of `python -m siskinmount`."""

import sys

from siskinmount import _process_guard
from siskinmount import commands


def main() -> None:
    """Runs the requested command and exits with its status."""
    _process_guard.forbid_child_processes()
    sys.exit(int(commands.run_command_line(sys.argv)))


if __name__ == '__main__':
    main()
