"""Runs a weight store as a process."""

from absl import app
from absl import flags

from standins import faults as faults_module
from standins import serving
from standins import weight_store

_ADDRESS = flags.DEFINE_string('address', '127.0.0.1:0', 'Where to listen.')
_SIZE_BYTES = flags.DEFINE_integer(
    'size_bytes', 4 * 1024 * 1024, "Size of each model's weights."
)
_BYTES_PER_S = flags.DEFINE_integer(
    'bytes_per_s', 16 * 1024 * 1024, 'Rate of all readers together.'
)
_MAX_READERS = flags.DEFINE_integer(
    'max_readers', 2, 'Readers at once; further ones are refused.'
)


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    store = weight_store.create_weight_store(
        size_bytes=_SIZE_BYTES.value,
        bytes_per_s=_BYTES_PER_S.value,
        max_readers=_MAX_READERS.value,
    )
    serving.run_process(_ADDRESS.value, store.handle, faults_module.Faults())


if __name__ == '__main__':
    app.run(main)
