"""Notes the request rates that upstreams name in their responses."""

import logging

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)


class RateLimitReader:
    """Reads the head of each response of an upstream."""

    __slots__ = ('_wire', '_rate_limits', '_load', '_metrics', '_invalid_count')

    def __init__(
        self,
        wire: _wire.Wire,
        rate_limits: placement.RateLimits,
        load: placement.LoadTable,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._wire = wire
        self._rate_limits = rate_limits
        self._load = load
        self._metrics = metrics
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
        if not self._rate_limits.apply_response(
            upstream, per_s, sent_at_s, request_id
        ):
            return
        self._metrics.limit_notices.increment(
            'ended' if per_s is None else 'named'
        )
        # A new version makes the next message to peers go out at once.
        self._load.version += 1

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
    wire: _wire.Wire,
    rate_limits: placement.RateLimits,
    load: placement.LoadTable,
    metrics: _gateway_metrics.GatewayMetrics,
) -> RateLimitReader:
    """Creates a reader that records limits in a table."""
    return RateLimitReader(wire, rate_limits, load, metrics)
