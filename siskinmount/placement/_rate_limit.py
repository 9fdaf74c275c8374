"""The request rate that one upstream accepts from all members together.

Each member keeps a token bucket of the whole limit. It is debited for the
member's own requests when they are sent, and for those of its peers when they
report them, so the buckets of all members agree but for the delay of messages.
"""

import collections

import trio

#: Requests that may follow each other at once, in seconds of the limit.
BURST_S = 1.5
#: Bound on the debt of a bucket, in seconds of the limit.
MAX_DEBT_S = 4.0
#: Rate at which an upstream that accepts less is asked again. Only a response
#: can end a limit.
MIN_PER_S = 0.1
#: How long peers are told of a request, so that some messages may be lost.
RECENT_S = 2.0
#: Bound on the send times that are kept.
MAX_RECENT = 1000


class RateLimitReport:
    """What a member tells its peers about the limit of an upstream.

    Attributes:
        started_at_ms: Start of the upstream, in Unix milliseconds.
        sent_count: Requests that the member has sent there.
        recent_count: How many of them in the last `RECENT_S`.
        age_s: Time since the last response to the member that the report is
            about; None if it has had none.
        per_s: The limit in that response; None if it named none.
    """

    __slots__ = (
        'started_at_ms',
        'sent_count',
        'recent_count',
        'age_s',
        'per_s',
    )

    def __init__(
        self,
        started_at_ms: int,
        sent_count: int,
        recent_count: int,
        age_s: float | None = None,
        per_s: float | None = None,
    ) -> None:
        self.started_at_ms = started_at_ms
        self.sent_count = sent_count
        self.recent_count = recent_count
        self.age_s = age_s
        self.per_s = per_s


class RateLimit:
    """The limit of one upstream, and what is left of it.

    Attributes:
        upstream_id: Id of the upstream.
        started_at_ms: Start of the upstream, in Unix milliseconds.
        per_s: Accepted requests per second; None if there is no limit any more.
        named_at_s: Monotonic time of the newest response that named a limit.
        ended_at_s: Monotonic time at which the newest request was sent whose
            response named none; negative infinity before.
        own_age_from_s: Monotonic time that this member's own newest response
            counts from; None before the first.
        own_per_s: The limit in that response.
        sent_count: Requests that this member has sent.
    """

    __slots__ = (
        'upstream_id',
        'started_at_ms',
        'per_s',
        'named_at_s',
        'ended_at_s',
        'own_age_from_s',
        'own_per_s',
        'sent_count',
        '_sent_at_s',
        '_peer_counts',
        '_tokens',
        '_filled_at_s',
    )

    def __init__(self, upstream_id: str, started_at_ms: int) -> None:
        self.upstream_id = upstream_id
        self.started_at_ms = started_at_ms
        self.per_s: float | None = None
        self.named_at_s = float('-inf')
        self.ended_at_s = float('-inf')
        self.own_age_from_s: float | None = None
        self.own_per_s: float | None = None
        self.sent_count = 0
        self._sent_at_s: collections.deque[float] = collections.deque(
            maxlen=MAX_RECENT
        )
        self._peer_counts: dict[str, int] = {}
        # The upstream has just had more requests than it accepts.
        self._tokens = 0.0
        self._filled_at_s = trio.current_time()

    @property
    def rate_per_s(self) -> float:
        """Requests per second that all members together may send."""
        return max(MIN_PER_S, self.per_s or 0.0)

    @property
    def burst(self) -> float:
        """Largest number of tokens."""
        return 1 + max(1.0, self.rate_per_s * BURST_S)

    def apply_response(self, per_s: float | None, sent_at_s: float) -> bool:
        """Applies a response of the upstream to this member.

        Responses can overtake each other, so one that names no limit ends it
        only if its request was sent after the limit was last named.

        Args:
            per_s: The limit in the response; None if it names none.
            sent_at_s: Monotonic time at which the request was sent.

        Returns:
            Whether the limit has changed.
        """
        now_s = trio.current_time()
        if per_s is None and sent_at_s <= self.named_at_s:
            return False
        at_s = now_s if per_s is not None else sent_at_s
        self.own_age_from_s = at_s
        self.own_per_s = per_s
        return self._apply(per_s, at_s)

    def apply_report(self, peer: str, report: RateLimitReport) -> bool:
        """Applies the report of a peer; returns whether the limit changed."""
        self._debit_peer(peer, report)
        if report.age_s is None:
            return False
        at_s = trio.current_time() - report.age_s
        if at_s <= max(self.named_at_s, self.ended_at_s):
            return False
        return self._apply(report.per_s, at_s)

    def create_report(self) -> RateLimitReport | None:
        """Returns what peers must be told; None if they know.

        These are recent requests, and the newest response if it came to this
        member.
        """
        now_s = trio.current_time()
        while self._sent_at_s and self._sent_at_s[0] < now_s - RECENT_S:
            self._sent_at_s.popleft()
        newest_at_s = max(self.named_at_s, self.ended_at_s)
        is_newest = (
            self.own_age_from_s is not None
            and self.own_age_from_s >= newest_at_s
        )
        if not self._sent_at_s and not is_newest:
            return None
        age_s: float | None = None
        if self.own_age_from_s is not None:
            age_s = now_s - self.own_age_from_s
        return RateLimitReport(
            self.started_at_ms,
            self.sent_count,
            len(self._sent_at_s),
            age_s,
            self.own_per_s,
        )

    def get_tokens(self, share: float) -> float:
        """Returns the tokens; negative after too many requests.

        Args:
            share: Share of the limit that the reachable members may use.
        """
        now_s = trio.current_time()
        added = (now_s - self._filled_at_s) * self.rate_per_s * share
        self._filled_at_s = now_s
        self._tokens = min(self.burst, self._tokens + added)
        return self._tokens

    def record_send(self) -> None:
        """Takes a token for a request of this member."""
        self.sent_count += 1
        self._sent_at_s.append(trio.current_time())
        self._debit(1)

    def forget_peer(self, peer: str) -> None:
        """Forgets how many requests a peer has sent."""
        self._peer_counts.pop(peer, None)

    def drop_tokens(self) -> None:
        """Drops all tokens, as requests of peers may have been missed."""
        self._tokens = min(0.0, self._tokens)
        self._filled_at_s = trio.current_time()

    def _apply(self, per_s: float | None, at_s: float) -> bool:
        if per_s is None:
            self.ended_at_s = max(self.ended_at_s, at_s)
        else:
            self.named_at_s = max(self.named_at_s, at_s)
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self.drop_tokens()
        self.per_s = per_s
        self._tokens = min(self.burst, self._tokens)
        return True

    def _debit_peer(self, peer: str, report: RateLimitReport) -> None:
        """Takes tokens for the requests that a peer has sent since."""
        earlier = self._peer_counts.get(peer)
        if earlier is None or earlier > report.sent_count:
            earlier = report.sent_count - report.recent_count
        self._peer_counts[peer] = report.sent_count
        self._debit(report.sent_count - earlier)

    def _debit(self, count: int) -> None:
        max_debt = 1 + self.rate_per_s * MAX_DEBT_S
        self._tokens = max(-max_debt, self._tokens - count)
