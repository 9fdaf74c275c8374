"""Entry point of `python -m siskinmount`."""

import sys

from siskinmount import _process_guard
from siskinmount import _reload_signal


def main() -> None:
    """Runs the requested command and exits with its status."""
    _process_guard.forbid_child_processes()
    _reload_signal.hold(sys.argv)
    # Imported here, as imports are most of the time before a signal is handled.
    from siskinmount import commands

    sys.exit(int(commands.run_command_line(sys.argv)))


if __name__ == '__main__':
    main()
