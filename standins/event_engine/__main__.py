"""Runs the engine as a process.

Arguments: the address to listen on and the id of the engine.
"""

import sys

from standins import faults as faults_module
from standins import serving
from standins.event_engine import _event_engine


def main() -> None:
    """Serves until SIGTERM."""
    engine = _event_engine.create_event_engine(
        sys.argv[2], event_count=25, event_interval_ms=28
    )
    serving.run_process(sys.argv[1], engine.handle, faults_module.Faults())


if __name__ == '__main__':
    main()
