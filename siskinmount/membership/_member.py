"""Description of a daemon as exchanged in heartbeats."""

import enum

from siskinmount import transport


class MemberRole(enum.Enum):
    """Role of a daemon."""

    ENTRY = 'entry'
    SIDECAR = 'sidecar'


class MemberState(enum.Enum):
    """State of a member as seen by this daemon."""

    #: Heard from recently and accepting work.
    LIVE = 'live'

    #: Finishes its requests and accepts no new work.
    LEAVING = 'leaving'

    #: Not heard from recently; used only if no other member is available.
    SUSPECT = 'suspect'

    #: Not heard from, and confirmed to be gone by a second source.
    DEAD = 'dead'


class Member:
    """A daemon as described by itself.

    Attributes:
        vm: Name of the VM.
        role: Entry or sidecar.
        incarnation: Start time of the process, nanoseconds since the Unix
            epoch; greater for each later start.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        peers_address: Address at which it serves HTTP to other daemons.
        control_address: Address at which it serves control calls.
        state: Live or leaving as reported by itself; in results of a
            `MemberTable`, the state computed by the table.
        service: The service of a sidecar's upstream; empty for entries.
        slots: Number of requests that a sidecar's upstream runs concurrently.
        in_flight: Number of requests in progress at a sidecar.
        model_version: Model version that a sidecar's engine has loaded.
        configuration_version: Version of its configuration in force.
    """

    __slots__ = (
        'vm',
        'role',
        'incarnation',
        'region',
        'failure_domain',
        'peers_address',
        'control_address',
        'state',
        'service',
        'slots',
        'in_flight',
        'model_version',
        'configuration_version',
    )

    def __init__(
        self,
        *,
        vm: str,
        role: MemberRole,
        incarnation: int,
        region: str,
        failure_domain: str,
        peers_address: transport.Address,
        control_address: transport.Address,
        state: MemberState = MemberState.LIVE,
        service: str = '',
        slots: int = 0,
        in_flight: int = 0,
        model_version: str = '',
        configuration_version: int = 0,
    ) -> None:
        self.vm = vm
        self.role = role
        self.incarnation = incarnation
        self.region = region
        self.failure_domain = failure_domain
        self.peers_address = peers_address
        self.control_address = control_address
        self.state = state
        self.service = service
        self.slots = slots
        self.in_flight = in_flight
        self.model_version = model_version
        self.configuration_version = configuration_version

    def __repr__(self) -> str:
        return (
            f'Member({self.vm!r}, {self.role.value}, {self.incarnation},'
            f' {self.state.value})'
        )


def copy_with_state(member: Member, state: MemberState) -> Member:
    """Returns a copy of the member with another state."""
    return Member(
        vm=member.vm,
        role=member.role,
        incarnation=member.incarnation,
        region=member.region,
        failure_domain=member.failure_domain,
        peers_address=member.peers_address,
        control_address=member.control_address,
        state=state,
        service=member.service,
        slots=member.slots,
        in_flight=member.in_flight,
        model_version=member.model_version,
        configuration_version=member.configuration_version,
    )
