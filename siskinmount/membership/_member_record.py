"""What a member table keeps of one member."""

import enum

from siskinmount.membership import _heartbeat_settings
from siskinmount.membership import _member


class SuspicionSource(enum.Enum):
    """What gives reason to think that a member is gone."""

    #: No word from the member for longer than the settings allow.
    SILENCE = 'silence'

    #: A connection to it was refused or brought no answer.
    UNREACHABLE = 'unreachable'

    #: Another entry has not heard from it either.
    PEER = 'peer'

    #: The platform's VM list does not name it.
    VM_LIST = 'vm_list'


class MemberRecord:
    """A member with what is known about its health.

    Attributes:
        member: The member as it last described itself.
        heard_at_s: Monotonic time of the last word from it.
        leaving_by_itself: Whether this incarnation has said that it leaves.
        leaving_by_vm_list: Whether the VM list says that it is leaving.
        described: The member with the state last concluded; None if that was
            before its last description.
        suspicions: Sources that speak against it since the last word from it.
    """

    __slots__ = (
        'member',
        'heard_at_s',
        'leaving_by_itself',
        'leaving_by_vm_list',
        'described',
        'suspicions',
    )

    def __init__(self, member: _member.Member, heard_at_s: float) -> None:
        self.member = member
        self.heard_at_s = heard_at_s
        self.leaving_by_itself = member.state is _member.MemberState.LEAVING
        self.leaving_by_vm_list = False
        self.described: _member.Member | None = None
        self.suspicions: set[SuspicionSource] = set()

    def hear(self, at_s: float) -> None:
        """Notes a word from the member; it ends all suspicion."""
        if at_s < self.heard_at_s:
            return
        self.heard_at_s = at_s
        self.suspicions.clear()

    def conclude_state(
        self, now_s: float, settings: _heartbeat_settings.HeartbeatSettings
    ) -> _member.MemberState:
        """Returns the state that all sources together give."""
        silent_ms = (now_s - self.heard_at_s) * 1000
        others = len(self.suspicions)
        if silent_ms >= settings.dead_after_ms and others:
            return _member.MemberState.DEAD
        if silent_ms >= settings.suspect_after_ms:
            return _member.MemberState.SUSPECT
        if self.leaving_by_itself or self.leaving_by_vm_list:
            return _member.MemberState.LEAVING
        return _member.MemberState.LIVE
