"""All members that this daemon knows."""

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

#: A gap between two uses of the table that shows that this process was paused.
PAUSE_S = 2.0
MAX_KNOWN_INCARNATIONS = 16_384

Clock = Callable[[], float]


class MembershipChange:
    """Tells listeners that a member has changed.

    Attributes:
        member: The member with its new state.
        previous_state: Its state before, or None if it is new.
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
    """Concludes from heartbeats, connections and the VM list who lives.

    A message of an older incarnation than the newest known is ignored, also
    after the member was dropped. Within one incarnation a member that has said
    that it leaves never takes work again.
    """

    __slots__ = (
        '_settings',
        '_clock',
        '_records',
        '_concluded',
        '_newest_incarnations',
        '_leaving_vms',
        '_listeners',
        '_rotation',
        '_used_at_s',
    )

    def __init__(
        self,
        settings: _heartbeat_settings.HeartbeatSettings,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[str, _member_record.MemberRecord] = {}
        self._concluded: dict[str, _member.MemberState] = {}
        self._newest_incarnations: dict[str, int] = {}
        self._leaving_vms: set[str] = set()
        self._listeners: list[MemberListener] = []
        self._rotation = 0
        self._used_at_s = float('-inf')

    def add_listener(self, listener: MemberListener) -> None:
        """Calls the listener on each new member and change of state.

        The listener runs in the task that brought the change and must neither
        block nor raise.
        """
        self._listeners.append(listener)

    def apply_heartbeat(
        self, member: _member.Member, heard_ms_ago: float = 0.0
    ) -> None | results.Failure:
        """Takes note of what a member says of itself.

        Args:
            member: The member as described by itself.
            heard_ms_ago: Age of the description, if another daemon has passed
                it on.

        Returns:
            A `STALE_INCARNATION` failure if a later process of that VM is
            known.
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
            record = self._replace(member, heard_at_s)
        else:
            self._update(record, member, heard_at_s)
        record.hear(heard_at_s)
        self._conclude(member.vm)
        return None

    def apply_peer_report(
        self, member: _member.Member, heard_ms_ago: float
    ) -> None:
        """Takes note of what another entry says of a member."""
        self.apply_heartbeat(member, heard_ms_ago)
        record = self._records.get(member.vm)
        if record is None or member.incarnation != record.member.incarnation:
            return
        reported_silent = heard_ms_ago >= self._settings.suspect_after_ms
        if reported_silent and self._is_silent(record):
            self._suspect(record, _member_record.SuspicionSource.PEER)

    def note_unreachable(self, vm: str, incarnation: int) -> None:
        """Takes note that a connection to the member failed."""
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return
        self._suspect(record, _member_record.SuspicionSource.UNREACHABLE)

    def note_answer(self, vm: str, incarnation: int) -> None:
        """Takes note of an answer of the member on another connection."""
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return
        record.hear(self._now_s())
        self._conclude(vm)

    def note_leaving(self, vm: str, incarnation: int) -> None:
        """Takes note that the member has refused work because it leaves."""
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return
        record.leaving_by_itself = True
        self._conclude(vm)

    def apply_vm_list(self, vms: list[backing_services.VmEntry]) -> None:
        """Takes note of the platform's list, the slow second source."""
        listed_vms = {entry.vm for entry in vms}
        # Kept for members that become known only after this.
        self._leaving_vms = {
            entry.vm
            for entry in vms
            if entry.state is backing_services.VmState.LEAVING
        }
        for vm, record in list(self._records.items()):
            record.leaving_by_vm_list = vm in self._leaving_vms
            if vm not in listed_vms and self._is_silent(record):
                record.suspicions.add(_member_record.SuspicionSource.VM_LIST)
            self._conclude(vm)

    def refresh(self) -> None:
        """Concludes all states anew and forgets members that are long gone."""
        now_s = self._now_s()
        for vm, record in list(self._records.items()):
            self._conclude(vm)
            silent_ms = (now_s - record.heard_at_s) * 1000
            if silent_ms < self._settings.forget_after_ms:
                continue
            del self._records[vm]
            self._concluded.pop(vm, None)

    def find(self, vm: str) -> _member.Member | None:
        """Returns a member with its concluded state."""
        record = self._records.get(vm)
        if record is None:
            return None
        return self._describe(record, self._now_s())

    def list_sidecars(self, service: str | None = None) -> list[_member.Member]:
        """Returns the sidecars that are not dead, with concluded states.

        Args:
            service: Only sidecars of this service; all if None.
        """
        now_s = self._now_s()
        sidecars: list[_member.Member] = []
        for record in self._records.values():
            if record.member.role is not _member.MemberRole.SIDECAR:
                continue
            if service is not None and record.member.service != service:
                continue
            member = self._describe(record, now_s)
            if member.state is _member.MemberState.DEAD:
                continue
            sidecars.append(member)
        return sidecars

    def list_entries(self) -> list[_member.Member]:
        """Returns the entries that are not dead, with concluded states."""
        now_s = self._now_s()
        entries: list[_member.Member] = []
        for record in self._records.values():
            if record.member.role is not _member.MemberRole.ENTRY:
                continue
            member = self._describe(record, now_s)
            if member.state is _member.MemberState.DEAD:
                continue
            entries.append(member)
        return entries

    def list_members(self) -> list[_member.Member]:
        """Returns all members, the dead included, with concluded states."""
        now_s = self._now_s()
        return [
            self._describe(record, now_s) for record in self._records.values()
        ]

    def live_entry_vms(self) -> list[str]:
        """Returns the sorted VM names of the entries that are live."""
        return sorted(
            entry.vm
            for entry in self.list_entries()
            if entry.state is _member.MemberState.LIVE
        )

    def heard_ms_ago(self, vm: str) -> float:
        """Returns the milliseconds since the last word from a known member."""
        return (self._now_s() - self._records[vm].heard_at_s) * 1000

    def list_entries_for_reply(self) -> list[_member.Member]:
        """Returns entries to name in a reply: all in turn, few at a time."""
        entries = self.list_entries()
        count = min(len(entries), self._settings.max_listed_entries)
        if not count:
            return []
        start = self._rotation % len(entries)
        self._rotation = start + count
        return list(
            itertools.islice(itertools.cycle(entries), start, start + count)
        )

    def _now_s(self) -> float:
        """Returns the time; a pause of this process counts as nobody's silence."""
        now_s = self._clock()
        gap_s = now_s - self._used_at_s
        self._used_at_s = now_s
        if gap_s < PAUSE_S or not self._records:
            return now_s
        _LOGGER.warning('own_pause_noticed', extra={'pause_ms': gap_s * 1000})
        for record in self._records.values():
            record.heard_at_s += gap_s
        return now_s

    def _replace(
        self, member: _member.Member, heard_at_s: float
    ) -> _member_record.MemberRecord:
        """Starts a new record for a member or for its later incarnation."""
        record = _member_record.MemberRecord(member, heard_at_s)
        record.leaving_by_vm_list = member.vm in self._leaving_vms
        self._records[member.vm] = record
        self._newest_incarnations.pop(member.vm, None)
        self._newest_incarnations[member.vm] = member.incarnation
        if len(self._newest_incarnations) > MAX_KNOWN_INCARNATIONS:
            oldest_vm = next(iter(self._newest_incarnations))
            del self._newest_incarnations[oldest_vm]
        return record

    def _update(
        self,
        record: _member_record.MemberRecord,
        member: _member.Member,
        heard_at_s: float,
    ) -> None:
        """Takes over another description of the same incarnation."""
        if member.state is _member.MemberState.LEAVING:
            record.leaving_by_itself = True
        if heard_at_s >= record.heard_at_s:
            record.member = member
            record.described = None

    def _suspect(
        self,
        record: _member_record.MemberRecord,
        source: _member_record.SuspicionSource,
    ) -> None:
        """Notes one source against a member."""
        record.suspicions.add(source)
        self._conclude(record.member.vm)

    def _is_silent(self, record: _member_record.MemberRecord) -> bool:
        """Tells whether the member's last word is older than allowed."""
        silent_ms = (self._now_s() - record.heard_at_s) * 1000
        return silent_ms >= self._settings.suspect_after_ms

    def _describe(
        self, record: _member_record.MemberRecord, now_s: float
    ) -> _member.Member:
        """Returns the member with its concluded state."""
        state = record.conclude_state(now_s, self._settings)
        described = record.described
        if described is None or described.state is not state:
            described = _member.copy_with_state(record.member, state)
            record.described = described
        return described

    def _conclude(self, vm: str) -> None:
        """Compares a member's state with the last known and tells listeners."""
        record = self._records[vm]
        state = record.conclude_state(self._now_s(), self._settings)
        previous = self._concluded.get(vm)
        if state is previous:
            return
        self._concluded[vm] = state
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
            self._describe(record, self._now_s()), previous
        )
        for listener in self._listeners:
            listener(change)


def create_member_table(
    settings: _heartbeat_settings.HeartbeatSettings | None = None,
    clock: Clock = trio.current_time,
) -> MemberTable:
    """Creates an empty table.

    Args:
        settings: Bounds on silence.
        clock: Returns monotonic seconds.
    """
    return MemberTable(
        settings or _heartbeat_settings.HeartbeatSettings(), clock
    )
