"""Quotas of customers, kept by all gateways together.

Each member keeps a bucket of the whole quota of a customer. It is debited for
the member's own requests at once, and for those of its peers when they report
them. The buckets fill by the clock of `FillClock`, which advances as this member
hears of the others, so that members that are cut off from each other fill theirs
at shares that add up to one.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import logging
import random
import time
from typing import Protocol

from siskinmount import customers
from siskinmount import results
from siskinmount.admission import _customer_use
from siskinmount.admission import _decayed_rate
from siskinmount.admission import _quota_use
from siskinmount.admission import _token_bucket

_LOGGER = logging.getLogger(__name__)

#: Rows of one message to peers.
MAX_ROWS = 64
#: Customers whose use is kept: more than the largest document has.
MAX_CUSTOMERS = 40_000
#: How long the use of a customer without requests is kept: its usual use is
#: known from it.
FORGET_S = 600.0
#: Customers that are checked for that in one step.
EXPIRE_STEP = 500
#: A pause of this process beyond this time has missed requests of peers.
PAUSE_S = 1.0
#: Longest time for which a pause of the machine is not noticed after it.
BOOT_READ_INTERVAL_S = 0.02
#: Time in which members that see the same tokens take them, in delays of
#: messages, and its minimum: datagrams between regions take up to 0.3 s.
SPEND_DELAYS = 2.0
MIN_SPEND_S = 0.25
#: Least size of a bucket, in seconds of the rate and in requests. Callers come
#: at random, and those who share tokens take them over `MIN_SPEND_S`.
MIN_SIZE_S = 0.3
MIN_SIZE_REQUESTS = 3.0
#: Share of the permitted excess by which that may be above the burst.
MIN_SIZE_EXCESS_SHARE = 0.5
#: Bound on a refused caller's wait beyond the next token.
MAX_SPREAD_S = 5.0
MIN_RETRY_MS = 50
#: First refusals of a customer that are logged each; then at powers of two.
LOGGED_REFUSALS = 3
#: A customer without refusals for this time is within its quota again.
WITHIN_AFTER_S = 5.0
#: Share of the tokens that a member may hold must change by this much before
#: the change is logged.
_LOGGED_SHARE_CHANGE = 0.005


class FillClock(Protocol):
    """Tells how much of the quotas the reachable members may use."""

    def get_filled_s(self) -> float:
        """Returns the time for which buckets have filled at the whole rate.

        It stands still before the members are known, and advances at the share
        of the reachable members.
        """
        ...

    def get_share(self) -> float:
        """Returns the share of reachable members, with this one."""
        ...

    def get_message_delay_s(self) -> float:
        """Returns the mean age of what peers tell."""
        ...


class _SoleMember:
    """The fill clock of a fleet of one member."""

    __slots__ = ('_clock', '_began_at_s')

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._began_at_s = clock()

    def get_filled_s(self) -> float:
        return self._clock() - self._began_at_s

    def get_share(self) -> float:
        return 1.0

    def get_message_delay_s(self) -> float:
        return 0.0


class QuotaTicket:
    """One admitted request of a customer."""

    __slots__ = ('_quotas', '_customer')

    def __init__(
        self, quotas: 'CustomerQuotas | None' = None, customer: str = ''
    ) -> None:
        self._quotas = quotas
        self._customer = customer

    def give_back(self) -> None:
        """Gives back the token of a request that no upstream has started.

        Further calls have no effect.
        """
        quotas = self._quotas
        self._quotas = None
        if quotas is not None:
            quotas.give_back(self._customer)


class CustomerQuotas:
    """Admits requests of customers within their quotas.

    Attributes:
        admitted_count: Requests admitted since the start.
        refused_count: Requests refused since the start.
        total_use: Admitted requests of all customers at all members.
        total_usual: The same over the last minutes.
    """

    __slots__ = (
        'admitted_count',
        'refused_count',
        'total_use',
        'total_usual',
        '_window_s',
        '_excess_share',
        '_slack_requests',
        '_clock',
        '_fill_clock',
        '_customers',
        '_uses',
        '_reported',
        '_over',
        '_active_at_s',
        '_created_at_s',
        '_began_at_s',
        '_began_filled_s',
        '_logged_share',
        '_announce',
        '_random',
    )

    def __init__(
        self,
        window_s: float,
        excess_share: float,
        slack_requests: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.admitted_count = 0
        self.refused_count = 0
        self._window_s = window_s
        self._excess_share = excess_share
        self._slack_requests = slack_requests
        self._clock = clock
        self._fill_clock: FillClock = _SoleMember(clock)
        self._customers: dict[str, customers.Customer] = {}
        # In the order of the last use, so that idle ones come first.
        self._uses: dict[str, _customer_use.CustomerUse] = {}
        self._reported: dict[str, _customer_use.CustomerUse] = {}
        self._over: dict[str, _customer_use.CustomerUse] = {}
        self._active_at_s: float | None = None
        self._created_at_s = clock()
        self._began_at_s = self._created_at_s
        self._began_filled_s = 0.0
        self._logged_share = 1.0
        self._announce: Callable[[], None] = _ignore
        self._random = rng
        self.total_use = _decayed_rate.DecayedRate(
            _customer_use.USE_TIME_CONSTANT_S, clock()
        )
        self.total_usual = _decayed_rate.DecayedRate(
            _customer_use.USUAL_TIME_CONSTANT_S, clock()
        )

    def get_time_s(self) -> float:
        """Returns the time of the clock of this object."""
        return self._clock()

    def watch_members(
        self, fill_clock: FillClock, announce: Callable[[], None]
    ) -> None:
        """Sets what describes the other members.

        Args:
            fill_clock: Tells how much of the quotas may be used.
            announce: Has peers told of an admitted request at once.
        """
        self._fill_clock = fill_clock
        self._announce = announce
        self._began_filled_s = fill_clock.get_filled_s()

    def apply_customers(self, listed: Iterable[customers.Customer]) -> None:
        """Applies the customers of the document in force.

        Changed quotas take effect at once; customers that are not listed lose
        theirs and are forgotten once they are idle.
        """
        self._customers = {customer.name: customer for customer in listed}
        filled_s = self._fill_clock.get_filled_s()
        for name, use in self._uses.items():
            customer = self._customers.get(name)
            if customer is None:
                use.bucket = None
                continue
            self._configure(use, customer, filled_s)

    def admit(
        self, customer: customers.Customer
    ) -> QuotaTicket | results.Failure:
        """Takes a token, or fails with `CALLER_OVER_LIMIT`."""
        now_s = self._clock()
        self.check_pause()
        filled_s = self._fill_clock.get_filled_s()
        earlier = self._customers.get(customer.name)
        self._customers[customer.name] = customer
        use = self._get_or_create(customer.name, now_s, filled_s)
        if earlier is not customer:
            self._configure(use, customer, filled_s)
        use.record_asked(now_s)
        self._reported[customer.name] = use
        bucket = use.bucket
        if bucket is not None:
            bucket.limit(bucket.burst * self._update_share(), filled_s)
            tokens = bucket.count_tokens(filled_s)
            if tokens < 1 or not self._may_compete(use, tokens, now_s):
                return self._refuse(use, bucket, tokens, now_s)
            bucket.take(filled_s)
        use.record_own(1, now_s)
        self._record_total(1, now_s)
        self.admitted_count += 1
        self._announce()
        return QuotaTicket(self, customer.name)

    def give_back(self, name: str) -> None:
        """Returns the token of a customer's request that has not run."""
        use = self._uses.get(name)
        if use is None:
            return
        now_s = self._clock()
        use.record_own(-1, now_s)
        self._record_total(-1, now_s)
        self._reported[name] = use
        self.admitted_count -= 1
        if use.bucket is not None:
            use.bucket.debit(
                -1, self._get_min_tokens(use), self._fill_clock.get_filled_s()
            )

    def apply_use(
        self,
        peer: str,
        rows: dict[str, _quota_use.QuotaUse],
        silent_s: float,
        max_silent_s: float,
    ) -> None:
        """Applies the counts of a peer.

        What a peer used while it was unreachable is no debt of this member, whose
        buckets have not filled for that peer's share either.

        Args:
            peer: Name of the peer.
            rows: Its counts, by customer.
            silent_s: Time since its last message; infinite for a process that has
                not sent one before.
            max_silent_s: Time after which buckets do not fill for it.
        """
        self.check_pause()
        now_s = self._clock()
        filled_s = self._fill_clock.get_filled_s()
        # Buckets that began empty a moment ago owe nothing for earlier use.
        is_young = now_s - self._began_at_s < _customer_use.RECENT_S
        is_new = silent_s == float('inf')
        is_heard_again = not is_new and silent_s > max_silent_s
        if is_new or is_heard_again:
            self._forget_peer(peer)
        owes_unknown = not is_young and not is_heard_again
        for name, row in rows.items():
            use = self._uses.get(name)
            if use is None:
                if not row.recent_count:
                    continue
                use = self._get_or_create(name, now_s, filled_s)
            used = use.record_peer(peer, row, owes_unknown, now_s)
            if used:
                self._record_total(used, now_s)
            if used and use.bucket is not None:
                use.bucket.debit(used, self._get_min_tokens(use), filled_s)

    def list_use(self) -> dict[str, _quota_use.QuotaUse]:
        """Returns what peers must be told, by customer.

        Beyond `MAX_ROWS` customers, those whose counts are news come first, and
        then those that were told the longest time ago.
        """
        now_s = self._clock()
        for name, use in list(self._reported.items()):
            if now_s - use.asked_at_s > _customer_use.RECENT_S:
                if not use.has_news:
                    del self._reported[name]
        chosen = list(self._reported.values())
        if len(chosen) > MAX_ROWS:
            chosen = heapq.nsmallest(MAX_ROWS, chosen, key=_get_report_order)
        rows: dict[str, _quota_use.QuotaUse] = {}
        for use in chosen:
            rows[use.name] = use.create_row(now_s)
            use.reported_at_s = now_s
            use.has_news = False
        return rows

    def check_pause(self) -> None:
        """Drops all tokens if this process has not run for a while."""
        now_s = self._clock()
        active_at_s = self._active_at_s
        self._active_at_s = now_s
        if active_at_s is None or now_s - active_at_s <= PAUSE_S:
            return
        filled_s = self._fill_clock.get_filled_s()
        for use in self._uses.values():
            use.forget_peers()
            if use.bucket is not None:
                use.bucket.drop(filled_s)
        self._began_at_s = now_s
        self._began_filled_s = filled_s
        if self._uses:
            _LOGGER.info(
                'quota_tokens_dropped',
                extra={
                    'paused_ms': int((now_s - active_at_s) * 1000),
                    'customers': len(self._uses),
                },
            )

    def expire(self) -> None:
        """Forgets idle customers; logs who is within its quota again."""
        self.check_pause()
        now_s = self._clock()
        self._update_share()
        self._fill_clock.get_filled_s()
        for name, use in list(self._over.items()):
            if use.refused_at_s is None:
                continue
            if now_s - use.refused_at_s < WITHIN_AFTER_S:
                continue
            del self._over[name]
            _LOGGER.info(
                'customer_within_quota',
                extra={
                    'customer': name,
                    'refused': use.refused_count,
                    'over_ms': int((use.refused_at_s - use.over_since_s) * 1e3),
                },
            )
            use.refused_count = 0
            use.refused_at_s = None
        self._forget_idle(now_s)

    def get_use(self, name: str) -> _customer_use.CustomerUse | None:
        """Returns the use of a customer; None if it has none."""
        return self._uses.get(name)

    def count_active(self, since_s: float) -> int:
        """Returns how many customers have had a request since a time."""
        return sum(use.active_at_s >= since_s for use in self._uses.values())

    def list_top(self, count: int) -> list[tuple[str, float]]:
        """Returns the customers with the highest recent use, per second."""
        now_s = self._clock()
        return heapq.nlargest(
            count,
            (
                (use.name, use.use.get_per_s(now_s))
                for use in self._uses.values()
            ),
            key=_get_per_s,
        )

    def get_total_usual_per_s(self) -> float:
        """Returns the usual use of all customers together."""
        return self.total_usual.get_mean_per_s(
            self._created_at_s, self._clock()
        )

    def count_over(self) -> int:
        """Returns how many customers are over their quota at this member."""
        return len(self._over)

    def describe(self, name: str) -> dict[str, object]:
        """Returns what a decision on a customer's quota rests on."""
        use = self._uses.get(name)
        if use is None or use.bucket is None:
            return {}
        now_s = self._clock()
        tokens = use.bucket.count_tokens(self._fill_clock.get_filled_s())
        return {
            'rate_per_s': use.bucket.rate_per_s,
            'tokens': round(tokens, 2),
            'share': round(self._logged_share, 3),
            'use_per_s': round(use.use.get_per_s(now_s), 2),
            'others_ask_per_s': round(use.others_demand.get_per_s(now_s), 2),
        }

    def _refuse(
        self,
        use: _customer_use.CustomerUse,
        bucket: _token_bucket.TokenBucket,
        tokens: float,
        now_s: float,
    ) -> results.Failure:
        """Refuses a request, and counts and logs that."""
        self.refused_count += 1
        share = max(self._logged_share, 0.01)
        rate_per_s = bucket.rate_per_s * share
        asked_per_s = use.others_demand.get_per_s(now_s) + rate_per_s
        # Callers that are told the same time would come back together.
        spread_s = min(MAX_SPREAD_S, asked_per_s / rate_per_s)
        retry_s = max(0.0, 1 - tokens) / rate_per_s
        retry_s += self._random.uniform(0, max(spread_s, 1 / rate_per_s))
        retry_ms = max(MIN_RETRY_MS, int(retry_s * 1000))
        if use.refused_at_s is None:
            use.over_since_s = now_s
            self._over[use.name] = use
        use.refused_at_s = now_s
        use.refused_count += 1
        count = use.refused_count
        if count <= LOGGED_REFUSALS or count & (count - 1) == 0:
            _LOGGER.info(
                'customer_over_quota',
                extra={
                    'customer': use.name,
                    'refused': count,
                    'retry_after_ms': retry_ms,
                    **self.describe(use.name),
                },
            )
        return results.Failure(
            results.ResultCode.CALLER_OVER_LIMIT,
            f'the customer exceeds {bucket.rate_per_s:g} requests per second',
            retry_after_ms=retry_ms,
        )

    def _may_compete(
        self, use: _customer_use.CustomerUse, tokens: float, now_s: float
    ) -> bool:
        """Returns whether a request may take one of some tokens.

        Peers whose requests are not known yet see the same tokens, so each
        takes part at the share of tokens among the requests of that time.
        """
        delay_s = self._fill_clock.get_message_delay_s()
        spend_s = max(MIN_SPEND_S, SPEND_DELAYS * delay_s)
        rivals = use.others_demand.get_per_s(now_s) * spend_s
        return rivals <= 1 or self._random.random() * rivals < tokens

    def _configure(
        self,
        use: _customer_use.CustomerUse,
        customer: customers.Customer,
        filled_s: float,
    ) -> None:
        """Applies the quota of a customer to what is known of its use."""
        if customer.rate_per_s <= 0:
            use.bucket = None
            return
        size = self._compute_size(customer)
        if use.bucket is None:
            # Its tokens may have been used where no limit was known.
            use.bucket = _token_bucket.TokenBucket(
                customer.rate_per_s, size, filled_s, 0.0
            )
            return
        use.bucket.configure(customer.rate_per_s, size, filled_s)

    def _restore(self, use: _customer_use.CustomerUse, filled_s: float) -> None:
        """Creates the bucket of a customer without recent use.

        It is as full as one that began with this process would be.
        """
        customer = self._customers.get(use.name)
        if customer is None or customer.rate_per_s <= 0:
            return
        use.bucket = _token_bucket.TokenBucket(
            customer.rate_per_s,
            self._compute_size(customer),
            filled_s,
            (filled_s - self._began_filled_s) * customer.rate_per_s,
        )

    def _compute_size(self, customer: customers.Customer) -> float:
        """Returns the largest number of tokens of a customer."""
        quota = customer.rate_per_s * self._window_s + customer.burst
        excess = quota * self._excess_share + self._slack_requests
        least = MIN_SIZE_REQUESTS + customer.rate_per_s * MIN_SIZE_S
        most = customer.burst + excess * MIN_SIZE_EXCESS_SHARE
        return max(1.0, customer.burst, min(least, most))

    def _get_min_tokens(self, use: _customer_use.CustomerUse) -> float:
        """Returns the bound on the debt of a customer.

        No request is admitted for a window after it has been reached.
        """
        if use.bucket is None:
            return 0.0
        return -1 - use.bucket.rate_per_s * self._window_s

    def _update_share(self) -> float:
        """Returns the share of reachable members; logs changes."""
        share = self._fill_clock.get_share()
        if abs(share - self._logged_share) > _LOGGED_SHARE_CHANGE:
            _LOGGER.info(
                'quota_share_changed',
                extra={
                    'share': round(share, 3),
                    'earlier': round(self._logged_share, 3),
                    'customers': len(self._uses),
                },
            )
            self._logged_share = share
        return share

    def _get_or_create(
        self, name: str, now_s: float, filled_s: float
    ) -> _customer_use.CustomerUse:
        use = self._uses.get(name)
        if use is not None:
            return use
        if len(self._uses) >= MAX_CUSTOMERS:
            oldest = min(self._uses.values(), key=_get_active_at_s)
            self._drop(oldest.name)
        use = _customer_use.CustomerUse(name, now_s)
        self._uses[name] = use
        self._restore(use, filled_s)
        return use

    def _forget_idle(self, now_s: float) -> None:
        """Forgets some idle customers; the others change to the end."""
        for name in list(self._uses)[:EXPIRE_STEP]:
            use = self._uses[name]
            if now_s - use.active_at_s > FORGET_S:
                self._drop(name)
                continue
            use.forget_peers(now_s - 2 * _customer_use.RECENT_S)
            del self._uses[name]
            self._uses[name] = use

    def _record_total(self, count: int, now_s: float) -> None:
        self.total_use.add(count, now_s)
        self.total_usual.add(count, now_s)

    def _forget_peer(self, peer: str) -> None:
        for use in self._uses.values():
            use.forget_peer(peer)

    def _drop(self, name: str) -> None:
        del self._uses[name]
        self._reported.pop(name, None)
        self._over.pop(name, None)


def _ignore() -> None:
    """Does nothing."""


def _get_report_order(
    use: _customer_use.CustomerUse,
) -> tuple[bool, float]:
    return (not use.has_news, use.reported_at_s)


def _get_active_at_s(use: _customer_use.CustomerUse) -> float:
    return use.active_at_s


def _get_per_s(row: tuple[str, float]) -> float:
    return row[1]


class CoarseBootClock:
    """Returns seconds, those of a suspension of the machine included.

    Each message of a peer asks for the time several times. The boot clock is a
    system call on some machines, so it is read once in `BOOT_READ_INTERVAL_S`
    of the monotonic clock, which stands still in a suspension.
    """

    __slots__ = ('_read_at_s', '_boot_s')

    def __init__(self) -> None:
        self._read_at_s = float('-inf')
        self._boot_s = 0.0

    def __call__(self) -> float:
        now_s = time.monotonic()
        if now_s - self._read_at_s >= BOOT_READ_INTERVAL_S:
            self._read_at_s = now_s
            self._boot_s = customers.read_boot_clock()
        return self._boot_s + now_s - self._read_at_s


def create_customer_quotas(
    window_s: float = 5.0,
    excess_share: float = 0.1,
    slack_requests: float = 20,
    clock: Callable[[], float] | None = None,
    rng: random.Random | None = None,
) -> CustomerQuotas:
    """Creates quotas of which nothing has been used.

    Args:
        window_s: Span in which a quota is checked.
        excess_share: Share by which a quota may be exceeded.
        slack_requests: Requests by which it may be exceeded besides.
        clock: Returns seconds, those of a suspension included.
        rng: Draws among requests that see the same tokens.
    """
    return CustomerQuotas(
        window_s,
        excess_share,
        slack_requests,
        clock or CoarseBootClock(),
        rng or random.Random(),
    )
