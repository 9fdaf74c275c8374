"""Notes the request rates that upstreams name in their responses."""

import logging

import trio

from siskinmount import fleet
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: Bound on the upstreams whose last named rate is remembered.
MAX_UPSTREAMS = 5000


class RateLimitReader:
    """Reads the head of each response of an upstream."""

    __slots__ = ('_wire', '_metrics', '_named', '_invalid_count')

    def __init__(
        self, wire: _wire.Wire, metrics: _gateway_metrics.GatewayMetrics
    ) -> None:
        self._wire = wire
        self._metrics = metrics
        self._named: dict[str, float] = {}
        self._invalid_count = 0

    def read(
        self,
        upstream: fleet.Upstream,
        response: transport.ClientExchange,
        request_id: str,
        sent_at_s: float,
    ) -> None:
        """Records the limit that a response names, or that it names none.

        Args:
            upstream: The upstream to which the request was sent.
            response: Its response, of which the head has been read.
            request_id: Id of the request or batch item.
            sent_at_s: Monotonic time at which the request was sent.
        """
        kind = self._wire.classify_answer(
            response.status, response.headers, request_id
        )
        if kind in (
            _wire.AnswerKind.FOREIGN,
            _wire.AnswerKind.OTHER_PROCESS,
        ):
            return
        per_s = self._wire.read_rate_limit(response.headers)
        if isinstance(per_s, results.Failure):
            self._record_invalid(upstream, per_s, request_id)
            return
        earlier_per_s = self._named.get(upstream.upstream_id)
        if per_s == earlier_per_s:
            return
        if per_s is None:
            del self._named[upstream.upstream_id]
        elif len(self._named) < MAX_UPSTREAMS:
            self._named[upstream.upstream_id] = per_s
        self._metrics.limit_notices.increment(
            'ended' if per_s is None else 'named'
        )
        _LOGGER.info(
            'upstream_limit_ended' if per_s is None else 'upstream_limit_named',
            extra={
                'upstream': upstream.upstream_id,
                'started_at_ms': upstream.started_at_ms,
                'per_s': per_s,
                'earlier_per_s': earlier_per_s,
                'request_id': request_id,
                'waited_ms': int((trio.current_time() - sent_at_s) * 1000),
            },
        )

    def _record_invalid(
        self,
        upstream: fleet.Upstream,
        failure: results.Failure,
        request_id: str,
    ) -> None:
        """Counts an invalid limit, and logs it at each power of two."""
        self._metrics.limit_notices.increment('invalid')
        self._invalid_count += 1
        if self._invalid_count & (self._invalid_count - 1):
            return
        _LOGGER.warning(
            'upstream_limit_invalid',
            extra={
                'code': int(failure.code),
                'upstream': upstream.upstream_id,
                'reason': failure.reason,
                'request_id': request_id,
                'count': self._invalid_count,
            },
        )


def create_rate_limit_reader(
    wire: _wire.Wire, metrics: _gateway_metrics.GatewayMetrics
) -> RateLimitReader:
    """Creates a reader that has read nothing yet."""
    return RateLimitReader(wire, metrics)
