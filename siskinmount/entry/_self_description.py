"""What this entry tells other daemons about itself."""

import time

from siskinmount import configuration
from siskinmount import membership
from siskinmount import transport


class SelfDescription:
    """Describes this process in heartbeats.

    Attributes:
        identity: The daemon's settings of itself.
        incarnation: Rises with each start of the process.
        peers_address: Where it listens for daemons, once it does.
        control_address: Where it listens for control calls, once it does.
        leaving: Whether a planned stop has begun.
        configuration_version: Version of the configuration in force.
    """

    __slots__ = (
        'identity',
        'incarnation',
        'peers_address',
        'control_address',
        'leaving',
        'configuration_version',
    )

    def __init__(self, identity: configuration.DaemonIdentity) -> None:
        self.identity = identity
        self.incarnation = time.time_ns()
        self.peers_address: transport.Address = identity.peers_address
        self.control_address: transport.Address = identity.control_address
        self.leaving = False
        self.configuration_version = 0

    def describe(self) -> membership.Member:
        """Returns this entry as a member."""
        return membership.Member(
            vm=self.identity.vm,
            role=membership.MemberRole.ENTRY,
            incarnation=self.incarnation,
            region=self.identity.region,
            failure_domain=self.identity.failure_domain,
            peers_address=self.peers_address,
            control_address=self.control_address,
            state=(
                membership.MemberState.LEAVING
                if self.leaving
                else membership.MemberState.LIVE
            ),
            configuration_version=self.configuration_version,
        )

    def holder(self) -> str:
        """Returns the name of this process in intents."""
        return f'{self.identity.vm}/{self.incarnation}'
