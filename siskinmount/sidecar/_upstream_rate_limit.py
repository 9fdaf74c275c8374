"""Keeps to the request rate that the sidecar's upstream accepts.

All requests to the upstream pass through its sidecar, so its token bucket alone
keeps the limit, whatever the number of entries.
"""

from collections.abc import Callable
import logging
import math

from siskinmount import placement
from siskinmount import results
from siskinmount import transport

_LOGGER = logging.getLogger(__name__)

#: Header of an upstream's response that names the rate.
RATE_HEADER = b'x-max-requests-per-s'


class UpstreamRateLimit:
    """The limit of one upstream, which ends with the upstream's process."""

    __slots__ = ('_limit', '_get_generation', '_invalid_count')

    def __init__(self) -> None:
        self._limit: placement.RateLimit | None = None
        self._get_generation: Callable[[], int] = _return_zero
        self._invalid_count = 0

    def watch_generation(self, get_generation: Callable[[], int]) -> None:
        """Sets the function that returns the number of the process."""
        self._get_generation = get_generation

    def read_response(
        self, headers: transport.Headers, sent_at_s: float
    ) -> None:
        """Applies the limit that a response names, or that it names none.

        Args:
            headers: Headers of the response.
            sent_at_s: Monotonic time at which the request was sent.
        """
        values = {value for name, value in headers if name == RATE_HEADER}
        per_s = placement.parse_rates(values)
        if isinstance(per_s, results.Failure):
            self._log_invalid(per_s)
            return
        limit = self._find_limit()
        if limit is None:
            if per_s is None:
                return
            limit = placement.RateLimit('', self._get_generation())
            self._limit = limit
        earlier_per_s = limit.per_s
        if not limit.apply_response(per_s, sent_at_s):
            return
        _LOGGER.info(
            'upstream_limit_ended' if per_s is None else 'upstream_limit_named',
            extra={'per_s': per_s, 'earlier_per_s': earlier_per_s},
        )

    def count_tokens(self, is_online: bool) -> float:
        """Returns how many requests may be sent now; infinity for any number.

        Args:
            is_online: Whether they are online requests; batch items leave
                tokens to these.
        """
        limit = self._find_limit()
        if limit is None or limit.per_s is None:
            return math.inf
        urgency = placement.Urgency.BATCH
        if is_online:
            urgency = placement.Urgency.HIGHEST
        return limit.get_tokens(1.0) - urgency.value * (limit.burst - 1)

    def find_refusal(self, is_online: bool) -> results.Failure | None:
        """Returns why a request must not be sent now, or None."""
        tokens = self.count_tokens(is_online)
        limit = self._limit
        if tokens >= 1 or limit is None:
            return None
        return results.Failure(
            results.ResultCode.UPSTREAM_RATE_LIMITED,
            f'the upstream accepts {limit.per_s} requests a second',
            retry_after_ms=math.ceil((1 - tokens) / limit.rate_per_s * 1000),
        )

    def record_send(self) -> None:
        """Takes a token for a request to the upstream."""
        limit = self._find_limit()
        if limit is not None:
            limit.get_tokens(1.0)
            limit.record_send()

    def _find_limit(self) -> placement.RateLimit | None:
        """Returns the limit; None if another process has named it."""
        limit = self._limit
        if limit is None or limit.started_at_ms == self._get_generation():
            return limit
        self._limit = None
        _LOGGER.info('upstream_limit_forgotten', extra={'per_s': limit.per_s})
        return None

    def _log_invalid(self, failure: results.Failure) -> None:
        """Logs an invalid limit at each power of two."""
        self._invalid_count += 1
        if self._invalid_count & (self._invalid_count - 1):
            return
        _LOGGER.warning(
            'upstream_limit_invalid',
            extra={
                'code': int(failure.code),
                'reason': failure.reason,
                'count': self._invalid_count,
            },
        )


def ignore_response(headers: transport.Headers, sent_at_s: float) -> None:
    """Applies nothing."""


def _return_zero() -> int:
    return 0


def create_upstream_rate_limit() -> UpstreamRateLimit:
    """Creates the state of an upstream that has named no limit."""
    return UpstreamRateLimit()
