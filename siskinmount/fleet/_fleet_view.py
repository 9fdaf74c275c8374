"""View of the document in force and the upstreams, with outage handling.

Entries of upstreams can lapse during an outage of the store although the
upstreams are alive. So an upstream whose entry is removed during an outage or
soon after is kept as lapsed for `RETURN_GRACE_S`.
"""

from collections.abc import Callable
import logging

import trio

from siskinmount import customers
from siskinmount import keyed_log
from siskinmount import results
from siskinmount.fleet import _announced_departures
from siskinmount.fleet import _document
from siskinmount.fleet import _upstream

_LOGGER = logging.getLogger(__name__)

#: Entries of upstreams that lapsed during an outage of the store are back
#: within two seconds of its end, as the users' requirements say.
RETURN_GRACE_S = 2.0

DecodeDocument = Callable[[bytes], _document.FleetDocument | results.Failure]
DecodeUpstream = Callable[[str, bytes], _upstream.Upstream | results.Failure]


class FleetView:
    """The document in force and the live upstreams.

    Attributes:
        document: The newest valid document; None before the first.
        upstreams: Upstreams by id, including lapsed ones.
        upstream_sources: The encoded entries by id, to be sent to peers.
        written_at_s: Monotonic time, by id, at which the upstream was last
            known to have written its entry.
        departures: What upstreams said in responses on their departure.
        logged_version: Version of the newest document in the log; None if
            there is none, or if it was refused. Then the document in force is
            not known to be the newest, and may have keys that were revoked.
    """

    __slots__ = (
        'document',
        'logged_version',
        'upstreams',
        'upstream_sources',
        'written_at_s',
        'departures',
        '_decode_document',
        '_decode_upstream',
        '_lapsed_at_s',
        '_invalid_count',
        '_listeners',
        '_get_lost_age_s',
        '_get_log_end',
    )

    def __init__(
        self, decode_document: DecodeDocument, decode_upstream: DecodeUpstream
    ) -> None:
        self.document: _document.FleetDocument | None = None
        self.logged_version: int | None = None
        self.upstreams: dict[str, _upstream.Upstream] = {}
        self.upstream_sources: dict[str, bytes] = {}
        self.written_at_s: dict[str, float] = {}
        self.departures = _announced_departures.create_announced_departures()
        self._decode_document = decode_document
        self._decode_upstream = decode_upstream
        self._lapsed_at_s: dict[str, float] = {}
        self._invalid_count = 0
        self._listeners: list[Callable[[], None]] = []
        self._get_lost_age_s: Callable[[], float] = _return_infinity
        self._get_log_end: Callable[[], keyed_log.LogEnd | None] = _return_none

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to be called after each change."""
        self._listeners.append(listener)

    def watch_store(self, get_lost_age_s: Callable[[], float]) -> None:
        """Sets the function that returns the time since the last store outage.

        Args:
            get_lost_age_s: Returns the seconds since the end of the last outage
                of the store; 0 during an outage, infinity if there was none.
        """
        self._get_lost_age_s = get_lost_age_s

    def watch_log_end(
        self, get_log_end: Callable[[], keyed_log.LogEnd | None]
    ) -> None:
        """Sets the function that returns the last known end of the log.

        Args:
            get_log_end: Returns the end of the log of upstreams at the last
                read that reached it; None before the first.
        """
        self._get_log_end = get_log_end

    def record_departure(
        self, upstream: _upstream.Upstream, request_id: str
    ) -> bool:
        """Records a response in which an upstream announces its departure.

        Args:
            upstream: The upstream to which the request was sent.
            request_id: Id of the request or batch item, for the log.

        Returns:
            Whether the departure was not known.
        """
        if self._has_later_start(upstream.upstream_id, upstream.started_at_ms):
            return False
        if not self.departures.record_response(
            upstream, request_id, upstream.upstream_id in self.upstreams
        ):
            return False
        self._notify()
        return True

    def record_peer_departures(
        self,
        peer: str,
        notices: dict[str, _announced_departures.DepartureNotice],
    ) -> None:
        """Records the departures that a peer learned from responses."""
        for upstream_id, notice in notices.items():
            if self._has_later_start(upstream_id, notice.started_at_ms):
                continue
            if self.departures.record_from_peer(
                peer, upstream_id, notice, upstream_id in self.upstreams
            ):
                self._notify()

    def apply_document_record(self, record: keyed_log.KeyedRecord) -> None:
        """Applies a record of the log of documents."""
        if record.key != 'config':
            return
        # It stays None if an exception ends the call.
        self.logged_version = None
        if record.value is None:
            return
        self.logged_version = self.apply_document(
            record.value, f'log offset {record.offset}'
        )

    def apply_document(self, source: bytes, origin: str) -> int | None:
        """Puts a document in force if it is valid and newer.

        Args:
            source: The encoded document.
            origin: Where the document came from, for the log.

        Returns:
            The version of the document if the one in force is the same or
            newer; None if it was refused.
        """
        current = self.document
        if current is not None and source == current.source:
            # Peers send their whole document each time that they are asked.
            return current.version
        decoded = self._decode_document(source)
        if isinstance(decoded, results.Failure):
            _LOGGER.error(
                'document_refused',
                extra={
                    'code': int(decoded.code),
                    'reason': decoded.reason,
                    'origin': origin,
                },
            )
            return None
        if current is not None and decoded.version <= current.version:
            is_same = decoded.version == current.version
            if not is_same or decoded.source == current.source:
                return decoded.version
            _LOGGER.error(
                'document_refused',
                extra={
                    'code': int(results.ResultCode.DOCUMENT_INVALID),
                    'reason': (
                        f'version {decoded.version} is in force with other'
                        ' content'
                    ),
                    'origin': origin,
                },
            )
            return None
        table = decoded.customers
        if table is not None:
            table.keep_limits(current.customers if current else None)
            _log_findings(table, decoded.version)
        self.document = decoded
        _LOGGER.info(
            'document_in_force',
            extra={
                'version': decoded.version,
                'earlier_version': current.version if current else None,
                'origin': origin,
                'routes': len(decoded.routes),
                'customers': len(table.customers) if table else None,
                'keys': table.count_keys() if table else None,
            },
        )
        self._notify()
        return decoded.version

    def apply_upstream_record(self, record: keyed_log.KeyedRecord) -> None:
        """Applies a record of the log of upstreams."""
        if record.value is None:
            self._apply_removal(record.key, record.offset)
            self._notify()
        elif self._apply_entry(record.key, record.value, record.offset):
            self._notify()

    def retain_upstreams(self, upstream_ids: set[str]) -> None:
        """Drops the upstreams that are not among those of a reloaded log."""
        for upstream_id in list(self.upstreams):
            if upstream_id not in upstream_ids:
                self._apply_removal(upstream_id, -1)
        self._notify()

    def list_lapsed_ages_s(self) -> dict[str, float]:
        """Returns for how long each lapsed upstream has been lapsed, by id."""
        now_s = trio.current_time()
        ages_s: dict[str, float] = {}
        for upstream_id, lapsed_at_s in self._lapsed_at_s.items():
            ages_s[upstream_id] = now_s - lapsed_at_s
        return ages_s

    def replace_upstreams(
        self,
        sources: dict[str, bytes],
        origin: str,
        lapsed_ages_s: dict[str, float] | None = None,
    ) -> None:
        """Replaces all upstreams by those of a peer that has newer records.

        Args:
            sources: The encoded entries by id, including lapsed ones.
            origin: Where the entries came from, for the log.
            lapsed_ages_s: For how long the lapsed ones have been lapsed.
        """
        for upstream_id in list(self.upstreams):
            if upstream_id not in sources:
                self._remove(upstream_id, origin)
        for upstream_id, source in sources.items():
            if self.upstream_sources.get(upstream_id) != source:
                self._apply_entry(upstream_id, source, -1)
        self._lapsed_at_s.clear()
        for upstream_id, age_s in (lapsed_ages_s or {}).items():
            if upstream_id in self.upstreams:
                self._lapsed_at_s[upstream_id] = trio.current_time() - age_s
        self._notify()

    def expire_lapsed(self) -> None:
        """Removes upstreams that have been lapsed for `RETURN_GRACE_S`."""
        lapsed_before_s = trio.current_time() - RETURN_GRACE_S
        for upstream_id, lapsed_at_s in list(self._lapsed_at_s.items()):
            if lapsed_at_s > lapsed_before_s:
                continue
            self._remove(upstream_id, 'lapsed entry did not return')
            self._notify()
        self.departures.expire()

    def list_ready(self, service: str) -> list[_upstream.Upstream]:
        """Returns the upstreams of a service that take new requests.

        One that has announced its departure takes none, whatever its entry
        says.

        Lapsed upstreams are included only if most upstreams of the service are
        lapsed: then the cause is the outage of the store, not the end of an
        upstream.
        """
        ready: list[_upstream.Upstream] = []
        lapsed: list[_upstream.Upstream] = []
        for upstream in self.upstreams.values():
            if upstream.service != service:
                continue
            if upstream.state is not _upstream.UpstreamState.READY:
                continue
            if self.departures.is_leaving(upstream):
                continue
            if upstream.upstream_id in self._lapsed_at_s:
                lapsed.append(upstream)
                continue
            ready.append(upstream)
        if len(lapsed) > len(ready):
            return ready + lapsed
        return ready

    def list_passed_over(self, service: str) -> list[str]:
        """Returns the ids of upstreams that leave though an entry says ready."""
        if not self.departures.has_any():
            return []
        passed_over: list[str] = []
        for upstream in self.upstreams.values():
            if upstream.service != service:
                continue
            if upstream.state is not _upstream.UpstreamState.READY:
                continue
            if self.departures.is_leaving(upstream):
                passed_over.append(upstream.upstream_id)
        return passed_over

    def is_leaving(self, upstream: _upstream.Upstream) -> bool:
        """Returns whether an upstream leaves, by its entry or a response."""
        return (
            upstream.state is _upstream.UpstreamState.LEAVING
            or self.departures.is_leaving(upstream)
        )

    def _has_later_start(self, upstream_id: str, started_at_ms: int) -> bool:
        current = self.upstreams.get(upstream_id)
        return current is not None and current.started_at_ms > started_at_ms

    def _apply_removal(self, upstream_id: str, offset: int) -> None:
        """Applies the removal of an entry: lapse soon after an outage."""
        if upstream_id not in self.upstreams:
            return
        if self._get_lost_age_s() < RETURN_GRACE_S:
            self._lapsed_at_s.setdefault(upstream_id, trio.current_time())
            _LOGGER.info(
                'upstream_lapsed',
                extra={'upstream': upstream_id, 'offset': offset},
            )
            return
        self._remove(upstream_id, f'log offset {offset}')

    def _remove(self, upstream_id: str, origin: str) -> None:
        self._lapsed_at_s.pop(upstream_id, None)
        self.upstream_sources.pop(upstream_id, None)
        self.written_at_s.pop(upstream_id, None)
        self.departures.apply_removal(upstream_id)
        if self.upstreams.pop(upstream_id, None) is None:
            return
        _LOGGER.info(
            'upstream_gone', extra={'upstream': upstream_id, 'origin': origin}
        )

    def _apply_entry(
        self, upstream_id: str, source: bytes, offset: int
    ) -> bool:
        """Applies an entry; returns whether it says anything new."""
        decoded = self._decode_upstream(upstream_id, source)
        if isinstance(decoded, results.Failure):
            return self._drop_invalid(upstream_id, decoded, offset)
        was_lapsed = self._lapsed_at_s.pop(upstream_id, None) is not None
        has_returned = self.departures.apply_entry(
            decoded, self._estimate_written_since_s(offset)
        )
        earlier = self.upstreams.get(upstream_id)
        self.upstreams[upstream_id] = decoded
        self.upstream_sources[upstream_id] = source
        self.written_at_s[upstream_id] = self._estimate_written_since_s(offset)
        if earlier is not None and (
            earlier.state is decoded.state
            and earlier.started_at_ms == decoded.started_at_ms
            and earlier.address == decoded.address
            and earlier.slot_count == decoded.slot_count
            and earlier.service == decoded.service
            and earlier.software_version == decoded.software_version
        ):
            return was_lapsed or has_returned
        _LOGGER.info(
            'upstream_known',
            extra={
                'upstream': upstream_id,
                'service': decoded.service,
                'address': str(decoded.address),
                'state': decoded.state.value,
                'started_at_ms': decoded.started_at_ms,
                'software_version': decoded.software_version,
                'offset': offset,
            },
        )
        return True

    def _drop_invalid(
        self, upstream_id: str, failure: results.Failure, offset: int
    ) -> bool:
        """Drops an upstream whose entry is invalid; returns whether it was known.

        Another writer may write many such entries, so a line is written at each
        power of two, and for each upstream that is dropped.
        """
        is_known = upstream_id in self.upstreams
        self._invalid_count += 1
        is_power_of_two = not self._invalid_count & (self._invalid_count - 1)
        if is_known or is_power_of_two:
            _LOGGER.error(
                'upstream_entry_invalid',
                extra={
                    'code': int(failure.code),
                    'upstream': ascii(upstream_id)[1:-1],
                    'reason': failure.reason,
                    'offset': offset,
                    'count': self._invalid_count,
                },
            )
        if is_known:
            self._remove(upstream_id, 'invalid entry')
        return is_known

    def _estimate_written_since_s(self, offset: int) -> float:
        """Returns a time at or after which a record was written.

        That is the last time at which the log was seen to end before it.
        """
        log_end = self._get_log_end()
        if log_end is None or offset < log_end.offset:
            return float('-inf')
        return log_end.seen_at_s

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _log_findings(table: customers.CustomerTable, version: int) -> None:
    """Logs invalid fields of customers, a bounded number for a document."""
    for finding in table.findings:
        _LOGGER.error(
            'customer_invalid',
            extra={
                'code': int(results.ResultCode.DOCUMENT_INVALID),
                'version': version,
                'position': finding.position,
                'customer': finding.customer,
                'field': finding.field,
                'reason': finding.reason,
                'findings': table.finding_count,
            },
        )


def _return_infinity() -> float:
    return float('inf')


def _return_none() -> None:
    return None


def create_fleet_view(
    decode_document: DecodeDocument, decode_upstream: DecodeUpstream
) -> FleetView:
    """Creates an empty view."""
    return FleetView(decode_document, decode_upstream)
