"""Reports validation errors of service documents and of settings."""

import logging

import orjson

from siskinmount import configuration
from siskinmount import results
from siskinmount.commands import _command

_LOGGER = logging.getLogger(__name__)


def write_document_faults(
    invocation: _command.Invocation,
    path: str,
    faults: list[configuration.DocumentFault],
) -> None:
    """Writes the validation errors of a service document."""
    code = results.ResultCode.DOCUMENT_INVALID
    if invocation.flag_values['json'].value:
        document = {
            'valid': False,
            'code': int(code),
            'name': code.name,
            'faults': [_to_json(fault) for fault in faults],
        }
        invocation.write_line(orjson.dumps(document).decode())
        return
    for fault in faults:
        invocation.write_line(f'{path}: {fault}')
    invocation.write_line(
        f'{path}: invalid, {len(faults)} faults ({int(code)} {code.name})'
    )


def log_settings_faults(faults: list[configuration.DocumentFault]) -> None:
    """Logs the validation errors of a daemon's settings."""
    for fault in faults:
        _LOGGER.error(
            'settings_fault',
            extra={
                'code': int(results.ResultCode.SETTINGS_INVALID),
                **_to_json(fault),
            },
        )


def _to_json(fault: configuration.DocumentFault) -> dict[str, str | int]:
    return {
        'section': fault.section,
        'key': fault.key,
        'line': fault.line,
        'expected': fault.expected,
        'found': fault.found,
    }
