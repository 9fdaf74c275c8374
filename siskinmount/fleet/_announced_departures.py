"""Upstreams that say in their responses that they leave.

An upstream that leaves may be unable to change its entry, or this process may
be unable to read it. So a response that announces the departure is believed
until its cause ends: the upstream is gone, has started again, or says in an
entry written later that it serves. An entry that says `ready` proves nothing by
itself, as it may be older than the response.
"""

import logging

import trio

from siskinmount.fleet import _upstream

_LOGGER = logging.getLogger(__name__)

#: How long the departure of an unlisted upstream is remembered. Entries that
#: lapse are back within seconds, and an old view of a peer is younger.
RETENTION_S = 60.0
#: Margin by which a peer's announcement must be later than the entry with which
#: the upstream came back: messages between peers take milliseconds.
MESSAGE_DELAY_S = 0.5
#: Several times the upstreams of the largest fleet that is aimed at.
MAX_DEPARTURES = 5000
#: Start and time of return of an upstream that never came back.
_NO_RETURN = (-1, 0.0)


class Departure:
    """The announced departure of one upstream.

    Attributes:
        started_at_ms: Start of the upstream that leaves, in Unix milliseconds.
        learned_at_s: Monotonic time of the first response that announced it.
        repeated_at_s: Monotonic time of the last one. Only an entry that was
            written after it can end the departure.
        is_first_hand: Whether this process got such a response itself.
        unlisted_since_s: Monotonic time since which the upstream has been
            known not to be listed; None while it is.
    """

    __slots__ = (
        'started_at_ms',
        'learned_at_s',
        'repeated_at_s',
        'is_first_hand',
        'unlisted_since_s',
    )

    def __init__(
        self,
        started_at_ms: int,
        learned_at_s: float,
        is_first_hand: bool,
        is_listed: bool,
    ) -> None:
        self.started_at_ms = started_at_ms
        self.learned_at_s = learned_at_s
        self.repeated_at_s = learned_at_s
        self.is_first_hand = is_first_hand
        self.unlisted_since_s: float | None = None
        if not is_listed:
            self.unlisted_since_s = trio.current_time()


class DepartureNotice:
    """What a member tells its peers of a departure.

    Attributes:
        started_at_ms: Start of the upstream that leaves, in Unix milliseconds.
        age_s: Time since the last response that announced it.
    """

    __slots__ = ('started_at_ms', 'age_s')

    def __init__(self, started_at_ms: int, age_s: float) -> None:
        self.started_at_ms = started_at_ms
        self.age_s = age_s


class AnnouncedDepartures:
    """The announced departures that this process believes."""

    __slots__ = ('_departures', '_returns')

    def __init__(self) -> None:
        self._departures: dict[str, Departure] = {}
        #: Start of each upstream that came back, and when that was read.
        self._returns: dict[str, tuple[int, float]] = {}

    def has_any(self) -> bool:
        """Returns whether any departure is believed."""
        return bool(self._departures)

    def is_leaving(self, upstream: _upstream.Upstream) -> bool:
        """Returns whether an upstream has announced its departure.

        An entry of an earlier start is out of date: what it names leaves too,
        or has left before the upstream was started again.
        """
        departure = self._departures.get(upstream.upstream_id)
        if departure is not None:
            return departure.started_at_ms >= upstream.started_at_ms
        returned_start_ms, _ = self._returns.get(
            upstream.upstream_id, _NO_RETURN
        )
        return returned_start_ms > upstream.started_at_ms

    def record_response(
        self, upstream: _upstream.Upstream, request_id: str, is_listed: bool
    ) -> bool:
        """Records a response that announces a departure.

        Args:
            upstream: The upstream to which the request was sent.
            request_id: Id of the request or batch item, for the log.
            is_listed: Whether the upstream has an entry here.

        Returns:
            Whether this process did not know of the departure.
        """
        departure = self._departures.get(upstream.upstream_id)
        if (
            departure is not None
            and departure.started_at_ms >= upstream.started_at_ms
        ):
            departure.is_first_hand = True
            departure.repeated_at_s = trio.current_time()
            return False
        return self._add(
            upstream.upstream_id,
            Departure(
                upstream.started_at_ms, trio.current_time(), True, is_listed
            ),
            'response',
            request_id,
        )

    def record_from_peer(
        self,
        peer: str,
        upstream_id: str,
        notice: DepartureNotice,
        is_listed: bool,
    ) -> bool:
        """Records a departure that a peer learned from a response.

        Late and repeated messages do no harm.

        Args:
            peer: The peer, for the log.
            upstream_id: The upstream.
            notice: What the peer says.
            is_listed: Whether the upstream has an entry here.

        Returns:
            Whether this process did not know of the departure.
        """
        started_at_ms = notice.started_at_ms
        learned_at_s = trio.current_time() - max(0.0, notice.age_s)
        known = self._departures.get(upstream_id)
        if known is not None and known.started_at_ms >= started_at_ms:
            if known.started_at_ms == started_at_ms:
                known.repeated_at_s = max(known.repeated_at_s, learned_at_s)
            return False
        returned_start_ms, returned_at_s = self._returns.get(
            upstream_id, _NO_RETURN
        )
        if returned_start_ms > started_at_ms:
            return False
        if (
            returned_start_ms == started_at_ms
            and learned_at_s <= returned_at_s + MESSAGE_DELAY_S
        ):
            return False
        return self._add(
            upstream_id,
            Departure(started_at_ms, learned_at_s, False, is_listed),
            peer,
            '',
        )

    def apply_entry(
        self, upstream: _upstream.Upstream, current_since_s: float
    ) -> bool:
        """Ends a departure if an entry shows that its cause has ended.

        Args:
            upstream: The decoded entry.
            current_since_s: Monotonic time at or after which the entry was
                written; negative infinity if unknown.

        Returns:
            Whether a departure has ended.
        """
        departure = self._departures.get(upstream.upstream_id)
        if departure is None:
            return False
        departure.unlisted_since_s = None
        if upstream.started_at_ms > departure.started_at_ms:
            self._end(upstream, 'restarted')
            return True
        if (
            upstream.started_at_ms == departure.started_at_ms
            and upstream.state is _upstream.UpstreamState.READY
            and current_since_s > departure.repeated_at_s
        ):
            self._end(upstream, 'serves_again')
            return True
        return False

    def apply_removal(self, upstream_id: str) -> None:
        """Notes that an upstream is not listed any more."""
        departure = self._departures.get(upstream_id)
        if departure is None or departure.unlisted_since_s is not None:
            return
        departure.unlisted_since_s = trio.current_time()
        self._log_end(upstream_id, departure, 'gone')

    def expire(self) -> None:
        """Forgets upstreams that have not been listed for `RETENTION_S`."""
        limit_s = trio.current_time() - RETENTION_S
        for upstream_id, departure in list(self._departures.items()):
            since_s = departure.unlisted_since_s
            if since_s is not None and since_s < limit_s:
                del self._departures[upstream_id]
        for upstream_id, (_, returned_at_s) in list(self._returns.items()):
            if returned_at_s < limit_s:
                del self._returns[upstream_id]

    def list_first_hand(self) -> dict[str, DepartureNotice]:
        """Returns what upstreams told this process itself, by upstream.

        One whose entry has gone since is left out.
        """
        now_s = trio.current_time()
        notices: dict[str, DepartureNotice] = {}
        for upstream_id, departure in self._departures.items():
            since_s = departure.unlisted_since_s
            is_gone = since_s is not None and since_s > departure.repeated_at_s
            if departure.is_first_hand and not is_gone:
                notices[upstream_id] = DepartureNotice(
                    departure.started_at_ms, now_s - departure.repeated_at_s
                )
        return notices

    def _add(
        self,
        upstream_id: str,
        departure: Departure,
        source: str,
        request_id: str,
    ) -> bool:
        is_new = upstream_id not in self._departures
        if is_new and len(self._departures) >= MAX_DEPARTURES:
            _LOGGER.warning(
                'upstream_departure_dropped', extra={'upstream': upstream_id}
            )
            return False
        self._departures[upstream_id] = departure
        _LOGGER.info(
            'upstream_departure_announced',
            extra={
                'upstream': upstream_id,
                'started_at_ms': departure.started_at_ms,
                'source': source,
                'age_ms': int(
                    (trio.current_time() - departure.learned_at_s) * 1000
                ),
                'request_id': request_id,
            },
        )
        return True

    def _end(self, upstream: _upstream.Upstream, reason: str) -> None:
        departure = self._departures.pop(upstream.upstream_id)
        self._returns[upstream.upstream_id] = (
            upstream.started_at_ms,
            trio.current_time(),
        )
        self._log_end(upstream.upstream_id, departure, reason)

    def _log_end(
        self, upstream_id: str, departure: Departure, reason: str
    ) -> None:
        _LOGGER.info(
            'upstream_departure_ended',
            extra={
                'upstream': upstream_id,
                'started_at_ms': departure.started_at_ms,
                'reason': reason,
                'lasted_ms': int(
                    (trio.current_time() - departure.learned_at_s) * 1000
                ),
            },
        )


def create_announced_departures() -> AnnouncedDepartures:
    """Creates an `AnnouncedDepartures` without departures."""
    return AnnouncedDepartures()
