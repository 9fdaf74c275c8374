"""What this entry's heartbeats say and bring."""

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
        """Returns this entry as it is now."""
        return self._self_description.describe()

    def list_deaths(self) -> list[rpc.UpstreamDeath]:
        """Returns nothing: an entry has no upstream."""
        return []

    async def receive_configuration(self, version: int, text: str) -> None:
        """Takes a newer configuration that a peer holds."""
        self._configuration.adopt(version, text)

    def receive_reply(
        self, replier: membership.Member, reply: rpc.HeartbeatReply
    ) -> None:
        """Takes the rest of a reply, of which an entry needs nothing."""
