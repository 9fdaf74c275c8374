"""The description of this entry that other daemons receive."""

import time

from siskinmount import configuration
from siskinmount import membership
from siskinmount import transport


class SelfDescription:
    """Describes this process in heartbeats.

    Attributes:
        identity: The identity settings of this daemon.
        incarnation: Number of this process; increases with each start.
        peers_address: Address of the peers' server; the configured address
            until the server listens.
        control_address: Address of the control server; the configured address
            until the server listens.
        leaving: Whether a graceful shutdown has started.
        configuration_version: Version of the active configuration.
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
