"""Records how the streams of upstreams end."""

import logging

from siskinmount import transport
from siskinmount.gateway import _event_splitter
from siskinmount.gateway import _gateway_metrics

_LOGGER = logging.getLogger(__name__)


def record_stream_end(
    metrics: _gateway_metrics.GatewayMetrics,
    response: transport.ClientExchange,
    splitter: _event_splitter.EventSplitter,
    *,
    request_id: str,
    upstream_id: str,
    last_event_id: int | None,
) -> None:
    """Counts the end of a stream, and logs one that may not be complete.

    The end of a framed stream after a complete event is the usual case and is
    only counted.

    Args:
        metrics: Where the end is counted.
        response: The upstream's response, read to its end.
        splitter: Has the bytes after the last complete event.
        request_id: Id of the request or batch item.
        upstream_id: The upstream.
        last_event_id: Id of the last complete event, or None.
    """
    unfinished_bytes = len(splitter.remainder)
    end = 'within_event' if unfinished_bytes else 'between_events'
    framing = response.body_framing
    metrics.stream_ends.increment(framing.value, end)
    if (
        not unfinished_bytes
        and framing is not transport.BodyFraming.CONNECTION_END
    ):
        return
    _LOGGER.info(
        'stream_end_unconfirmed',
        extra={
            'request_id': request_id,
            'upstream': upstream_id,
            'body_framing': framing.value,
            'body_bytes': response.received_body_bytes,
            'end': end,
            'unfinished_bytes': unfinished_bytes,
            'last_event_id': last_event_id,
        },
    )
