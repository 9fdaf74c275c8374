"""Table of all members that this daemon knows."""

from collections.abc import Callable
import itertools
import logging

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount.membership import _heartbeat_settings
from siskinmount.membership import _member
from siskinmount.membership import _member_record

_LOGGER = logging.getLogger(__name__)

#: Time between two uses of the table from which this process counts as paused.
PAUSE_THRESHOLD_S = 2.0
MAX_KNOWN_INCARNATIONS = 16_384

Clock = Callable[[], float]


class MembershipChange:
    """A change of a member's state.

    Attributes:
        member: The member with its new state.
        previous_state: The state before, or None if the member is new.
    """

    __slots__ = ('member', 'previous_state')

    def __init__(
        self,
        member: _member.Member,
        previous_state: _member.MemberState | None,
    ) -> None:
        self.member = member
        self.previous_state = previous_state


MemberListener = Callable[[MembershipChange], None]


class MemberTable:
    """Derives the state of members from heartbeats, connections and VM list.

    A message of an earlier incarnation than the latest known is ignored, even
    after the member was removed. A member that has reported that it leaves
    stays in that state until its next incarnation.
    """

    __slots__ = (
        '_settings',
        '_clock',
        '_records',
        '_last_states',
        '_newest_incarnations',
        '_leaving_vms',
        '_listeners',
        '_next_entry_index',
        '_last_used_at_s',
    )

    def __init__(
        self,
        settings: _heartbeat_settings.HeartbeatSettings,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[str, _member_record.MemberRecord] = {}
        self._last_states: dict[str, _member.MemberState] = {}
        self._newest_incarnations: dict[str, int] = {}
        self._leaving_vms: set[str] = set()
        self._listeners: list[MemberListener] = []
        self._next_entry_index = 0
        self._last_used_at_s = float('-inf')

    def add_listener(self, listener: MemberListener) -> None:
        """Registers a listener for new members and changes of state.

        The listener runs in the task that caused the change and must neither
        block nor raise.
        """
        self._listeners.append(listener)

    def apply_heartbeat(
        self, member: _member.Member, heard_ms_ago: float = 0.0
    ) -> None | results.Failure:
        """Applies a member's description of itself.

        Args:
            member: The member as described by itself.
            heard_ms_ago: Age of the description if another daemon forwarded
                it.

        Returns:
            A `STALE_INCARNATION` failure if a later incarnation of that VM
            is known.
        """
        newest = self._newest_incarnations.get(member.vm, 0)
        if member.incarnation < newest:
            return results.Failure(
                results.ResultCode.STALE_INCARNATION,
                f'a later incarnation of {member.vm} is known',
            )
        heard_at_s = self._now_s() - heard_ms_ago / 1000
        record = self._records.get(member.vm)
        if record is None or member.incarnation > newest:
            record = self._create_record(member, heard_at_s)
        else:
            self._update_record(record, member, heard_at_s)
        record.record_contact(heard_at_s)
        self._update_state(member.vm)
        return None

    def apply_peer_report(
        self, member: _member.Member, heard_ms_ago: float
    ) -> None:
        """Applies a description of a member that another entry forwarded.

        If that entry has not heard from the member either, this counts as a
        second source against the member.
        """
        self.apply_heartbeat(member, heard_ms_ago)
        record = self._records.get(member.vm)
        if record is None or member.incarnation != record.member.incarnation:
            return
        reported_silent = heard_ms_ago >= self._settings.suspect_after_ms
        if reported_silent and self._is_silent(record):
            self._add_suspicion(record, _member_record.SuspicionSource.PEER)

    def mark_unreachable(self, vm: str, incarnation: int) -> None:
        """Records that a connection to the member failed."""
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return
        self._add_suspicion(record, _member_record.SuspicionSource.UNREACHABLE)

    def record_answer(self, vm: str, incarnation: int) -> None:
        """Records an answer of the member on another connection."""
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return
        record.record_contact(self._now_s())
        self._update_state(vm)

    def mark_leaving(self, vm: str, incarnation: int) -> None:
        """Records that the member has refused work because it leaves."""
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return
        record.self_reported_leaving = True
        self._update_state(vm)

    def apply_vm_list(self, vms: list[backing_services.VmEntry]) -> None:
        """Applies the platform's VM list, a slower second source."""
        listed_vms = {entry.vm for entry in vms}
        # Stored for members that are discovered later.
        self._leaving_vms = {
            entry.vm
            for entry in vms
            if entry.state is backing_services.VmState.LEAVING
        }
        for vm, record in list(self._records.items()):
            record.leaving_in_vm_list = vm in self._leaving_vms
            if vm not in listed_vms and self._is_silent(record):
                record.suspicions.add(_member_record.SuspicionSource.VM_LIST)
            self._update_state(vm)

    def refresh(self) -> None:
        """Recomputes all states and removes members not heard from for long."""
        now_s = self._now_s()
        for vm, record in list(self._records.items()):
            self._update_state(vm)
            silent_ms = (now_s - record.last_heard_at_s) * 1000
            if silent_ms < self._settings.forget_after_ms:
                continue
            del self._records[vm]
            self._last_states.pop(vm, None)

    def find(self, vm: str) -> _member.Member | None:
        """Returns a member with its current state, or None if unknown."""
        record = self._records.get(vm)
        if record is None:
            return None
        return self._get_member(record, self._now_s())

    def list_sidecars(self, service: str | None = None) -> list[_member.Member]:
        """Returns the sidecars that are not dead, with current states.

        Args:
            service: Restricts the result to this service if not None.
        """
        now_s = self._now_s()
        sidecars: list[_member.Member] = []
        for record in self._records.values():
            if record.member.role is not _member.MemberRole.SIDECAR:
                continue
            if service is not None and record.member.service != service:
                continue
            member = self._get_member(record, now_s)
            if member.state is _member.MemberState.DEAD:
                continue
            sidecars.append(member)
        return sidecars

    def list_entries(self) -> list[_member.Member]:
        """Returns the entries that are not dead, with current states."""
        now_s = self._now_s()
        entries: list[_member.Member] = []
        for record in self._records.values():
            if record.member.role is not _member.MemberRole.ENTRY:
                continue
            member = self._get_member(record, now_s)
            if member.state is _member.MemberState.DEAD:
                continue
            entries.append(member)
        return entries

    def list_members(self) -> list[_member.Member]:
        """Returns all members, including dead ones, with current states."""
        now_s = self._now_s()
        return [
            self._get_member(record, now_s) for record in self._records.values()
        ]

    def live_entry_vms(self) -> list[str]:
        """Returns the sorted VM names of the entries that are live."""
        return sorted(
            entry.vm
            for entry in self.list_entries()
            if entry.state is _member.MemberState.LIVE
        )

    def heard_ms_ago(self, vm: str) -> float:
        """Returns milliseconds since the last contact with a known member."""
        return (self._now_s() - self._records[vm].last_heard_at_s) * 1000

    def list_entries_for_reply(self) -> list[_member.Member]:
        """Returns the next entries to list in a reply, round-robin."""
        entries = self.list_entries()
        count = min(len(entries), self._settings.max_listed_entries)
        if not count:
            return []
        start = self._next_entry_index % len(entries)
        self._next_entry_index = start + count
        return list(
            itertools.islice(itertools.cycle(entries), start, start + count)
        )

    def _now_s(self) -> float:
        """Returns the time, after correcting for pauses of this process.

        A pause of this process is not counted as silence of the members.
        """
        now_s = self._clock()
        gap_s = now_s - self._last_used_at_s
        self._last_used_at_s = now_s
        if gap_s < PAUSE_THRESHOLD_S or not self._records:
            return now_s
        _LOGGER.warning('own_pause_noticed', extra={'pause_ms': gap_s * 1000})
        for record in self._records.values():
            record.last_heard_at_s += gap_s
        return now_s

    def _create_record(
        self, member: _member.Member, heard_at_s: float
    ) -> _member_record.MemberRecord:
        """Creates the record of a new member or of a later incarnation."""
        record = _member_record.MemberRecord(member, heard_at_s)
        record.leaving_in_vm_list = member.vm in self._leaving_vms
        self._records[member.vm] = record
        self._newest_incarnations.pop(member.vm, None)
        self._newest_incarnations[member.vm] = member.incarnation
        if len(self._newest_incarnations) > MAX_KNOWN_INCARNATIONS:
            oldest_vm = next(iter(self._newest_incarnations))
            del self._newest_incarnations[oldest_vm]
        return record

    def _update_record(
        self,
        record: _member_record.MemberRecord,
        member: _member.Member,
        heard_at_s: float,
    ) -> None:
        """Applies another description of the same incarnation."""
        if member.state is _member.MemberState.LEAVING:
            record.self_reported_leaving = True
        if heard_at_s >= record.last_heard_at_s:
            record.member = member
            record.cached_member = None

    def _add_suspicion(
        self,
        record: _member_record.MemberRecord,
        source: _member_record.SuspicionSource,
    ) -> None:
        """Adds a source of suspicion against a member."""
        record.suspicions.add(source)
        self._update_state(record.member.vm)

    def _is_silent(self, record: _member_record.MemberRecord) -> bool:
        """Returns whether the last contact was too long ago."""
        silent_ms = (self._now_s() - record.last_heard_at_s) * 1000
        return silent_ms >= self._settings.suspect_after_ms

    def _get_member(
        self, record: _member_record.MemberRecord, now_s: float
    ) -> _member.Member:
        """Returns the member with its current state, cached if unchanged."""
        state = record.compute_state(now_s, self._settings)
        cached_member = record.cached_member
        if cached_member is None or cached_member.state is not state:
            cached_member = _member.copy_with_state(record.member, state)
            record.cached_member = cached_member
        return cached_member

    def _update_state(self, vm: str) -> None:
        """Recomputes a member's state and notifies listeners of a change."""
        record = self._records[vm]
        state = record.compute_state(self._now_s(), self._settings)
        previous = self._last_states.get(vm)
        if state is previous:
            return
        self._last_states[vm] = state
        _LOGGER.info(
            'member_changed',
            extra={
                'member': vm,
                'incarnation': record.member.incarnation,
                'state': state.value,
                'previous_state': None if previous is None else previous.value,
                'suspicions': sorted(s.value for s in record.suspicions),
            },
        )
        change = MembershipChange(
            self._get_member(record, self._now_s()), previous
        )
        for listener in self._listeners:
            listener(change)


def create_member_table(
    settings: _heartbeat_settings.HeartbeatSettings | None = None,
    clock: Clock = trio.current_time,
) -> MemberTable:
    """Creates an empty table.

    Args:
        settings: Intervals and limits.
        clock: Returns monotonic time in seconds.
    """
    return MemberTable(
        settings or _heartbeat_settings.HeartbeatSettings(), clock
    )
