"""Reads the event stream of an upstream, and judges whether it is complete.

Streams for callers and of batch items are read here only, so that one that was
broken off is taken for complete by neither.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics

_LOGGER = logging.getLogger(__name__)

_END_TEXTS = {
    transport.StreamEnd.WITHIN_EVENT: 'within an event',
    transport.StreamEnd.BEFORE_EVENTS: 'before its first event',
    transport.StreamEnd.BETWEEN_EVENTS: 'as the process of its upstream ended',
}

#: Returns whether the upstream lived through the end of a body that has neither
#: a length nor chunks.
CheckUnframedEnd = Callable[[], Awaitable[bool]]


class EventStream:
    """The events of one response, in order and without gaps.

    Attributes:
        last_event_id: Id of the last event that was returned, or that the
            request continues after; None if there is none.
        waiting_since_s: Monotonic time since which the next event is awaited.
            Bytes that complete none do not change it.
        empty_end_id: Id of the event after which an upstream sent none, in a
            body without a length or chunks; None if there was no such body.
    """

    __slots__ = (
        'last_event_id',
        'waiting_since_s',
        'empty_end_id',
        '_response',
        '_check_unframed_end',
        '_metrics',
        '_request_id',
        '_upstream_id',
        '_splitter',
        '_failure',
        '_has_progress',
    )

    def __init__(
        self,
        response: transport.ClientExchange,
        metrics: _gateway_metrics.GatewayMetrics,
        request_id: str,
        upstream_id: str,
        last_event_id: int | None,
        empty_end_id: int | None,
        check_unframed_end: CheckUnframedEnd,
    ) -> None:
        self.last_event_id = last_event_id
        self.waiting_since_s = 0.0
        self.empty_end_id = empty_end_id
        self._response = response
        self._check_unframed_end = check_unframed_end
        self._metrics = metrics
        self._request_id = request_id
        self._upstream_id = upstream_id
        self._splitter = transport.create_event_splitter()
        self._failure: results.Failure | None = None
        # The wait for the first event begins with the first call.
        self._has_progress = True

    @property
    def trailing_bytes(self) -> bytes:
        """Blank lines and comments after the last event."""
        return self._splitter.remainder

    def begin_wait(self) -> None:
        """Begins to wait for the next event, if there was one since the last.

        The time that it took to handle that one does not count.
        """
        if self._has_progress:
            self._has_progress = False
            self.waiting_since_s = trio.current_time()

    async def receive(self) -> list[transport.StreamEvent] | results.Failure:
        """Returns the next events, or none at the end of a complete stream.

        Events before one that is invalid or out of order are returned first,
        and the failure by the next call.
        """
        while self._failure is None:
            chunk = await self._response.receive_chunk()
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                failure = await self._judge_end()
                return [] if failure is None else failure
            events = self._accept(self._splitter.split(chunk))
            if self._splitter.is_overlong and self._failure is None:
                self._failure = _lost('no event in too many bytes')
            if events:
                return events
        return self._failure

    def _accept(
        self, events: list[transport.StreamEvent]
    ) -> list[transport.StreamEvent]:
        """Returns the events up to the first that is invalid."""
        accepted: list[transport.StreamEvent] = []
        for event in events:
            if event.is_foreign:
                self._failure = _lost('bytes that are no event')
                break
            last = self.last_event_id
            if last is not None and _is_unnumbered(event):
                # It cannot be resumed after, and may tell of an error.
                self._failure = _lost(f'an event without an id after {last}')
                break
            if event.event_id is not None:
                if last is not None and event.event_id != last + 1:
                    self._failure = _lost(
                        f'event {event.event_id} after {last}'
                    )
                    break
                self.last_event_id = event.event_id
            accepted.append(event)
            self._has_progress = self._has_progress or event.has_fields
        return accepted

    async def _judge_end(self) -> results.Failure | None:
        """Returns why the stream is not complete, or None if it is."""
        framing = self._response.body_framing
        end = self._splitter.find_end()
        if framing is transport.BodyFraming.CONNECTION_END:
            is_complete = await self._is_unframed_complete(end)
        else:
            is_complete = transport.is_stream_complete(end, framing)
        self._metrics.stream_ends.increment(framing.value, end.value)
        if not is_complete or framing is transport.BodyFraming.CONNECTION_END:
            _LOGGER.info(
                'stream_end_unconfirmed',
                extra={
                    'request_id': self._request_id,
                    'upstream': self._upstream_id,
                    'body_framing': framing.value,
                    'body_bytes': self._response.received_body_bytes,
                    'end': end.value,
                    'unfinished_bytes': len(self._splitter.remainder),
                    'last_event_id': self.last_event_id,
                    'outcome': 'complete' if is_complete else 'broken_off',
                },
            )
        if is_complete:
            return None
        return _lost(f'the stream was broken off {_END_TEXTS[end]}')

    async def _is_unframed_complete(self, end: transport.StreamEnd) -> bool:
        """Returns whether a stream that ends with its connection is complete.

        If a stream that continues has no event, it must have ended there twice:
        one upstream may have been broken off before its first event.
        """
        framing = transport.BodyFraming.CONNECTION_END
        if transport.is_stream_complete(end, framing):
            return await self._check_unframed_end()
        if end is transport.StreamEnd.WITHIN_EVENT:
            return False
        if self.last_event_id is None or not await self._check_unframed_end():
            return False
        if self.empty_end_id == self.last_event_id:
            return True
        self.empty_end_id = self.last_event_id
        return False


def _is_unnumbered(event: transport.StreamEvent) -> bool:
    """Returns whether an event has data, but no id that is a number."""
    return event.event_id is None and bool(event.read_data())


def create_timeout_failure() -> results.Failure:
    """Returns the failure of a stream whose next event did not come in time."""
    return _lost('timeout while waiting for the next event')


def _lost(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.UPSTREAM_LOST, reason, results.RunState.UNKNOWN
    )


def create_event_stream(
    response: transport.ClientExchange,
    metrics: _gateway_metrics.GatewayMetrics,
    *,
    request_id: str,
    upstream_id: str,
    last_event_id: int | None,
    empty_end_id: int | None,
    check_unframed_end: CheckUnframedEnd,
) -> EventStream:
    """Creates the reader of a response of which no body byte was read yet.

    Args:
        response: The upstream's response.
        metrics: Where the end of the stream is counted.
        request_id: Id of the request or batch item, for the log.
        upstream_id: The upstream, for the log.
        last_event_id: Id of the event that the response continues after.
        empty_end_id: That of the last response to the same request.
        check_unframed_end: Called once if the body has no framing.
    """
    return EventStream(
        response,
        metrics,
        request_id,
        upstream_id,
        last_event_id,
        empty_end_id,
        check_unframed_end,
    )
