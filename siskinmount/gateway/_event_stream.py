"""Reads the event stream of an upstream, and judges whether it is complete.

Streams for callers and of batch items are read here only, so that one that was
broken off is taken for complete by neither.
"""

import enum
import logging

import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _event_splitter
from siskinmount.gateway import _gateway_metrics

_LOGGER = logging.getLogger(__name__)


class StreamEnd(enum.Enum):
    """Where a stream ended, by its last bytes."""

    #: After a complete event.
    BETWEEN_EVENTS = 'between_events'

    #: Within an event, so it was broken off.
    WITHIN_EVENT = 'within_event'

    #: Without an event.
    BEFORE_EVENTS = 'before_events'


class EventStream:
    """The events of one response, in order and without gaps.

    Attributes:
        last_event_id: Id of the last event that was returned, or that the
            request continues after; None if there is none.
    """

    __slots__ = (
        'last_event_id',
        '_response',
        '_metrics',
        '_request_id',
        '_upstream_id',
        '_splitter',
        '_has_events',
        '_failure',
    )

    def __init__(
        self,
        response: transport.ClientExchange,
        metrics: _gateway_metrics.GatewayMetrics,
        request_id: str,
        upstream_id: str,
        last_event_id: int | None,
    ) -> None:
        self.last_event_id = last_event_id
        self._response = response
        self._metrics = metrics
        self._request_id = request_id
        self._upstream_id = upstream_id
        self._splitter = _event_splitter.create_event_splitter()
        self._has_events = False
        self._failure: results.Failure | None = None

    @property
    def trailing_bytes(self) -> bytes:
        """Blank lines and comments after the last event."""
        return self._splitter.remainder

    async def receive(
        self, timeout_s: float
    ) -> list[_event_splitter.StreamEvent] | results.Failure:
        """Returns the next events, or none at the end of a complete stream.

        Events before a fault are returned first.

        Args:
            timeout_s: Longest time to wait for the next bytes.
        """
        while self._failure is None:
            chunk: bytes | results.Failure | None = None
            with trio.move_on_after(timeout_s):
                chunk = await self._response.receive_chunk()
            if chunk is None:
                return _lost('timeout while waiting for the next event')
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                self._failure = self._judge_end()
                if self._failure is None:
                    return []
                break
            events = self._accept(self._splitter.split(chunk))
            if events:
                self._has_events = True
                return events
        return self._failure

    def _accept(
        self, events: list[_event_splitter.StreamEvent]
    ) -> list[_event_splitter.StreamEvent]:
        """Returns the events up to the first that is out of order."""
        accepted: list[_event_splitter.StreamEvent] = []
        for event in events:
            last = self.last_event_id
            if event.event_id is not None:
                if last is not None and event.event_id != last + 1:
                    self._failure = _lost(
                        f'event {event.event_id} after {last}'
                    )
                    break
                self.last_event_id = event.event_id
            accepted.append(event)
        return accepted

    def _judge_end(self) -> results.Failure | None:
        """Returns why the stream is not complete, or None if it is.

        The end of a connection alone proves nothing: an upstream that breaks
        off an unframed stream closes it as one that is done. Whatever the
        framing, a stream does not end within an event.
        """
        is_unframed = (
            self._response.body_framing is transport.BodyFraming.CONNECTION_END
        )
        end = StreamEnd.BETWEEN_EVENTS
        reason: str | None = None
        if self._splitter.is_within_event():
            end = StreamEnd.WITHIN_EVENT
            reason = 'the stream ended within an event'
        elif not self._has_events:
            end = StreamEnd.BEFORE_EVENTS
            if is_unframed:
                reason = 'the connection ended before the first event'
        self._metrics.stream_ends.increment(
            self._response.body_framing.value, end.value
        )
        if reason is not None or is_unframed:
            _LOGGER.info(
                'stream_end_unconfirmed',
                extra={
                    'request_id': self._request_id,
                    'upstream': self._upstream_id,
                    'body_framing': self._response.body_framing.value,
                    'body_bytes': self._response.received_body_bytes,
                    'end': end.value,
                    'unfinished_bytes': len(self._splitter.remainder),
                    'last_event_id': self.last_event_id,
                    'outcome': 'complete' if reason is None else 'broken_off',
                },
            )
        return None if reason is None else _lost(reason)


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
) -> EventStream:
    """Creates the reader of a response of which no body byte was read yet.

    Args:
        response: The upstream's response.
        metrics: Where the end of the stream is counted.
        request_id: Id of the request or batch item, for the log.
        upstream_id: The upstream, for the log.
        last_event_id: Id of the event that the response continues after.
    """
    return EventStream(
        response, metrics, request_id, upstream_id, last_event_id
    )
