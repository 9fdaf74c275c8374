"""The windows of all starting and recovered upstreams.

Requests are kept from flooding an upstream that has just started or recovered,
as placement by load would have all members prefer it. The design is in
docs/design/starting-upstreams.md.
"""

import logging
import random

import trio

from siskinmount import fleet
from siskinmount.placement import _load_table
from siskinmount.placement import _run_mean
from siskinmount.placement import _upstream_pace

_LOGGER = logging.getLogger(__name__)

#: An upstream whose first entry was written at most this long ago has just
#: started. Entries are read four times a second; a member that was cut off from
#: the store learns of older starts, and leaves them alone.
FRESH_START_S = 5.0
#: What is slow for longer is slow by nature and not by its start.
MAX_HELD_S = 60.0
#: How long peers are told of the end of a window, so that messages may be lost.
ENDED_KEPT_S = 2.0
#: Time in which peers that see the same failures begin a window too.
SHARED_GRACE_S = 1.5
#: Failures in a row that begin an episode. A few per cent of the answers are
#: lost in the network, so one says nothing.
RECOVERY_FAILURES = 2
#: Episodes of one upstream begin at least this far apart: the failures of
#: requests that were in flight belong to the same fault.
MIN_EPISODE_S = 1.0
#: An answer is in time if its first byte took at most this multiple of what the
#: service's other upstreams take on the same route.
IN_TIME_FACTOR = 2.0
#: Answers on which the mean of other upstreams must rest.
MIN_REFERENCE_ANSWERS = 8
#: Several times the upstreams of the largest fleet that is aimed at.
MAX_PACES = 5000
#: Bound on the windows in one message to peers.
MAX_REPORTS = 64
#: How long an own answer, or the begin of a window, is told in each message, so
#: that messages may be lost.
NEWS_KEPT_S = 1.0
#: Windows without news that a message tells as well. Members that have started or
#: that were cut off learn of them by and by.
REFRESHED_REPORTS = 4
#: Interval at which these are others. Messages in between are repetitions, unless
#: there is news.
REFRESH_INTERVAL_S = 1.0
#: How long a peer holds a window after it has told so: above the time in which it
#: tells of `MAX_REPORTS` windows.
HOLDER_KEPT_S = 20.0
#: Interval at which old holders are dropped.
PRUNE_INTERVAL_S = 1.0
#: Upstreams of which the last report of one peer is kept.
MAX_KEPT_REPORTS = 4 * MAX_REPORTS
#: Resets of one window that are logged; a cold upstream has several a second.
MAX_LOGGED_RESETS = 5


class _KeptReport:
    """The last report of a peer on one upstream.

    Attributes:
        report: The report.
        told_at_s: Monotonic time at which it came, or came again.
    """

    __slots__ = ('report', 'told_at_s')

    def __init__(self, report: _upstream_pace.PaceReport) -> None:
        self.report = report
        self.told_at_s = trio.current_time()


class UpstreamPaces:
    """The windows of the upstreams that have one."""

    __slots__ = (
        '_view',
        '_load',
        '_paces',
        '_starts',
        '_listed',
        '_ended',
        '_reports_by_peer',
        '_first_byte_means',
        '_refresh_offset',
        '_pruned_at_s',
    )

    def __init__(
        self,
        view: fleet.FleetView,
        load: _load_table.LoadTable,
    ) -> None:
        self._view = view
        self._load = load
        self._paces: dict[str, _upstream_pace.UpstreamPace] = {}
        #: Last known start by id, kept after the removal of an entry.
        self._starts: dict[str, int] = {}
        self._listed: set[str] = set()
        #: Last episode that is over here, of the start in `_starts`.
        self._ended: dict[str, int] = {}
        self._reports_by_peer: dict[str, dict[str, _KeptReport]] = {}
        # Members refresh different windows at a time.
        self._refresh_offset = random.randrange(MAX_REPORTS)
        self._pruned_at_s = float('-inf')
        self._first_byte_means: dict[str, dict[str, _run_mean.RunMean]] = {}

    def has_any(self) -> bool:
        """Returns whether any upstream has a window."""
        return bool(self._paces)

    def count_windows(self) -> int:
        """Returns how many upstreams have a window."""
        return sum(not pace.is_ended for pace in self._paces.values())

    def get_window(self, upstream: fleet.Upstream) -> int | None:
        """Returns the window of an upstream; None if it has none."""
        pace = self._find(upstream)
        return None if pace is None else pace.window

    def count_room(
        self, upstream: fleet.Upstream, counts: _load_table.UpstreamCounts
    ) -> int | None:
        """Returns how many requests the window leaves; None without a window.

        Args:
            upstream: The upstream.
            counts: Requests of all members in flight there.
        """
        pace = self._find(upstream)
        if pace is None:
            return None
        if not pace.is_shared:
            counts = self._load.own.get(upstream.upstream_id, _NO_COUNTS)
        return pace.window - counts.online - counts.batch

    def list_with_room(
        self, upstreams: list[fleet.Upstream]
    ) -> list[fleet.Upstream]:
        """Returns the upstreams without a window, or with room in it."""
        totals = self._load.sum_counts()
        with_room: list[fleet.Upstream] = []
        for upstream in upstreams:
            room = self.count_room(
                upstream, totals.get(upstream.upstream_id, _NO_COUNTS)
            )
            if room is None or room > 0:
                with_room.append(upstream)
        return with_room

    def can_shift_load(self, upstreams: list[fleet.Upstream]) -> bool:
        """Returns whether the upstreams without a window are the majority.

        Otherwise they cannot serve what the windows of the rest keep out.
        """
        paced_count = sum(self._find(each) is not None for each in upstreams)
        return 2 * paced_count < len(upstreams)

    def limit_slots(self, upstream: fleet.Upstream, slots: float) -> float:
        """Returns the slots of an upstream, at most as many as its window."""
        pace = self._find(upstream)
        return slots if pace is None else min(slots, pace.window)

    def limit_batch(
        self,
        upstream: fleet.Upstream,
        counts: _load_table.UpstreamCounts,
        free: int,
    ) -> int:
        """Returns how many of some free slots batch items may take.

        Callers' requests keep half of the window, but batch items alone must be
        able to open it again: they get at least one slot.
        """
        pace = self._find(upstream)
        if pace is None:
            return free
        if not pace.is_shared:
            counts = self._load.own.get(upstream.upstream_id, _NO_COUNTS)
        allowed = max(1, pace.window // 2)
        return min(free, allowed - counts.online - counts.batch)

    def apply_listing(self) -> None:
        """Begins windows of upstreams that have just started."""
        now_s = trio.current_time()
        upstreams = self._view.upstreams
        for upstream_id, upstream in upstreams.items():
            known = self._starts.get(upstream_id)
            is_known = known == upstream.started_at_ms
            if is_known and upstream_id in self._listed:
                continue
            written_at_s = self._view.written_at_s.get(
                upstream_id, float('-inf')
            )
            is_fresh = now_s - written_at_s <= FRESH_START_S
            if is_known:
                if is_fresh:
                    self.begin_recovery(upstream_id, 'silent')
                continue
            has_crashed = self._forget_start(upstream_id)
            self._starts[upstream_id] = upstream.started_at_ms
            if is_fresh:
                first_window = _upstream_pace.START_WINDOW
                if has_crashed:
                    first_window = _upstream_pace.RECOVERY_WINDOW
                self._begin(upstream, 0, first_window, 'started')
            elif upstream.cold_left_ms:
                self._begin(upstream, 0, _upstream_pace.START_WINDOW, 'cold')
            else:
                self._join_peers(upstream)
        self._listed = set(upstreams)

    def record_answer(
        self,
        upstream: fleet.Upstream,
        route_name: str,
        first_byte_ms: float,
        target_ms: float | None,
    ) -> None:
        """Records how long an upstream took to the first byte of an answer.

        Args:
            upstream: The upstream.
            route_name: Route of the request: times of others are not like it.
            first_byte_ms: Time from sending the request to the first byte.
            target_ms: Latency objective of the route; None for batch items.
        """
        if self._paces:
            pace = self._find(upstream)
            if pace is not None:
                self._judge(
                    pace, upstream, route_name, first_byte_ms, target_ms
                )
                return
        means = self._first_byte_means.get(upstream.service)
        if means is None:
            means = self._first_byte_means[upstream.service] = {}
        mean = means.get(route_name)
        if mean is None:
            mean = means[route_name] = _run_mean.RunMean()
        mean.add(first_byte_ms)

    def record_failure(
        self, upstream_id: str, failures_in_a_row: int, is_down: bool = False
    ) -> None:
        """Records a failed answer or a refused connection.

        Args:
            upstream_id: The upstream.
            failures_in_a_row: Failures since its last answer to this member.
            is_down: Whether it accepts no connections.
        """
        pace = self._paces.get(upstream_id)
        if pace is not None and not pace.is_ended:
            pace.record_bad()
            self._update(pace)
        elif is_down or failures_in_a_row >= RECOVERY_FAILURES:
            self.begin_recovery(upstream_id, 'down' if is_down else 'failures')

    def record_bad_answer(self, upstream: fleet.Upstream) -> None:
        """Records an answer that is late, or a refusal of a full upstream.

        Failures come by way of `UpstreamHealth`.
        """
        pace = self._find(upstream)
        if pace is not None:
            pace.record_bad()
            self._update(pace)

    def begin_recovery(self, upstream_id: str, reason: str) -> None:
        """Begins an episode of an upstream in service that has failed.

        Nothing is done if it has a window, which its answers decide, or had one
        a moment ago.
        """
        upstream = self._view.upstreams.get(upstream_id)
        pace = self._paces.get(upstream_id)
        if upstream is None or (pace is not None and not pace.is_ended):
            return
        if pace is not None:
            if trio.current_time() - pace.ended_at_s < MIN_EPISODE_S:
                return
            self._end_episode(pace)
        self._begin(
            upstream,
            self._ended.get(upstream_id, 0) + 1,
            _upstream_pace.RECOVERY_WINDOW,
            reason,
        )

    def list_reports(self) -> dict[str, _upstream_pace.PaceReport]:
        """Returns what the next message tells peers, by upstream.

        That is news, the latest first, and some of the other windows in turn: a
        message with all of them would grow with the number of upstreams, at
        each member and for each of its peers.
        """
        if not self._paces:
            return {}
        news_since_s = trio.current_time() - NEWS_KEPT_S
        news: list[_upstream_pace.UpstreamPace] = []
        for pace in self._paces.values():
            if pace.is_ended or pace.changed_at_s > news_since_s:
                news.append(pace)
        news.sort(key=_get_changed_at_s, reverse=True)
        reports: dict[str, _upstream_pace.PaceReport] = {}
        for pace in news + self._list_refreshed():
            if len(reports) == MAX_REPORTS:
                break
            reports[pace.upstream_id] = pace.create_report()
        return reports

    def _list_refreshed(self) -> list[_upstream_pace.UpstreamPace]:
        """Returns the windows whose turn it is to be told again."""
        paces = list(self._paces.values())
        if len(paces) <= REFRESHED_REPORTS:
            return paces
        turn = int(trio.current_time() / REFRESH_INTERVAL_S)
        first = self._refresh_offset + turn * REFRESHED_REPORTS
        return [
            paces[(first + number) % len(paces)]
            for number in range(REFRESHED_REPORTS)
        ]

    def apply_reports(
        self, peer: str, reports: dict[str, _upstream_pace.PaceReport]
    ) -> None:
        """Applies what a message of a peer tells of answers."""
        if not reports:
            return
        kept_reports = self._reports_by_peer.setdefault(peer, {})
        now_s = trio.current_time()
        for upstream_id, report in reports.items():
            kept = kept_reports.get(upstream_id)
            pace = self._paces.get(upstream_id)
            if kept is None:
                if len(kept_reports) >= MAX_KEPT_REPORTS:
                    del kept_reports[next(iter(kept_reports))]
                kept_reports[upstream_id] = _KeptReport(report)
            else:
                is_repeated = kept.report.equals(report)
                kept.report = report
                kept.told_at_s = now_s
                if is_repeated and pace is not None and peer in pace.holders:
                    pace.holders[peer] = now_s
                    continue
            upstream = self._view.upstreams.get(upstream_id)
            if upstream is not None:
                self._apply_report(peer, upstream, report)

    def forget_peer(self, peer: str) -> None:
        """Forgets which windows a silent peer has; its counts still hold."""
        self._reports_by_peer.pop(peer, None)
        for pace in self._paces.values():
            pace.holders.pop(peer, None)

    def expire(self) -> None:
        """Ends windows that are over, and forgets upstreams that are gone."""
        now_s = trio.current_time()
        member_count = self._load.count_peers() + 1
        if now_s - self._pruned_at_s >= PRUNE_INTERVAL_S:
            self._pruned_at_s = now_s
            for pace in self._paces.values():
                pace.forget_old_holders(now_s - HOLDER_KEPT_S)
        for upstream_id, pace in list(self._paces.items()):
            if upstream_id not in self._view.upstreams:
                del self._paces[upstream_id]
            elif pace.is_ended:
                if now_s - pace.ended_at_s > ENDED_KEPT_S:
                    self._end_episode(pace)
            elif now_s - pace.began_at_s > MAX_HELD_S:
                self._end(pace, 'time')
            elif len(self._paces) > MAX_REPORTS:
                # Peers do not tell of all their windows then.
                pace.is_shared = True
            elif now_s - pace.began_at_s > SHARED_GRACE_S:
                pace.is_shared = 2 * (len(pace.holders) + 1) >= member_count
        if len(self._starts) > MAX_PACES + len(self._view.upstreams):
            self._starts = {
                upstream_id: upstream.started_at_ms
                for upstream_id, upstream in self._view.upstreams.items()
            }

    def describe(self, upstream: fleet.Upstream) -> dict[str, object]:
        """Returns what the window of an upstream rests on, for the log."""
        if not self._paces:
            return {}
        pace = self._find(upstream)
        return {} if pace is None else _describe(pace)

    def _find(
        self, upstream: fleet.Upstream
    ) -> _upstream_pace.UpstreamPace | None:
        """Returns the pace of an upstream whose window applies."""
        pace = self._paces.get(upstream.upstream_id)
        if pace is None or pace.is_ended:
            return None
        if pace.started_at_ms != upstream.started_at_ms:
            return None
        return pace

    def _judge(
        self,
        pace: _upstream_pace.UpstreamPace,
        upstream: fleet.Upstream,
        route_name: str,
        first_byte_ms: float,
        target_ms: float | None,
    ) -> None:
        """Counts an answer as in time, slow or late."""
        means = self._first_byte_means.get(upstream.service, {})
        mean = means.get(route_name)
        is_in_target = target_ms is None or first_byte_ms <= target_ms
        if mean is None or mean.sample_count < MIN_REFERENCE_ANSWERS:
            is_as_others = is_in_target
        else:
            is_as_others = first_byte_ms <= IN_TIME_FACTOR * mean.run_ms
        if is_as_others:
            pace.record_good()
        elif is_in_target:
            pace.record_slow()
        else:
            pace.record_bad()
        self._update(pace)

    def _apply_report(
        self,
        peer: str,
        upstream: fleet.Upstream,
        report: _upstream_pace.PaceReport,
    ) -> None:
        if report.started_at_ms != upstream.started_at_ms:
            return
        upstream_id = upstream.upstream_id
        pace = self._paces.get(upstream_id)
        if pace is None:
            # Failures that only a peer sees may be of its path alone.
            if report.episode or upstream_id in self._ended:
                return
            if report.is_ended:
                return
            self._begin(upstream, 0, _upstream_pace.START_WINDOW, peer)
            return
        if report.is_ended:
            pace.holders.pop(peer, None)
        else:
            pace.holders[peer] = trio.current_time()
        if report.episode > pace.episode and not pace.is_ended:
            pace.begin_episode(report.episode, _upstream_pace.RECOVERY_WINDOW)
            self._join_peers(upstream)
        if report.episode == pace.episode:
            pace.apply_report(peer, report)
            self._update(pace)

    def _begin(
        self,
        upstream: fleet.Upstream,
        episode: int,
        first_window: int,
        reason: str,
    ) -> None:
        """Begins a window, with what peers have told of it."""
        upstream_id = upstream.upstream_id
        if len(self._paces) >= MAX_PACES:
            return
        self._starts[upstream_id] = upstream.started_at_ms
        self._listed.add(upstream_id)
        pace = _upstream_pace.UpstreamPace(
            upstream_id, upstream.started_at_ms, episode, first_window
        )
        self._paces[upstream_id] = pace
        _LOGGER.info(
            'upstream_window_started',
            extra=_describe(pace) | {'reason': reason},
        )
        self._join_peers(upstream)
        # Peers must learn of an episode that they have not begun.
        self._load.announce()

    def _join_peers(self, upstream: fleet.Upstream) -> None:
        """Applies what peers have told of this start of an upstream before."""
        limit_s = trio.current_time() - HOLDER_KEPT_S
        for peer, reports in self._reports_by_peer.items():
            kept = reports.get(upstream.upstream_id)
            if kept is not None and kept.told_at_s >= limit_s:
                self._apply_report(peer, upstream, kept.report)

    def _update(self, pace: _upstream_pace.UpstreamPace) -> None:
        """Ends a window that has grown enough, or begins the count anew."""
        if pace.is_ended:
            return
        if pace.has_excess_debt:
            if pace.episode - pace.first_episode < MAX_LOGGED_RESETS:
                _LOGGER.info('upstream_window_reset', extra=_describe(pace))
            pace.begin_episode(pace.episode + 1, _upstream_pace.RECOVERY_WINDOW)
            return
        upstream = self._view.upstreams.get(pace.upstream_id)
        slots = (
            upstream.slot_count if upstream else 0
        ) or _load_table.DEFAULT_SLOTS
        if pace.exceeds(slots):
            self._end(pace, 'answers')

    def _end(self, pace: _upstream_pace.UpstreamPace, reason: str) -> None:
        pace.ended_at_s = trio.current_time()
        _LOGGER.info(
            'upstream_window_ended',
            extra=_describe(pace)
            | {
                'reason': reason,
                'held_ms': int((pace.ended_at_s - pace.began_at_s) * 1000),
            },
        )

    def _end_episode(self, pace: _upstream_pace.UpstreamPace) -> None:
        """Forgets a window that has ended, but not that it has."""
        del self._paces[pace.upstream_id]
        self._ended[pace.upstream_id] = pace.episode

    def _forget_start(self, upstream_id: str) -> bool:
        """Forgets a start; returns whether it ended before its window did."""
        self._ended.pop(upstream_id, None)
        pace = self._paces.pop(upstream_id, None)
        if pace is None or pace.is_ended:
            return False
        return pace.first_episode == 0


_NO_COUNTS = _load_table.UpstreamCounts()


def _get_changed_at_s(pace: _upstream_pace.UpstreamPace) -> float:
    return pace.changed_at_s


def _describe(pace: _upstream_pace.UpstreamPace) -> dict[str, object]:
    return {
        'upstream': pace.upstream_id,
        'started_at_ms': pace.started_at_ms,
        'episode': pace.episode,
        'window': pace.window,
        'good': pace.good,
        'bad': pace.bad,
        'holders': len(pace.holders) + 1,
    }


def create_upstream_paces(
    view: fleet.FleetView, load: _load_table.LoadTable
) -> UpstreamPaces:
    """Creates an `UpstreamPaces` without windows.

    Args:
        view: The upstreams and their starts.
        load: Requests in flight of all members.
    """
    return UpstreamPaces(view, load)
