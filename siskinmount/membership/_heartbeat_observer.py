"""Interface between a daemon and its heartbeat sender."""

from typing import Protocol

from siskinmount import rpc
from siskinmount.membership import _member


class HeartbeatObserver(Protocol):
    """Describes this daemon and receives data from heartbeat replies."""

    def describe_self(self) -> _member.Member:
        """Returns the current description of this daemon."""
        ...

    def list_crashes(self) -> list[rpc.UpstreamDeath]:
        """Returns the recent crashes of this daemon's upstream."""
        ...

    async def receive_configuration(self, version: int, text: str) -> None:
        """Receives a newer configuration fetched from a peer."""
        ...

    def receive_reply(
        self, replier: _member.Member, reply: rpc.HeartbeatReply
    ) -> None:
        """Receives the backlogs and the crash report offset of a reply."""
        ...
