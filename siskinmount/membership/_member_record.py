"""State of one member in a member table."""

import enum

from siskinmount.membership import _heartbeat_settings
from siskinmount.membership import _member


class SuspicionSource(enum.Enum):
    """Source of a suspicion that a member is gone."""

    #: The member was not heard from for longer than the settings allow.
    SILENCE = 'silence'

    #: A connection to the member was refused or got no answer.
    UNREACHABLE = 'unreachable'

    #: Another entry has not heard from the member either.
    PEER = 'peer'

    #: The platform's VM list does not contain the member.
    VM_LIST = 'vm_list'


class MemberRecord:
    """A member and the evidence on its health.

    Attributes:
        member: The member as it last described itself.
        last_heard_at_s: Monotonic time of the last contact.
        self_reported_leaving: Whether this incarnation reported that it leaves.
        leaving_in_vm_list: Whether the VM list has the VM as leaving.
        cached_member: The member with the last computed state; None if the
            member has described itself since.
        suspicions: Sources of suspicion since the last contact.
    """

    __slots__ = (
        'member',
        'last_heard_at_s',
        'self_reported_leaving',
        'leaving_in_vm_list',
        'cached_member',
        'suspicions',
    )

    def __init__(self, member: _member.Member, heard_at_s: float) -> None:
        self.member = member
        self.last_heard_at_s = heard_at_s
        self.self_reported_leaving = member.state is _member.MemberState.LEAVING
        self.leaving_in_vm_list = False
        self.cached_member: _member.Member | None = None
        self.suspicions: set[SuspicionSource] = set()

    def record_contact(self, at_s: float) -> None:
        """Records a contact with the member and clears all suspicions.

        A contact earlier than the last one has no effect.
        """
        if at_s < self.last_heard_at_s:
            return
        self.last_heard_at_s = at_s
        self.suspicions.clear()

    def compute_state(
        self, now_s: float, settings: _heartbeat_settings.HeartbeatSettings
    ) -> _member.MemberState:
        """Returns the state that follows from all sources."""
        silent_ms = (now_s - self.last_heard_at_s) * 1000
        suspicion_count = len(self.suspicions)
        if silent_ms >= settings.dead_after_ms and suspicion_count:
            return _member.MemberState.DEAD
        if silent_ms >= settings.suspect_after_ms:
            return _member.MemberState.SUSPECT
        if self.self_reported_leaving or self.leaving_in_vm_list:
            return _member.MemberState.LEAVING
        return _member.MemberState.LIVE
