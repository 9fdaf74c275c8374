"""Runs a plain service that prints each effect for the checker."""

import collections

from absl import app
from absl import flags
import orjson

from standins import faults as faults_module
from standins import plain_service
from standins import serving

_ADDRESS = flags.DEFINE_string(
    'address', '127.0.0.1:0', 'Address to listen on.'
)


class _RecordingEffects(collections.deque):
    """Prints each effect before its call is answered."""

    def append(self, effect: object) -> None:
        """Prints and records an effect."""
        line = {'effect': effect.key}
        print(orjson.dumps(line).decode('utf-8'), flush=True)
        super().append(effect)


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    service = plain_service.create_plain_service()
    service.effects = _RecordingEffects(maxlen=service.effects.maxlen)
    serving.run_process(_ADDRESS.value, service.handle, faults_module.Faults())


if __name__ == '__main__':
    app.run(main)
