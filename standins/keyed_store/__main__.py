"""Runs the store as a process; the argument is the address to listen on."""

import sys

from standins import faults as faults_module
from standins import serving
from standins.keyed_store import _keyed_store


def main() -> None:
    """Serves until SIGTERM."""
    faults = faults_module.Faults()
    store = _keyed_store.create_keyed_store(faults)
    serving.run_process(
        sys.argv[1], store.handle, faults, (store.run_late_appends,)
    )


if __name__ == '__main__':
    main()
