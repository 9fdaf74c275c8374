"""Serves control calls as an entry does; run by `control_slopes`."""

import signal

from absl import app
import orjson
import trio

from siskinmount import membership
from siskinmount import results
from siskinmount import rpc
from siskinmount import transport
from tools.slopes import _sample_member


class _Handlers:
    """Answers heartbeats from a member table."""

    __slots__ = ('_own', '_table')

    def __init__(self) -> None:
        self._own = _sample_member.create_sample_member(
            'entry-peer', membership.MemberRole.ENTRY
        )
        self._table = membership.create_member_table()

    async def heartbeat(
        self, request: rpc.HeartbeatRequest
    ) -> rpc.HeartbeatReply | results.Failure:
        """Records the sender and replies with a few entries."""
        sender = membership.decode_member(request.sender)
        if isinstance(sender, results.Failure):
            return sender
        stale = self._table.apply_heartbeat(sender)
        if stale is not None:
            return stale
        reply = rpc.HeartbeatReply(replier=membership.encode_member(self._own))
        for entry in self._table.list_entries_for_reply():
            age_ms = self._table.heard_ms_ago(entry.vm)
            reply.entries.append(membership.encode_member(entry, age_ms))
        return reply

    async def get_configuration(
        self, request: rpc.ConfigurationRequest
    ) -> rpc.ConfigurationReply | results.Failure:
        """Returns an empty configuration."""
        return rpc.ConfigurationReply()

    async def get_status(
        self, request: rpc.StatusRequest
    ) -> rpc.StatusReply | results.Failure:
        """Returns an empty status."""
        return rpc.StatusReply()

    async def get_histograms(
        self, request: rpc.HistogramsRequest
    ) -> rpc.HistogramsReply | results.Failure:
        """Returns no histograms."""
        return rpc.HistogramsReply()


async def _run() -> None:
    server = rpc.create_control_server(_Handlers())
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                server.run, transport.Address('127.0.0.1', 0)
            )
            line = orjson.dumps({'listening': str(address)})
            print(line.decode('ascii'), flush=True)
            await anext(signals)
            server.stop()


def main(unused_argv: list[str]) -> None:
    """Serves until SIGTERM."""
    trio.run(_run)


if __name__ == '__main__':
    app.run(main)
