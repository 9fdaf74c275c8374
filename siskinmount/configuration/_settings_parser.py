"""Parses and validates the settings of the daemons."""

import pathlib

from siskinmount import transport
from siskinmount.configuration import _daemon_settings
from siskinmount.configuration import _document_fault
from siskinmount.configuration import _gateway_settings
from siskinmount.configuration import _ini_text
from siskinmount.configuration import _section_reader

_MAX_STREAMS = 256
_MIN_RETENTION_S = 10
_MAX_RETENTION_S = 31_536_000
_MAX_RETENTION_RECORDS = 1_000_000_000
_MAX_SLOTS = 4096
_MAX_BYTES = 1 << 30
_MAX_DURATION_MS = 3_600_000
_MAX_CONNECTIONS = 1_000_000
_MAX_PORT = 65_535
_DEFAULT_HEARTBEAT_MS = 1200
_MAX_GRACE_S = 3600
_MAX_WINDOW_S = 3600
_MAX_SLACK_REQUESTS = 1_000_000
_MAX_MEMORY_MB = 1 << 20
_MIB = 1 << 20
_MAX_LINK_MBPS = 1_000_000
_MAX_DESCRIPTORS = 1 << 24

_ENTRY_SECTIONS = ('daemon', 'platform', 'state', 'seeds', 'limits')
_SIDECAR_SECTIONS = ('daemon', 'platform', 'upstream', 'gate', 'seeds')
_GATEWAY_SECTIONS = ('daemon', 'store', 'seeds', 'keys', 'quotas', 'limits')
_OPTIONAL_SECTIONS = ('state', 'limits', 'gate', 'keys', 'quotas')

SettingsFaults = list[_document_fault.DocumentFault]


def load_entry_settings(
    path: str,
) -> _daemon_settings.EntrySettings | SettingsFaults:
    """Reads an entry's settings from a file, or returns all faults."""
    text = _read_file(path)
    if isinstance(text, list):
        return text
    return parse_entry_settings(text)


def load_sidecar_settings(
    path: str,
) -> _daemon_settings.SidecarSettings | SettingsFaults:
    """Reads a sidecar's settings from a file, or returns all faults."""
    text = _read_file(path)
    if isinstance(text, list):
        return text
    return parse_sidecar_settings(text)


def load_gateway_settings(
    path: str,
) -> _gateway_settings.GatewaySettings | SettingsFaults:
    """Reads a gateway's settings from a file, or returns all faults."""
    text = _read_file(path)
    if isinstance(text, list):
        return text
    return parse_gateway_settings(text)


def parse_gateway_settings(
    text: str,
) -> _gateway_settings.GatewaySettings | SettingsFaults:
    """Parses and validates the text of a gateway's settings."""
    source = _SettingsSections(text, _GATEWAY_SECTIONS)
    daemon = source.get_reader('daemon')
    store = source.get_reader('store')
    keys = source.get_reader('keys')
    quotas = source.get_reader('quotas')
    limits = source.get_reader('limits')
    for reader in (keys, quotas, limits):
        reader.ignore_empty_values()
    settings = _gateway_settings.GatewaySettings(
        vm=daemon.read_text('vm'),
        region=daemon.read_text('region'),
        failure_domain=daemon.read_text('failure_domain'),
        log_level=daemon.read_choice(
            'log_level',
            _daemon_settings.LogLevel,
            _daemon_settings.LogLevel.INFO,
        ),
        callers_address=daemon.read_address('callers_address'),
        ready_address=daemon.read_address('ready_address'),
        control_address=daemon.read_address('control_address'),
        metrics_address=daemon.read_address('metrics_address'),
        peers_port=daemon.read_int('peers_port', 1, _MAX_PORT),
        store_address=store.read_address('address'),
        max_record_bytes=store.read_int('max_record_bytes', 1024, _MAX_BYTES),
        max_call_bytes=store.read_int('max_call_bytes', 1024, _MAX_BYTES),
        upstream_heartbeat_ms=_read_timeout(
            store, 'upstream_heartbeat_ms', _DEFAULT_HEARTBEAT_MS
        ),
        stop_grace_s=daemon.read_float('stop_grace_s', 0, _MAX_GRACE_S),
        results_kept_s=daemon.read_float('results_kept_s', 0, _MAX_RETENTION_S),
        seeds=source.get_reader('seeds').read_addresses('addresses'),
        strict_revocation=keys.read_bool('strict_revocation', False),
        key_max_age_ms=_read_timeout(
            keys, 'max_age_ms', _gateway_settings.DEFAULT_KEY_MAX_AGE_MS
        ),
        quota_window_s=quotas.read_float(
            'window_s',
            0.1,
            _MAX_WINDOW_S,
            _gateway_settings.DEFAULT_QUOTA_WINDOW_S,
        ),
        quota_excess_share=quotas.read_float(
            'excess_share',
            0,
            1,
            _gateway_settings.DEFAULT_QUOTA_EXCESS_SHARE,
        ),
        quota_slack_requests=quotas.read_int(
            'slack_requests',
            0,
            _MAX_SLACK_REQUESTS,
            _gateway_settings.DEFAULT_QUOTA_SLACK_REQUESTS,
        ),
        memory_bytes=limits.read_int('memory_mb', 0, _MAX_MEMORY_MB, 0) * _MIB,
        max_descriptors=limits.read_int(
            'max_descriptors', 0, _MAX_DESCRIPTORS, 0
        ),
        link_mbps=int(limits.read_float('link_mbps', 0, _MAX_LINK_MBPS, 0)),
    )
    faults = source.collect_faults()
    return faults or settings


def parse_entry_settings(
    text: str,
) -> _daemon_settings.EntrySettings | SettingsFaults:
    """Parses and validates the text of an entry's settings."""
    source = _SettingsSections(text, _ENTRY_SECTIONS)
    daemon = source.get_reader('daemon')
    settings = _daemon_settings.EntrySettings(
        identity=_read_identity(source),
        callers_address=daemon.read_address('callers_address'),
        stream_count=source.get_reader('state').read_int(
            'stream_count', 1, _MAX_STREAMS, 4
        ),
        log_retention_s=source.get_reader('platform').read_int(
            'log_retention_s', _MIN_RETENTION_S, _MAX_RETENTION_S, 86_400
        ),
        log_retention_records=source.get_reader('platform').read_int(
            'log_retention_records', 0, _MAX_RETENTION_RECORDS, 0
        ),
        limits=_read_limits(source.get_reader('limits')),
    )
    faults = source.collect_faults()
    return faults or settings


def parse_sidecar_settings(
    text: str,
) -> _daemon_settings.SidecarSettings | SettingsFaults:
    """Parses and validates the text of a sidecar's settings."""
    source = _SettingsSections(text, _SIDECAR_SECTIONS)
    upstream = source.get_reader('upstream')
    gate = source.get_reader('gate')
    settings = _daemon_settings.SidecarSettings(
        identity=_read_identity(source),
        service=upstream.read_text('service'),
        upstream_address=upstream.read_address('address'),
        orders_fenced=upstream.read_bool('orders_fenced', False),
        gate_policy=gate.read_choice(
            'gate_policy',
            _daemon_settings.GatePolicy,
            _daemon_settings.GatePolicy.ONLINE_FIRST,
        ),
        slots=_read_optional_slots(gate, 'slots'),
        online_slots=_read_optional_slots(gate, 'online_slots'),
    )
    _check_static_split(gate, settings)
    faults = source.collect_faults()
    return faults or settings


class _SettingsSections:
    """The sections of a settings file and the faults found so far."""

    __slots__ = ('_faults', '_readers')

    def __init__(self, text: str, section_names: tuple[str, ...]) -> None:
        ini_text = _ini_text.read_ini_text(text)
        self._faults = list(ini_text.faults)
        self._readers: dict[str, _section_reader.SectionReader] = {}
        for section in ini_text.sections:
            reader = _section_reader.SectionReader(section, self._faults)
            if section.header in section_names:
                self._readers[section.header] = reader
                continue
            reader.add_fault(
                '',
                _section_reader.suggest_names(
                    'the section', section.header, section_names
                ),
                'an unknown section',
            )
        self._report_missing_sections(section_names)

    def get_reader(self, name: str) -> _section_reader.SectionReader:
        """Returns the reader of a section, empty if the section is missing."""
        reader = self._readers.get(name)
        if reader is not None:
            return reader
        # A missing section is one fault; its keys are not reported as well.
        return _section_reader.SectionReader(_ini_text.IniSection(name, 0), [])

    def collect_faults(self) -> SettingsFaults:
        """Returns all faults, sorted by line."""
        for reader in self._readers.values():
            reader.reject_unknown_keys()
        return sorted(self._faults, key=_get_line)

    def _report_missing_sections(self, section_names: tuple[str, ...]) -> None:
        for name in section_names:
            if name in self._readers or name in _OPTIONAL_SECTIONS:
                continue
            self._faults.append(
                _document_fault.DocumentFault(
                    section=name,
                    key='',
                    line=0,
                    expected='this required section',
                    found='nothing',
                )
            )


def _get_line(fault: _document_fault.DocumentFault) -> int:
    return fault.line


def _read_file(path: str) -> str | SettingsFaults:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        return [
            _document_fault.DocumentFault(
                section='',
                key='',
                line=0,
                expected=f'a readable UTF-8 file {path}',
                found=str(error),
            )
        ]


def _read_identity(
    source: _SettingsSections,
) -> _daemon_settings.DaemonIdentity:
    daemon = source.get_reader('daemon')
    platform = source.get_reader('platform')
    seeds = source.get_reader('seeds')
    return _daemon_settings.DaemonIdentity(
        vm=daemon.read_text('vm'),
        region=daemon.read_text('region'),
        failure_domain=daemon.read_text('failure_domain'),
        log_level=daemon.read_choice(
            'log_level',
            _daemon_settings.LogLevel,
            _daemon_settings.LogLevel.INFO,
        ),
        peers_address=daemon.read_address('peers_address'),
        control_address=daemon.read_address('control_address'),
        log_address=platform.read_address('log_address'),
        vm_list_address=platform.read_address('vm_list_address'),
        seeds=seeds.read_addresses('entries'),
    )


def _read_limits(
    reader: _section_reader.SectionReader,
) -> transport.ServerLimits:
    defaults = transport.ServerLimits()
    return transport.ServerLimits(
        max_header_bytes=reader.read_int(
            'max_header_bytes', 1024, _MAX_BYTES, defaults.max_header_bytes
        ),
        max_body_bytes=reader.read_int(
            'max_body_bytes', 1024, _MAX_BYTES, defaults.max_body_bytes
        ),
        max_framing_bytes=reader.read_int(
            'max_framing_bytes', 1024, _MAX_BYTES, defaults.max_framing_bytes
        ),
        max_discarded_bytes=reader.read_int(
            'max_discarded_bytes', 0, _MAX_BYTES, defaults.max_discarded_bytes
        ),
        header_timeout_ms=_read_timeout(
            reader, 'header_timeout_ms', defaults.header_timeout_ms
        ),
        body_timeout_ms=_read_timeout(
            reader, 'body_timeout_ms', defaults.body_timeout_ms
        ),
        send_timeout_ms=_read_timeout(
            reader, 'send_timeout_ms', defaults.send_timeout_ms
        ),
        idle_timeout_ms=_read_timeout(
            reader, 'idle_timeout_ms', defaults.idle_timeout_ms
        ),
        max_connections=reader.read_int(
            'max_connections', 1, _MAX_CONNECTIONS, defaults.max_connections
        ),
        max_connections_per_host=reader.read_int(
            'max_connections_per_host',
            1,
            _MAX_CONNECTIONS,
            defaults.max_connections_per_host,
        ),
    )


def _read_timeout(
    reader: _section_reader.SectionReader, key: str, default_ms: int
) -> int:
    return reader.read_int(key, 10, _MAX_DURATION_MS, default_ms)


def _read_optional_slots(
    reader: _section_reader.SectionReader, key: str
) -> int | None:
    """Reads a number of slots, or None if the key is missing."""
    slots = reader.read_int(key, 1, _MAX_SLOTS, 1)
    return slots if reader.has(key) else None


def _check_static_split(
    reader: _section_reader.SectionReader,
    settings: _daemon_settings.SidecarSettings,
) -> None:
    """Checks that `static_split` leaves slots for each request class."""
    is_split = settings.gate_policy is _daemon_settings.GatePolicy.STATIC_SPLIT
    if is_split and settings.online_slots is None:
        reader.add_fault('online_slots', 'this key with static_split')
        return
    if not is_split and settings.online_slots is not None:
        reader.add_fault('online_slots', 'this key only with static_split')
        return
    if settings.slots is None or settings.online_slots is None:
        return
    if settings.online_slots >= settings.slots:
        reader.add_fault(
            'online_slots', f'less than slots, which is {settings.slots}'
        )
