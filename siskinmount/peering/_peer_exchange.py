"""Sends and receives the messages of members as UDP datagrams.

Each message holds the complete state, so the next datagram makes up for a lost
one. Neither acknowledgements nor ordering are needed, and a member that does
not read cannot block another.
"""

from collections.abc import Callable
import logging

import trio

from siskinmount import placement
from siskinmount import results
from siskinmount.peering import _peer_directory
from siskinmount.peering import _peer_message

_LOGGER = logging.getLogger(__name__)

#: Minimum interval of messages: a fraction of the 0.25 s within which a first
#: event is due, so that peers place requests by recent counts.
MIN_INTERVAL_S = 0.025
#: Maximum interval of messages of a live member.
MAX_INTERVAL_S = 0.25
MAX_DATAGRAM_BYTES = 60_000

CreateMessage = Callable[[int], _peer_message.PeerMessage]


class PeerExchange:
    """Exchanges messages with all peers over one UDP socket."""

    __slots__ = (
        '_host',
        '_port',
        '_directory',
        '_load',
        '_create_message',
        '_invalid_count',
        '_sequence',
    )

    def __init__(
        self,
        host: str,
        port: int,
        directory: _peer_directory.PeerDirectory,
        load: placement.LoadTable,
        create_message: CreateMessage,
    ) -> None:
        self._host = host
        self._port = port
        self._directory = directory
        self._load = load
        self._create_message = create_message
        self._invalid_count = 0
        # Kept over restarts of the task: peers ignore lower numbers.
        self._sequence = 0

    async def run(self) -> None:
        """Exchanges messages until cancelled."""
        with trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        ) as datagrams:
            await datagrams.bind((self._host, self._port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, datagrams)
                nursery.start_soon(self._send, datagrams)

    async def _receive(self, datagrams: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await datagrams.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # A peer without a listener; the next datagram may be valid.
                _LOGGER.debug('peer_refused', extra={'reason': str(error)})
                await trio.sleep(MIN_INTERVAL_S)
                continue
            message = _peer_message.decode_message(data)
            if isinstance(message, results.Failure):
                self._invalid_count += 1
                if self._invalid_count & (self._invalid_count - 1) == 0:
                    _LOGGER.warning(
                        'peer_message_invalid',
                        extra={
                            'code': int(message.code),
                            'reason': message.reason,
                            'count': self._invalid_count,
                        },
                    )
                continue
            self._directory.apply_message(message)

    async def _send(self, datagrams: trio.socket.SocketType) -> None:
        while True:
            self._sequence += 1
            version = self._load.version
            data = _peer_message.encode_message(
                self._create_message(self._sequence)
            )
            for peer in self._directory.list_due():
                try:
                    await datagrams.sendto(data, (peer.address, self._port))
                except OSError as error:
                    _LOGGER.debug(
                        'peer_unreachable',
                        extra={'peer': peer.member, 'reason': str(error)},
                    )
            await trio.sleep(MIN_INTERVAL_S)
            if self._load.version == version:
                with trio.move_on_after(MAX_INTERVAL_S - MIN_INTERVAL_S):
                    await self._wait_own_change(version)

    async def _wait_own_change(self, version: int) -> None:
        while self._load.version == version:
            await self._load.wait_changed()


def create_peer_exchange(
    host: str,
    port: int,
    directory: _peer_directory.PeerDirectory,
    load: placement.LoadTable,
    create_message: CreateMessage,
) -> PeerExchange:
    """Creates an exchange that listens on an IP address and UDP port."""
    return PeerExchange(host, port, directory, load, create_message)
