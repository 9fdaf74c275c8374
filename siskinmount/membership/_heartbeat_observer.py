"""What a daemon provides to its heartbeat sender."""

from typing import Protocol

from siskinmount import rpc
from siskinmount.membership import _member


class HeartbeatObserver(Protocol):
    """Describes this daemon and receives what heartbeats bring."""

    def describe_self(self) -> _member.Member:
        """Returns this daemon as it is now."""
        ...

    def list_deaths(self) -> list[rpc.UpstreamDeath]:
        """Returns the recent deaths of this daemon's upstream."""
        ...

    async def receive_configuration(self, version: int, text: str) -> None:
        """Takes a newer configuration that a peer holds."""
        ...

    def receive_reply(
        self, replier: _member.Member, reply: rpc.HeartbeatReply
    ) -> None:
        """Takes the rest of a reply: backlogs and newest conviction."""
        ...
