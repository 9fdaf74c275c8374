"""Runs a plain service as a process."""

from absl import app
from absl import flags

from standins import faults as faults_module
from standins import plain_service
from standins import serving

_ADDRESS = flags.DEFINE_string('address', '127.0.0.1:0', 'Where to listen.')
_DELAY_MS = flags.DEFINE_integer('delay_ms', 0, 'Wait before each effect.')


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    service = plain_service.create_plain_service(_DELAY_MS.value)
    serving.run_process(_ADDRESS.value, service.handle, faults_module.Faults())


if __name__ == '__main__':
    app.run(main)
