"""Runs a log service as a process."""

from absl import app
from absl import flags

from standins import faults as faults_module
from standins import log_service
from standins import serving

_ADDRESS = flags.DEFINE_string('address', '127.0.0.1:0', 'Where to listen.')
_RETENTION_MS = flags.DEFINE_integer(
    'retention_ms', 0, 'Age at which records expire; 0 for no bound.'
)
_RETENTION_RECORDS = flags.DEFINE_integer(
    'retention_records', 0, 'Records kept in each stream; 0 for no bound.'
)
_APPENDS_PER_S = flags.DEFINE_float(
    'appends_per_s', 400.0, 'Sustained rate of appends over all streams.'
)
_APPEND_BURST = flags.DEFINE_integer(
    'append_burst', 100, 'Appends allowed above the rate at once.'
)


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    service = log_service.create_log_service(
        retention_ms=_RETENTION_MS.value,
        retention_records=_RETENTION_RECORDS.value,
        appends_per_s=_APPENDS_PER_S.value,
        append_burst=_APPEND_BURST.value,
    )
    serving.run_process(_ADDRESS.value, service.handle, faults_module.Faults())


if __name__ == '__main__':
    app.run(main)
