"""Contents and replies of this entry's heartbeats."""

from siskinmount import membership
from siskinmount import rpc
from siskinmount import state
from siskinmount.entry import _self_description


class EntryHeartbeatObserver:
    """Implements `membership.HeartbeatObserver` for an entry."""

    __slots__ = ('_self_description', '_configuration')

    def __init__(
        self,
        self_description: _self_description.SelfDescription,
        configuration_stream: state.ConfigurationStream,
    ) -> None:
        self._self_description = self_description
        self._configuration = configuration_stream

    def describe_self(self) -> membership.Member:
        """Returns the current description of this entry."""
        return self._self_description.describe()

    def list_crashes(self) -> list[rpc.UpstreamDeath]:
        """Returns nothing: an entry has no upstream."""
        return []

    async def receive_configuration(self, version: int, text: str) -> None:
        """Adopts a newer configuration from a peer."""
        self._configuration.adopt(version, text)

    def receive_reply(
        self, replier: membership.Member, reply: rpc.HeartbeatReply
    ) -> None:
        """Ignores the rest of a reply, which an entry does not need."""
