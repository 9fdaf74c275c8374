"""State of one customer: its bucket, its counts, and those of the peers."""

from siskinmount.admission import _decayed_rate
from siskinmount.admission import _quota_use
from siskinmount.admission import _token_bucket

#: For how long peers are told of a request, so that messages may be lost.
RECENT_S = 2.0
#: Parts of that time for which requests are counted.
_RECENT_SLOTS = 8
_SLOT_S = RECENT_S / _RECENT_SLOTS
#: Time constant of what peers' callers ask for: two messages of a peer.
_DEMAND_TIME_CONSTANT_S = 0.3
#: Time constant of the use that counts as recent.
USE_TIME_CONSTANT_S = 2.0
#: Time constant of the usual use: longer than a burst of a customer's callers,
#: shorter than the changes of a day.
USUAL_TIME_CONSTANT_S = 300.0


class _PeerCounts:
    """What a peer last told of the customer.

    Attributes:
        count: Its admitted requests.
        asked_count: All its requests.
        at_s: Time of that message.
    """

    __slots__ = ('count', 'asked_count', 'at_s')

    def __init__(self, count: int, asked_count: int, at_s: float) -> None:
        self.count = count
        self.asked_count = asked_count
        self.at_s = at_s


class CustomerUse:
    """What this member knows of the use of one customer.

    Times are by the clock of `CustomerQuotas`, those of the bucket by the
    fill clock of the members.

    Attributes:
        name: Name of the customer.
        bucket: Tokens of the customer; None if it has no limit, or if its limit
            is not known here.
        count: Requests that this member has admitted.
        asked_count: Requests that it has admitted or refused.
        asked_at_s: Time of the last of them.
        active_at_s: Time of the last request anywhere.
        reported_at_s: Time at which the counts were last told.
        has_news: Whether the counts have changed since.
        others_demand: Requests of the customer at peers.
        use: Admitted requests at all members.
        usual: The same over the last minutes.
        known_since_s: Time from which `usual` counts.
        refused_count: Requests refused since the customer came over its quota.
        refused_at_s: Time of the last of them; None while it is within.
        over_since_s: Time of the first of them.
    """

    __slots__ = (
        'name',
        'bucket',
        'count',
        'asked_count',
        'asked_at_s',
        'active_at_s',
        'reported_at_s',
        'has_news',
        'others_demand',
        'use',
        'usual',
        'known_since_s',
        'refused_count',
        'refused_at_s',
        'over_since_s',
        '_slots',
        '_slot_number',
        '_peers',
    )

    def __init__(self, name: str, now_s: float) -> None:
        self.name = name
        self.bucket: _token_bucket.TokenBucket | None = None
        self.count = 0
        self.asked_count = 0
        self.asked_at_s = float('-inf')
        self.active_at_s = now_s
        self.reported_at_s = float('-inf')
        self.has_news = False
        self.others_demand = _decayed_rate.DecayedRate(
            _DEMAND_TIME_CONSTANT_S, now_s
        )
        self.use = _decayed_rate.DecayedRate(USE_TIME_CONSTANT_S, now_s)
        self.usual = _decayed_rate.DecayedRate(USUAL_TIME_CONSTANT_S, now_s)
        self.known_since_s = now_s
        self.refused_count = 0
        self.refused_at_s: float | None = None
        self.over_since_s = now_s
        self._slots: list[int] = []
        self._slot_number = 0
        self._peers: dict[str, _PeerCounts] = {}

    def record_asked(self, now_s: float) -> None:
        """Counts a request of this member's callers."""
        self.asked_count += 1
        self.asked_at_s = now_s
        self.active_at_s = now_s
        self.has_news = True

    def record_own(self, count: int, now_s: float) -> None:
        """Counts admitted requests; a negative count takes some back."""
        self.count += count
        self.has_news = True
        self._record_use(count, now_s)
        self._advance(now_s)
        slot = self._slot_number % _RECENT_SLOTS
        self._slots[slot] = max(0, self._slots[slot] + count)

    def record_peer(
        self,
        peer: str,
        row: _quota_use.QuotaUse,
        owes_unknown: bool,
        now_s: float,
    ) -> int:
        """Applies the counts of a peer; returns how many tokens it has used.

        Args:
            peer: Name of the peer.
            row: Its counts since its start.
            owes_unknown: Whether its recent requests are its use since its
                last message, if nothing is known of earlier ones.
            now_s: The time.
        """
        known = self._peers.get(peer)
        if known is None:
            used = row.recent_count if owes_unknown else 0
            self._peers[peer] = _PeerCounts(row.count, row.asked_count, now_s)
            asked = used
        else:
            used = row.count - known.count
            asked = max(0, row.asked_count - known.asked_count)
            known.count = row.count
            known.asked_count = row.asked_count
            known.at_s = now_s
        if used or asked:
            self.active_at_s = now_s
        if asked:
            self.others_demand.add(asked, now_s)
        if used:
            self._record_use(used, now_s)
        return used

    def forget_peer(self, peer: str) -> None:
        """Forgets the counts of a peer."""
        self._peers.pop(peer, None)

    def forget_peers(self, before_s: float = float('inf')) -> None:
        """Forgets the counts of peers that have told none since a time."""
        for peer, known in list(self._peers.items()):
            if known.at_s < before_s:
                del self._peers[peer]

    def create_row(self, now_s: float) -> _quota_use.QuotaUse:
        """Returns the counts of this member."""
        recent_count = 0
        if self._slots:
            self._advance(now_s)
            recent_count = sum(self._slots)
        return _quota_use.QuotaUse(
            self.count, min(self.count, recent_count), self.asked_count
        )

    def _record_use(self, count: int, now_s: float) -> None:
        self.use.add(count, now_s)
        self.usual.add(count, now_s)

    def _advance(self, now_s: float) -> None:
        """Clears the slots of the time that has passed."""
        number = int(now_s / _SLOT_S)
        if not self._slots:
            self._slots = [0] * _RECENT_SLOTS
            self._slot_number = number
            return
        passed = min(_RECENT_SLOTS, number - self._slot_number)
        for step in range(passed):
            self._slots[(number - step) % _RECENT_SLOTS] = 0
        self._slot_number = max(number, self._slot_number)
