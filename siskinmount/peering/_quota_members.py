"""Decides which members count for the quotas that all share.

A bucket of a quota fills for each member at its part of the rate, and only up to
the time of its last message. Members that are cut off from each other so fill
theirs at shares that add up to one, from the moment of the cut and before anybody
is known to be silent.
"""

from collections.abc import Callable
import logging
from typing import Protocol

import trio

from siskinmount import admission
from siskinmount import keyed_log
from siskinmount.peering import _peer_directory

_LOGGER = logging.getLogger(__name__)

#: Longest silence that buckets fill for when messages of a member arrive again.
MAX_GAP_S = _peer_directory.SILENT_S
#: How long a member counts as reachable for what buckets may hold: three
#: intervals of its messages, so that one or two may be lost.
FRESH_S = 0.75
#: A member that has not renewed its record for this long, in a log that could be
#: read all the time, is gone. One that misses peers renews its record each 5 s,
#: so two writes may fail.
GONE_AFTER_S = 15.0
RENEWAL_INTERVAL_S = 5.0
#: Interval at which members are counted.
COUNT_INTERVAL_S = 0.1


class MembersLog(Protocol):
    """What is needed of the follower of the members' log.

    Attributes:
        regained_at_s: Monotonic time at which it last became reachable.
    """

    regained_at_s: float

    def get_end(self) -> keyed_log.LogEnd | None:
        """Returns the end at the last read that reached it, if there is one."""
        ...


class QuotaMembers:
    """Implements `admission.FillClock` from the messages of the members.

    Attributes:
        member_count: Members that count, with this one.
        reachable_count: How many of them are reachable, with this one.
    """

    __slots__ = (
        'member_count',
        'reachable_count',
        '_directory',
        '_quotas',
        '_log',
        '_is_leaving',
        '_counting',
        '_gone',
        '_renewed_at_s',
        '_loaded_at_s',
        '_filled_s',
        '_own_at_s',
        '_counted_at_s',
        '_clock',
    )

    def __init__(
        self,
        directory: '_peer_directory.PeerDirectory',
        quotas: admission.CustomerQuotas,
        is_leaving: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.member_count = 1
        self.reachable_count = 1
        self._directory = directory
        self._quotas = quotas
        self._log: MembersLog | None = None
        self._is_leaving = is_leaving
        self._counting: set[str] = set()
        self._gone: dict[str, float] = {}
        self._renewed_at_s: dict[str, float] = {}
        self._loaded_at_s: float | None = None
        self._filled_s = 0.0
        self._own_at_s = clock()
        self._counted_at_s = float('-inf')
        self._clock = clock

    def watch_log(self, log: MembersLog) -> None:
        """Sets the follower of the members' log."""
        self._log = log

    def get_filled_s(self) -> float:
        """Returns the time for which buckets have filled at the whole rate."""
        now_s = self._clock()
        self._count(now_s)
        gap_s = now_s - self._own_at_s
        self._own_at_s = now_s
        if self._loaded_at_s is not None and gap_s <= MAX_GAP_S:
            self._filled_s += gap_s / self.member_count
        return self._filled_s

    def get_share(self) -> float:
        """Returns the share of reachable members, with this one."""
        self._count(self._clock())
        return self.reachable_count / self.member_count

    def get_message_delay_s(self) -> float:
        """Returns the mean age of what peers tell."""
        return self._directory.message_delay_s

    def misses_peers(self) -> bool:
        """Returns whether a member that counts has sent no message for long."""
        now_s = self._clock()
        self._count(now_s)
        for member in self._counting:
            peer = self._directory.peers[member]
            if now_s - peer.heard_at_s >= _peer_directory.SILENT_S:
                return True
        return False

    def record_renewal(self, member: str) -> None:
        """Records that a member has written its record."""
        self._renewed_at_s[member] = self._clock()

    def record_message(
        self,
        peer: '_peer_directory.Peer',
        rows: dict[str, admission.QuotaUse],
    ) -> None:
        """Applies the rows of a message, before the directory records its time.

        Its requests are debited first: buckets that are full would lose what
        they gain before.
        """
        now_s = self._clock()
        silent_s = now_s - peer.heard_at_s
        if rows or silent_s > MAX_GAP_S:
            self._quotas.apply_use(peer.member, rows, silent_s, MAX_GAP_S)
        if self._loaded_at_s is None or silent_s > MAX_GAP_S:
            return
        if peer.member not in self._counting:
            self._counted_at_s = float('-inf')
            self._count(now_s)
            if peer.member not in self._counting:
                return
        # What was missed before the log had been read is not made up for.
        gap_s = min(silent_s, now_s - self._loaded_at_s)
        self._filled_s += gap_s / self.member_count

    def _count(self, now_s: float) -> None:
        """Counts the members at intervals."""
        if now_s - self._counted_at_s < COUNT_INTERVAL_S:
            return
        self._counted_at_s = now_s
        end = self._log.get_end() if self._log is not None else None
        if end is not None and self._loaded_at_s is None:
            self._loaded_at_s = now_s
            self._own_at_s = now_s
        counting: set[str] = set()
        reachable_count = 0
        for peer in self._directory.peers.values():
            if peer.message is not None and peer.message.is_leaving:
                continue
            silent_s = now_s - peer.heard_at_s
            if silent_s < _peer_directory.SILENT_S:
                self._gone.pop(peer.member, None)
                counting.add(peer.member)
                reachable_count += silent_s < FRESH_S
                continue
            if self._is_gone(peer, end):
                continue
            counting.add(peer.member)
        self._counting = counting
        # One that leaves keeps a share of its own only if it is alone: the
        # others do not count it.
        own = 0 if self._is_leaving() and counting else 1
        self.member_count = len(counting) + own
        self.reachable_count = reachable_count + own

    def _is_gone(
        self, peer: '_peer_directory.Peer', end: keyed_log.LogEnd | None
    ) -> bool:
        """Returns whether there is proof that a silent member is gone."""
        renewed_at_s = self._renewed_at_s.get(peer.member, float('-inf'))
        gone_at_s = self._gone.get(peer.member)
        if gone_at_s is not None:
            if renewed_at_s <= gone_at_s:
                return True
            del self._gone[peer.member]
        if end is None or self._log is None or self._loaded_at_s is None:
            return False
        last_at_s = max(
            peer.heard_at_s,
            peer.known_since_s,
            renewed_at_s,
            self._loaded_at_s,
            self._log.regained_at_s,
        )
        if end.seen_at_s - last_at_s < GONE_AFTER_S:
            return False
        self._gone[peer.member] = self._counted_at_s
        _LOGGER.info(
            'quota_member_gone',
            extra={
                'peer': peer.member,
                'incarnation': peer.incarnation,
                'members': len(self._counting),
            },
        )
        return True


def _return_false() -> bool:
    return False


def create_quota_members(
    directory: '_peer_directory.PeerDirectory',
    quotas: admission.CustomerQuotas,
    is_leaving: Callable[[], bool] = _return_false,
    clock: Callable[[], float] = trio.current_time,
) -> QuotaMembers:
    """Creates a count of the members that a directory knows.

    Args:
        directory: The other members.
        quotas: Told what peers use.
        is_leaving: Returns whether this member is in a planned stop.
        clock: Returns monotonic seconds, as in the directory.
    """
    return QuotaMembers(directory, quotas, is_leaving, clock)
