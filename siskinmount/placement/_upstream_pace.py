"""How many requests one starting or recovered upstream may have in flight.

The window is a function of sums over all members, so that all of them come to
the same one, in whatever order they learn of answers.
"""

import trio

#: Requests that an upstream that has just started may have in flight.
START_WINDOW = 4
#: The same for one that has failed, or that crashed while it was starting.
RECOVERY_WINDOW = 2
#: An upstream without any request would never be found to have recovered.
MIN_WINDOW = 1
#: What a late or failed answer takes from the window; one in time adds 1, so
#: the window grows while fewer than a third of the answers are late.
BAD_ANSWER_COST = 2
#: How far the sum may be below `MIN_WINDOW` before the count begins anew. A long
#: fault would otherwise leave a debt that needs as many answers.
MAX_DEBT = 4
#: Answers that are slower than those of other upstreams, but within the target,
#: that count as one.
SLOW_ANSWERS_PER_GOOD = 4
#: The window ends when it is larger than so many times the slots: with the
#: acceptable wait of routes, placement sends no more than that.
END_SLOTS_FACTOR = 2
#: Largest slot count that is taken at its word, so that the window of an
#: upstream with very many slots ends within that many answers.
MAX_COUNTED_SLOTS = 64


class PaceReport:
    """What a member tells its peers of the answers of an upstream.

    Attributes:
        started_at_ms: Start of the upstream, in Unix milliseconds. It is only
            compared with equal values, never with a clock.
        good: Answers in time that the member has had in this episode.
        bad: Late or failed ones.
        episode: 0 for the start; greater after failures.
        is_ended: Whether the window of the member is over.
    """

    __slots__ = ('started_at_ms', 'good', 'bad', 'episode', 'is_ended')

    def __init__(
        self,
        started_at_ms: int,
        good: int,
        bad: int,
        episode: int = 0,
        is_ended: bool = False,
    ) -> None:
        self.started_at_ms = started_at_ms
        self.good = good
        self.bad = bad
        self.episode = episode
        self.is_ended = is_ended

    def equals(self, other: 'PaceReport') -> bool:
        """Returns whether another report tells the same."""
        return (
            self.good == other.good
            and self.bad == other.bad
            and self.episode == other.episode
            and self.started_at_ms == other.started_at_ms
            and self.is_ended == other.is_ended
        )


class UpstreamPace:
    """The window of one start of an upstream.

    Attributes:
        upstream_id: Id of the upstream.
        started_at_ms: Start of the upstream.
        episode: 0 for the start; greater after failures.
        first_episode: Episode with which this member began.
        window: Requests that all members together may have in flight.
        good: Answers in time, of all members.
        bad: Late or failed answers, of all members.
        own_good: Answers in time to this member.
        own_bad: Late or failed answers to this member.
        began_at_s: Monotonic time at which this member began the window.
        changed_at_s: Monotonic time of the last own answer, or of the begin.
        ended_at_s: Monotonic time of the end; infinite before.
        holders: Peers that have a window for this upstream, with the monotonic
            time at which each last told so.
        is_shared: Whether most members have it.
    """

    __slots__ = (
        'upstream_id',
        'started_at_ms',
        'episode',
        'first_episode',
        'window',
        'good',
        'bad',
        'own_good',
        'own_bad',
        'began_at_s',
        'changed_at_s',
        'ended_at_s',
        'holders',
        'is_shared',
        '_first_window',
        '_slow',
        '_by_peer',
    )

    def __init__(
        self,
        upstream_id: str,
        started_at_ms: int,
        episode: int,
        first_window: int,
    ) -> None:
        self.upstream_id = upstream_id
        self.started_at_ms = started_at_ms
        self.began_at_s = trio.current_time()
        self.changed_at_s = self.began_at_s
        self.ended_at_s = float('inf')
        self.holders: dict[str, float] = {}
        self.is_shared = True
        self.first_episode = episode
        self.begin_episode(episode, first_window)

    def begin_episode(self, episode: int, first_window: int) -> None:
        """Begins the count anew."""
        self.episode = episode
        self.good = 0
        self.bad = 0
        self.own_good = 0
        self.own_bad = 0
        self._first_window = first_window
        self._slow = 0
        self._by_peer: dict[str, tuple[int, int]] = {}
        self.window = first_window

    @property
    def is_ended(self) -> bool:
        """Whether the window applies no more, and peers are told of its end."""
        return self.ended_at_s != float('inf')

    @property
    def has_excess_debt(self) -> bool:
        """Whether so many answers were bad that the count must begin anew."""
        return self._sum() <= MIN_WINDOW - MAX_DEBT

    def exceeds(self, slot_count: int) -> bool:
        """Returns whether the window is larger than placement ever needs."""
        slots = min(slot_count, MAX_COUNTED_SLOTS)
        return self.window > slots * END_SLOTS_FACTOR

    def record_good(self) -> None:
        """Counts an answer in time to this member."""
        self.own_good += 1
        self._add(1, 0)
        self.changed_at_s = trio.current_time()

    def record_slow(self) -> None:
        """Counts an answer within the target, but slower than at others."""
        self._slow += 1
        if self._slow == SLOW_ANSWERS_PER_GOOD:
            self._slow = 0
            self.record_good()

    def record_bad(self) -> None:
        """Counts a late or failed answer to this member."""
        self.own_bad += 1
        self._add(0, 1)
        self.changed_at_s = trio.current_time()

    def apply_report(self, peer: str, report: PaceReport) -> None:
        """Adds the answers that a peer has had since its last report.

        The counts of a peer that has restarted begin at zero; what it counted
        before still holds.
        """
        good, bad = self._by_peer.get(peer, (0, 0))
        if report.good < good or report.bad < bad:
            good = bad = 0
        self._by_peer[peer] = (report.good, report.bad)
        if report.good != good or report.bad != bad:
            self._add(report.good - good, report.bad - bad)

    def create_report(self) -> PaceReport:
        """Returns what peers are told."""
        return PaceReport(
            self.started_at_ms,
            self.own_good,
            self.own_bad,
            self.episode,
            self.is_ended,
        )

    def forget_old_holders(self, limit_s: float) -> None:
        """Drops the holders that have not told so since a monotonic time."""
        for peer, told_at_s in list(self.holders.items()):
            if told_at_s < limit_s:
                del self.holders[peer]

    def _add(self, good: int, bad: int) -> None:
        self.good += good
        self.bad += bad
        self.window = max(MIN_WINDOW, self._sum())

    def _sum(self) -> int:
        return self._first_window + self.good - BAD_ANSWER_COST * self.bad
