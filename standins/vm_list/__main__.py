"""Runs a VM list as a process."""

from absl import app
from absl import flags

from standins import faults as faults_module
from standins import serving
from standins import vm_list

_ADDRESS = flags.DEFINE_string('address', '127.0.0.1:0', 'Where to listen.')
_LAG_MS = flags.DEFINE_integer('lag_ms', 0, 'Delay until a change is visible.')


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    standin = vm_list.create_vm_list(_LAG_MS.value)
    serving.run_process(_ADDRESS.value, standin.handle, faults_module.Faults())


if __name__ == '__main__':
    app.run(main)
