"""`siskinmount gateway`: runs an entry's daemon on the users' platform."""

import logging
import os
import sys

from absl import flags
import trio

from siskinmount import configuration
from siskinmount import gateway
from siskinmount import platform
from siskinmount import results
from siskinmount import telemetry
from siskinmount.commands import _command
from siskinmount.commands import _exit_status
from siskinmount.commands import _validation_report

_LOGGER = logging.getLogger(__name__)

_ROLE = 'gateway'
SETTINGS_VARIABLE = 'SISKINMOUNT_SETTINGS'
MEMBERS_TOPIC = 'keyed.siskinmount-members'
JOBS_TOPIC = 'keyed.siskinmount-jobs'
QUARANTINE_TOPIC = 'keyed.siskinmount-quarantine'
VERSIONS_TOPIC = 'keyed.siskinmount-versions'
ORIGINS_TOPIC = 'keyed.siskinmount-origins'


def create_gateway_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='gateway',
        summary="Runs the daemon of an entry VM on the users' platform.",
        define_flags=_define_flags,
        run=_run,
    )


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        'settings',
        None,
        'INI file with the settings of the daemon; by default the file that'
        f' {SETTINGS_VARIABLE} names.',
        flag_values=flag_values,
    )


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    path = invocation.flag_values['settings'].value
    path = path or os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        invocation.write_error('--settings FILE is required')
        return _exit_status.ExitStatus.USAGE
    handler = telemetry.create_bounded_handler(sys.stdout.fileno())
    settings = configuration.load_gateway_settings(path)
    if isinstance(settings, list):
        telemetry.configure_logging('info', '', _ROLE, '', handler)
        _validation_report.log_settings_faults(settings)
        return _exit_status.ExitStatus.SETTINGS_INVALID
    telemetry.configure_logging(
        settings.log_level.value,
        settings.vm,
        _ROLE,
        settings.failure_domain,
        handler,
    )
    try:
        trio.run(_run_gateway, settings, path, handler)
    except Exception:
        _LOGGER.exception(
            'daemon_failed', extra={'code': int(results.ResultCode.INTERNAL)}
        )
        return _exit_status.ExitStatus.INTERNAL
    return _exit_status.ExitStatus.OK


async def _run_gateway(
    settings: configuration.GatewaySettings,
    path: str,
    handler: telemetry.BoundedHandler,
) -> None:
    """Connects the gateway to the platform's services and runs it."""
    metrics = telemetry.create_metrics()
    store = platform.create_store(settings.store_address, metrics)
    outside = gateway.OutsideServices(
        document_log=store.open_log(platform.DOCUMENT_TOPIC, 0),
        upstreams_log=store.open_log(platform.UPSTREAMS_TOPIC, 0),
        members_log=store.open_log(MEMBERS_TOPIC, 0),
        jobs_log=store.open_log(JOBS_TOPIC, 0),
        quarantine_log=store.open_log(QUARANTINE_TOPIC, 0),
        versions_log=store.open_log(VERSIONS_TOPIC, 0),
        origins_log=store.open_log(ORIGINS_TOPIC, 0),
        wire=platform.create_wire(),
        decode_document=platform.decode_document,
        decode_upstream=platform.decode_upstream,
    )

    def reload_settings() -> configuration.GatewaySettings | None:
        loaded = configuration.load_gateway_settings(path)
        if isinstance(loaded, list):
            _validation_report.log_settings_faults(loaded)
            return None
        return loaded

    daemon = gateway.create_gateway(
        settings, reload_settings, outside, metrics, handler
    )
    await daemon.run()
