"""Runs an engine as a process."""

from absl import app
from absl import flags

from siskinmount import results
from siskinmount import transport
from standins import engine
from standins import faults as faults_module
from standins import serving

_ADDRESS = flags.DEFINE_string('address', '127.0.0.1:0', 'Where to listen.')
_MODEL = flags.DEFINE_string('model', 'model', 'Model loaded at the start.')
_VERSION = flags.DEFINE_string('model_version', '1', 'Version of the model.')
_WEIGHT_STORE = flags.DEFINE_string(
    'weight_store', '', 'Address of the weight store; empty for none.'
)
_DEFAULTS = engine.EngineSettings()
_SETTING_FLAGS = []


def _define_setting_flags() -> None:
    """Defines a flag for each field of `EngineSettings`."""
    for name in engine.EngineSettings.__slots__:
        default = getattr(_DEFAULTS, name)
        define = {
            bool: flags.DEFINE_bool,
            int: flags.DEFINE_integer,
            float: flags.DEFINE_float,
            str: flags.DEFINE_string,
        }[type(default)]
        _SETTING_FLAGS.append(define(name, default, f'Setting {name}.'))


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    settings = engine.EngineSettings(
        **{holder.name: holder.value for holder in _SETTING_FLAGS}
    )
    faults = faults_module.Faults()
    weight_store: transport.HttpClient | None = None
    if _WEIGHT_STORE.value:
        address = transport.parse_address(_WEIGHT_STORE.value)
        if isinstance(address, results.Failure):
            raise SystemExit(address.reason)
        weight_store = transport.create_http_client(address)
    standin = engine.create_engine(
        settings,
        faults,
        model=_MODEL.value,
        version=_VERSION.value,
        weight_store=weight_store,
    )
    serving.run_process(
        _ADDRESS.value,
        standin.handle,
        faults,
        (standin.loop.run, standin.orders.run, standin.sample_load),
    )


_define_setting_flags()

if __name__ == '__main__':
    app.run(main)
