"""The request rates that upstreams accept from all members together.

Nobody hands out shares: a member may send while the common bucket of an
upstream has a token. In a large fleet many members see the same token before
they hear who took it, so each takes part in proportion to the tokens per rival
request. Members that are silent but may still send keep their share.
"""

from collections.abc import Callable
import enum
import logging
import random

import trio

from siskinmount import fleet
from siskinmount.placement import _arrival_rates
from siskinmount.placement import _rate_limit

_LOGGER = logging.getLogger(__name__)

#: How long the end of a limit is remembered, so that peers hear of it.
ENDED_KEPT_S = 10.0
#: How long the limit of an upstream without an entry is kept.
UNLISTED_KEPT_S = 60.0
#: Several times the upstreams of the largest fleet that is aimed at.
MAX_LIMITS = 5000
#: Bound on the limits and services in one message to peers.
MAX_REPORTS = 64
#: A pause of this process beyond this time has missed requests of peers.
PAUSE_S = 1.0


class Urgency(enum.Enum):
    """How soon work must begin; less urgent work leaves tokens to the rest.

    The value is the share of the burst that is left.
    """

    #: Requests of the highest priority, and those that an upstream has begun.
    HIGHEST = 0.0

    #: Other requests of callers.
    ONLINE = 0.25

    #: Batch items.
    BATCH = 0.5

    #: Requests that other upstreams could begin at once.
    SPARE = 0.75


class RateLimits:
    """The limits of all upstreams that have named one."""

    __slots__ = (
        '_limits',
        '_demand',
        '_peer_demand',
        '_own_demand',
        '_get_share',
        '_share',
        '_get_message_delay_s',
        '_active_at_s',
    )

    def __init__(self) -> None:
        self._limits: dict[str, _rate_limit.RateLimit] = {}
        self._demand = _arrival_rates.create_arrival_rates()
        self._peer_demand: dict[str, dict[str, int]] = {}
        self._own_demand: dict[str, int] = {}
        self._get_share: Callable[[], float] = _return_one
        self._share = 1.0
        self._get_message_delay_s: Callable[[], float] = _return_zero
        self._active_at_s: float | None = None

    def watch_members(
        self,
        get_share: Callable[[], float],
        get_message_delay_s: Callable[[], float],
    ) -> None:
        """Sets the functions that describe the other members.

        Args:
            get_share: Returns the share of each limit that this member and the
                peers that it hears may use together.
            get_message_delay_s: Returns how old the reports of peers are.
        """
        self._get_share = get_share
        self._get_message_delay_s = get_message_delay_s

    def apply_response(
        self,
        upstream: fleet.Upstream,
        per_s: float | None,
        sent_at_s: float,
        request_id: str,
    ) -> bool:
        """Applies what a response says of the limit of its upstream.

        Args:
            upstream: The upstream.
            per_s: The limit in the response; None if it names none.
            sent_at_s: Monotonic time at which the request was sent.
            request_id: Id of the request, for the log.

        Returns:
            Whether the limit has changed.
        """
        limit = self._limits.get(upstream.upstream_id)
        if per_s is None and limit is None:
            return False
        limit = self._get_or_create(
            upstream.upstream_id, upstream.started_at_ms
        )
        if limit is None:
            return False
        earlier_per_s = limit.per_s
        if not limit.apply_response(per_s, sent_at_s):
            return False
        _log_change(limit, earlier_per_s, 'response', request_id)
        return True

    def has_any(self) -> bool:
        """Returns whether any limit is known."""
        return bool(self._limits)

    def is_limited(self, upstream_id: str) -> bool:
        """Returns whether an upstream has a limit at present."""
        limit = self._limits.get(upstream_id)
        return limit is not None and limit.per_s is not None

    def count_tokens(self, upstream_id: str, urgency: Urgency) -> float:
        """Returns how many requests an upstream may be sent now.

        Returns:
            Infinity for an upstream without a limit.
        """
        limit = self._limits.get(upstream_id)
        if limit is None or limit.per_s is None:
            return float('inf')
        self._check_pause()
        reserve = urgency.value * (limit.burst - 1)
        return limit.get_tokens(self._update_share()) - reserve

    def may_compete(self, service: str, tokens: float) -> bool:
        """Returns whether a request may take one of some tokens.

        Peers whose requests are not known yet see the same tokens, for twice
        the mean age of reports at most.

        Args:
            service: Service of the request.
            tokens: Tokens of all its upstreams.
        """
        delay_s = 2 * self._get_message_delay_s()
        rivals = self._demand.estimate_per_s([service]) * delay_s
        return rivals <= 1 or random.random() * rivals < tokens

    def estimate_retry_s(
        self, service: str, upstream_ids: list[str], urgency: Urgency
    ) -> float:
        """Returns after what time a caller that is refused should come back.

        That is when the next token is due, and a random part of the time that
        the limits need for what callers ask beyond them in a second.
        """
        next_s = float('inf')
        rate_per_s = 0.0
        share = self._update_share()
        for upstream_id in upstream_ids:
            limit = self._limits.get(upstream_id)
            if limit is None or limit.per_s is None:
                continue
            missing = 1 - self.count_tokens(upstream_id, urgency)
            next_s = min(next_s, max(0.0, missing) / limit.rate_per_s / share)
            rate_per_s += limit.rate_per_s * share
        if not rate_per_s:
            return 0.0
        asked_per_s = self._demand.estimate_per_s([service])
        excess = max(0.0, asked_per_s - rate_per_s) / rate_per_s
        return next_s + random.uniform(0, excess)

    def record_demand(self, service: str) -> None:
        """Counts a request, placed or refused, while there are limits."""
        if not self._limits:
            return
        self._own_demand[service] = self._own_demand.get(service, 0) + 1

    def record_send(self, upstream_id: str) -> None:
        """Takes a token of an upstream that is sent a request."""
        limit = self._limits.get(upstream_id)
        if limit is not None:
            limit.get_tokens(self._update_share())
            limit.record_send()

    def list_reports(self) -> dict[str, _rate_limit.RateLimitReport]:
        """Returns what peers must be told, by upstream."""
        recent: dict[str, _rate_limit.RateLimitReport] = {}
        others: dict[str, _rate_limit.RateLimitReport] = {}
        for upstream_id, limit in self._limits.items():
            report = limit.create_report()
            if report is None:
                continue
            (recent if report.recent_count else others)[upstream_id] = report
        return dict(list((recent | others).items())[:MAX_REPORTS])

    def list_demand(self) -> dict[str, int]:
        """Returns how many requests this member has counted, by service."""
        if not self._limits:
            return {}
        return dict(list(self._own_demand.items())[:MAX_REPORTS])

    def apply_reports(
        self,
        peer: str,
        reports: dict[str, _rate_limit.RateLimitReport],
        demand: dict[str, int],
    ) -> None:
        """Applies what a peer tells of limits and of its callers' requests."""
        self._check_pause()
        for upstream_id, report in reports.items():
            self._apply_report(peer, upstream_id, report)
        known = self._peer_demand.setdefault(peer, {})
        for service, count in demand.items():
            earlier = known.get(service, count)
            known[service] = count
            if count > earlier:
                self._demand.record(service, count - earlier)

    def forget_peer(self, peer: str) -> None:
        """Forgets the counts of a peer that is silent or has restarted."""
        self._peer_demand.pop(peer, None)
        for limit in self._limits.values():
            limit.forget_peer(peer)

    def forget(self, upstream_id: str) -> None:
        """Forgets the limit of an upstream that is gone or has restarted."""
        if self._limits.pop(upstream_id, None) is not None:
            _LOGGER.info(
                'upstream_limit_forgotten', extra={'upstream': upstream_id}
            )

    def expire(self, listed: set[str]) -> None:
        """Forgets limits that are over.

        Args:
            listed: Ids of the upstreams that have an entry.
        """
        self._check_pause()
        now_s = trio.current_time()
        for upstream_id, limit in list(self._limits.items()):
            if limit.per_s is None:
                is_over = now_s - limit.ended_at_s > ENDED_KEPT_S
            else:
                is_unlisted = upstream_id not in listed
                is_old = now_s - limit.named_at_s > UNLISTED_KEPT_S
                is_over = is_unlisted and is_old
            if is_over:
                del self._limits[upstream_id]
        if not self._limits:
            self._own_demand.clear()

    def count_limited(self) -> int:
        """Returns how many upstreams have a limit at present."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def describe(self, upstream_id: str) -> dict[str, object]:
        """Returns what a decision on an upstream's limit rests on."""
        limit = self._limits.get(upstream_id)
        if limit is None or limit.per_s is None:
            return {}
        return {
            'per_s': limit.per_s,
            'tokens': round(limit.get_tokens(self._update_share()), 2),
            'share': round(self._share, 3),
            'named_ms_ago': int(
                (trio.current_time() - limit.named_at_s) * 1000
            ),
        }

    def _apply_report(
        self,
        peer: str,
        upstream_id: str,
        report: _rate_limit.RateLimitReport,
    ) -> None:
        if upstream_id not in self._limits and report.per_s is None:
            return
        limit = self._get_or_create(upstream_id, report.started_at_ms)
        if limit is None:
            return
        limit.get_tokens(self._update_share())
        earlier_per_s = limit.per_s
        if limit.apply_report(peer, report):
            _log_change(limit, earlier_per_s, peer, '')

    def _get_or_create(
        self, upstream_id: str, started_at_ms: int
    ) -> _rate_limit.RateLimit | None:
        """Returns the limit of an upstream; None for an earlier start of it."""
        limit = self._limits.get(upstream_id)
        if limit is not None and limit.started_at_ms > started_at_ms:
            return None
        if limit is None or limit.started_at_ms < started_at_ms:
            if limit is None and len(self._limits) >= MAX_LIMITS:
                _LOGGER.warning(
                    'upstream_limit_dropped', extra={'upstream': upstream_id}
                )
                return None
            limit = _rate_limit.RateLimit(upstream_id, started_at_ms)
            self._limits[upstream_id] = limit
        return limit

    def _update_share(self) -> float:
        """Returns the share of each limit that may be used; logs changes."""
        share = self._get_share()
        if share != self._share:
            _LOGGER.info(
                'limit_share_changed',
                extra={
                    'share': round(share, 3),
                    'earlier': round(self._share, 3),
                    'limits': len(self._limits),
                },
            )
            self._share = share
        return share

    def _check_pause(self) -> None:
        """Drops all tokens if this process has not run for a while."""
        now_s = trio.current_time()
        active_at_s = self._active_at_s
        self._active_at_s = now_s
        if active_at_s is None or now_s - active_at_s <= PAUSE_S:
            return
        if not self._limits:
            return
        for limit in self._limits.values():
            limit.drop_tokens()
        _LOGGER.info(
            'limit_tokens_dropped',
            extra={'paused_ms': int((now_s - active_at_s) * 1000)},
        )


def _log_change(
    limit: _rate_limit.RateLimit,
    earlier_per_s: float | None,
    source: str,
    request_id: str,
) -> None:
    _LOGGER.info(
        'upstream_limit_ended'
        if limit.per_s is None
        else 'upstream_limit_named',
        extra={
            'upstream': limit.upstream_id,
            'started_at_ms': limit.started_at_ms,
            'per_s': limit.per_s,
            'earlier_per_s': earlier_per_s,
            'source': source,
            'request_id': request_id,
        },
    )


def _return_one() -> float:
    return 1.0


def _return_zero() -> float:
    return 0.0


def create_rate_limits() -> RateLimits:
    """Creates a `RateLimits` for a fleet of one member and no limits."""
    return RateLimits()
