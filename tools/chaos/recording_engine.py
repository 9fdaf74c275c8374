"""Runs an engine that prints each started request for the checker."""

import time

from absl import app
from absl import flags
import orjson

from standins import engine
from standins import faults as faults_module
from standins import serving

_ADDRESS = flags.DEFINE_string(
    'address', '127.0.0.1:0', 'Address to listen on.'
)
_MODEL = flags.DEFINE_string(
    'model', 'model', 'Model that is loaded at startup.'
)


class _RecordingStarts:
    """Prints each request, then adds it to the wrapped record of the engine."""

    __slots__ = ('_inner',)

    def __init__(self, inner: object) -> None:
        self._inner = inner

    def add(self, request: object) -> None:
        """Prints and records a request."""
        content = request.request.content
        line = {
            'started': engine.fingerprint_content(content),
            'at_s': time.monotonic(),
        }
        print(orjson.dumps(line).decode('ascii'), flush=True)
        self._inner.add(request)

    def __getattr__(self, name: str) -> object:
        return getattr(self._inner, name)


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    faults = faults_module.Faults()
    standin = engine.create_engine(
        engine.EngineSettings(), faults, model=_MODEL.value, version='1'
    )
    standin.started = _RecordingStarts(standin.started)
    serving.run_process(
        _ADDRESS.value,
        standin.handle,
        faults,
        (standin.loop.run, standin.orders.run, standin.sample_load),
    )


if __name__ == '__main__':
    app.run(main)
