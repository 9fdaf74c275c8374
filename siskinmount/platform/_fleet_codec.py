"""Decodes the document and the upstream entries of the platform."""

import functools
import ipaddress
import logging
from typing import Any

import orjson

from siskinmount import fleet
from siskinmount import results
from siskinmount import transport
from siskinmount.platform import _customer_codec
from siskinmount.platform import _field_reader

_LOGGER = logging.getLogger(__name__)

_KINDS = {
    'idempotent': fleet.RouteKind.IDEMPOTENT,
    'non_idempotent': fleet.RouteKind.NON_IDEMPOTENT,
    'streaming': fleet.RouteKind.STREAMING,
    'batch': fleet.RouteKind.BATCH,
}
_STATES = {
    'ready': fleet.UpstreamState.READY,
    'draining': fleet.UpstreamState.LEAVING,
}
#: More slots than a process can have.
_MAX_SLOTS = 10_000
#: Texts of entries whose checks are remembered: upstreams write them again with
#: each heartbeat.
_MAX_KNOWN_TEXTS = 4096
#: Largest whole number that all readers of JSON represent exactly.
_MAX_COUNT = 2**53 - 1
_TENANTS = f'"{_customer_codec.FIELD}"'.encode()
_DEFAULT_TIMEOUT_MS = 15_000
_DEFAULT_HEADER_BYTES = 16 * 1024
_DEFAULT_BODY_BYTES = 4 * 1024 * 1024
_DEFAULT_HEADER_TIMEOUT_MS = 3000
_DEFAULT_IDLE_TIMEOUT_MS = 15_000


def decode_document(source: bytes) -> fleet.FleetDocument | results.Failure:
    """Decodes a document, or fails with `DOCUMENT_INVALID`.

    Routes of unknown kinds are logged and left out. Invalid fields of customers
    are findings in the table of customers.
    """
    try:
        fields = _load(source)
        if not isinstance(fields, dict):
            raise _field_reader.FieldError('the document is not an object')
        routes: list[fleet.FleetRoute] = []
        for route_fields in _field_reader.read_objects(fields, 'routes'):
            kind = route_fields.get('kind')
            if not isinstance(kind, str) or kind not in _KINDS:
                _log_unknown_kind(route_fields)
                continue
            routes.append(_decode_route(route_fields))
        services: dict[str, fleet.FleetService] = {}
        for service_fields in _field_reader.read_objects(fields, 'services'):
            service = _decode_service(service_fields)
            services[service.name] = service
        return fleet.FleetDocument(
            _field_reader.read_integer(fields, 'version'),
            routes,
            services,
            _decode_limits(fields.get('limits')),
            source,
            _customer_codec.decode_customers(fields.get(_customer_codec.FIELD)),
        )
    except (_field_reader.FieldError, ValueError) as error:
        return results.Failure(
            results.ResultCode.DOCUMENT_INVALID, f'document: {error}'
        )


def _load(source: bytes) -> object:
    """Loads a document; raises `ValueError` if it is invalid."""
    try:
        return orjson.loads(source)
    except orjson.JSONDecodeError:
        if _TENANTS not in source:
            raise
        return _customer_codec.load_tolerantly(source)


def _log_unknown_kind(fields: dict[str, Any]) -> None:
    """Logs that a route of an unknown kind is left out."""
    _LOGGER.error(
        'route_kind_unknown',
        extra={
            'code': int(results.ResultCode.DOCUMENT_INVALID),
            'route': fields.get('name'),
            'kind': fields.get('kind'),
        },
    )


def _decode_route(fields: dict[str, Any]) -> fleet.FleetRoute:
    """Decodes a route."""
    return fleet.FleetRoute(
        name=_field_reader.read_string(fields, 'name'),
        host=_field_reader.read_string(fields, 'host').lower(),
        path_prefix=_field_reader.read_string(fields, 'path_prefix'),
        kind=_KINDS[_field_reader.read_string(fields, 'kind')],
        shares=_decode_shares(fields),
        timeout_ms=_field_reader.read_integer(
            fields, 'timeout_ms', _DEFAULT_TIMEOUT_MS
        ),
        target_ms=_field_reader.read_integer(fields, 'goal_ms', 0),
        priority=_field_reader.read_integer(fields, 'priority', 0),
        max_attempts=max(
            1, _field_reader.read_integer(fields, 'max_attempts', 1)
        ),
        resumable=fields.get('resumable') is True,
        max_gap_ms=_field_reader.read_integer(fields, 'gap_goal_ms', 0),
        run_target_ms=_field_reader.read_integer(fields, 'run_goal_ms', 0),
        retention_s=_field_reader.read_number(fields, 'retention_s', 0),
        max_waiting_tokens=_field_reader.read_integer(fields, 'cap', 0),
        public=fields.get('public') is True,
    )


def _decode_shares(fields: dict[str, Any]) -> tuple[fleet.ServiceShare, ...]:
    """Decodes the services of a route: a split, or else a single service."""
    if not isinstance(fields.get('split'), list):
        name = _field_reader.read_string(fields, 'service')
        return (fleet.ServiceShare(name, 1),)
    shares: list[fleet.ServiceShare] = []
    for row in _field_reader.read_objects(fields, 'split'):
        weight = _field_reader.read_number(row, 'weight', 1)
        if weight <= 0:
            continue
        name = _field_reader.read_string(row, 'service')
        shares.append(fleet.ServiceShare(name, weight))
    if not shares:
        raise _field_reader.FieldError(
            'the split contains no service with a positive weight'
        )
    return tuple(shares)


def _decode_service(fields: dict[str, Any]) -> fleet.FleetService:
    """Decodes a service; only engines of models have a slot count."""
    engine = fields.get('engine')
    slot_count = 0
    if isinstance(engine, dict):
        slot_count = _field_reader.read_integer(engine, 'slot_count', 0)
    return fleet.FleetService(
        _field_reader.read_string(fields, 'name'),
        _field_reader.read_integer(fields, 'max_conns', 0),
        slot_count,
    )


def _decode_limits(fields: object) -> fleet.CallerLimits:
    """Decodes the limits; missing fields get default values."""
    known = fields if isinstance(fields, dict) else {}
    return fleet.CallerLimits(
        _field_reader.read_integer(
            known, 'header_bytes', _DEFAULT_HEADER_BYTES
        ),
        _field_reader.read_integer(known, 'body_bytes', _DEFAULT_BODY_BYTES),
        _field_reader.read_integer(
            known, 'header_timeout_ms', _DEFAULT_HEADER_TIMEOUT_MS
        ),
        _field_reader.read_integer(
            known, 'idle_timeout_ms', _DEFAULT_IDLE_TIMEOUT_MS
        ),
    )


def decode_upstream(
    upstream_id: str, source: bytes
) -> fleet.Upstream | results.Failure:
    """Decodes the entry of an upstream, or fails with `LOG_RECORD_INVALID`.

    Another writer may have written it. What an upstream always writes must be
    there and sound; fields that are not known are not looked at. An upstream
    whose entry names no version runs one that is not known.
    """
    try:
        if not _is_header_value(upstream_id):
            raise _field_reader.FieldError('the id cannot stand in a header')
        fields = orjson.loads(source)
        if not isinstance(fields, dict):
            raise _field_reader.FieldError('the entry is not an object')
        state_word = _field_reader.read_name(fields, 'state')
        state = _STATES.get(state_word)
        if state is None:
            raise _field_reader.FieldError(
                f'the state {state_word!r} is unknown'
            )
        version = fields.get('version')
        if isinstance(version, str) and version:
            version = _field_reader.read_name(fields, 'version')
        return fleet.Upstream(
            upstream_id=upstream_id,
            service=_field_reader.read_name(fields, 'service'),
            address=_decode_address(_field_reader.read_name(fields, 'address')),
            failure_domain=_field_reader.read_name(fields, 'zone'),
            state=state,
            slot_count=_field_reader.read_whole(
                fields, 'slot_count', _MAX_SLOTS
            ),
            started_at_ms=_field_reader.read_whole(
                fields, 'born', _MAX_COUNT, 0
            ),
            software_version=version if isinstance(version, str) else '',
            entry_number=_field_reader.read_whole(fields, 'seq_no', _MAX_COUNT),
            cold_left_ms=_field_reader.read_whole(
                fields, 'cold_left_ms', _MAX_COUNT
            ),
        )
    except (_field_reader.FieldError, ValueError) as error:
        return results.Failure(
            results.ResultCode.LOG_RECORD_INVALID, f'entry: {error}'
        )


@functools.lru_cache(_MAX_KNOWN_TEXTS)
def _is_header_value(text: str) -> bool:
    """Returns whether a text is a word that the value of a header may be."""
    is_sound = text.isascii() and text.isprintable() and ' ' not in text
    return is_sound and 0 < len(text) <= _field_reader.MAX_NAME_LENGTH


@functools.lru_cache(_MAX_KNOWN_TEXTS)
def _decode_address(text: str) -> transport.Address:
    """Decodes the address of a process, which has an IP address and a port."""
    address = transport.parse_address(text)
    if isinstance(address, results.Failure):
        raise _field_reader.FieldError(address.reason)
    host = ipaddress.ip_address(address.host)
    if host.is_unspecified or host.is_multicast or not address.port:
        raise _field_reader.FieldError(f'{text!r} is no address of a process')
    return address
