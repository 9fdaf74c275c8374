"""Gives peers the document and the upstreams, and takes them from peers.

A daemon that cannot reach the store goes on by what its peers read there.
"""

import base64
import logging
import random

import orjson
import trio

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import results
from siskinmount import transport

_LOGGER = logging.getLogger(__name__)

FLEET_PATH = '/peer/fleet'
#: How long the store may be away before peers are asked, and how often: well
#: inside the two seconds in which a change must be in force.
ASK_AFTER_S = 0.4
ASK_INTERVAL_S = 0.4
ASK_TIMEOUT_MS = 300
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class PeersApi:
    """Exchanges the view of the fleet with peers."""

    __slots__ = (
        '_view',
        '_documents',
        '_upstreams',
        '_directory',
        '_control_port',
        'seeds',
        '_own_host',
    )

    def __init__(
        self,
        *,
        view: fleet.FleetView,
        documents: keyed_log.LogFollower,
        upstreams: keyed_log.LogFollower,
        directory: peering.PeerDirectory,
        own_address: transport.Address,
        seeds: list[transport.Address],
    ) -> None:
        self._view = view
        self._documents = documents
        self._upstreams = upstreams
        self._directory = directory
        self._control_port = own_address.port
        self._own_host = own_address.host
        self.seeds = seeds

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Answers a peer."""
        if exchange.head.path != FLEET_PATH:
            await exchange.send_json(404, {})
            return
        document = self._view.document
        rows: dict[str, str] = {}
        for upstream_id, source in self._view.upstream_sources.items():
            rows[upstream_id] = base64.b64encode(source).decode('ascii')
        await exchange.send_json(
            200,
            {
                'document': base64.b64encode(
                    document.source if document else b''
                ).decode('ascii'),
                'upstreams': rows,
                'upstreams_offset': self._upstreams.next_offset,
            },
        )

    async def run(self) -> None:
        """Asks a peer whenever the store cannot be read."""
        while True:
            await trio.sleep(ASK_INTERVAL_S)
            if not self._is_store_lost():
                continue
            address = self._choose_address()
            if address is not None:
                await self._ask(address)

    def _is_store_lost(self) -> bool:
        """Returns whether one of the two logs has not been read lately."""
        limit_s = trio.current_time() - ASK_AFTER_S
        for follower in (self._documents, self._upstreams):
            if not follower.is_loaded:
                return True
            if not follower.is_reachable and follower.lost_at_s < limit_s:
                return True
        return False

    def _choose_address(self) -> transport.Address | None:
        """Returns a live peer, or a seed if none has been heard."""
        addresses: list[transport.Address] = []
        for peer in self._directory.list_live():
            addresses.append(
                transport.Address(peer.address, self._control_port)
            )
        if not addresses:
            for seed in self.seeds:
                if seed.host != self._own_host:
                    addresses.append(seed)
        return random.choice(addresses) if addresses else None

    async def _ask(self, address: transport.Address) -> None:
        """Takes what a peer knows if that is newer."""
        client = transport.create_http_client(
            address,
            transport.ClientLimits(
                connect_timeout_ms=ASK_TIMEOUT_MS,
                silence_timeout_ms=ASK_TIMEOUT_MS,
                send_timeout_ms=ASK_TIMEOUT_MS,
            ),
        )
        exchange = await client.send(transport.ClientRequest('GET', FLEET_PATH))
        if isinstance(exchange, results.Failure):
            _LOGGER.info(
                'peer_not_asked',
                extra={'peer': str(address), 'reason': exchange.reason},
            )
            return
        with exchange:
            body = await exchange.read_body(MAX_ANSWER_BYTES)
        client.close()
        if isinstance(body, results.Failure) or exchange.status != 200:
            return
        self._take(body, address)

    def _take(self, body: bytes, address: transport.Address) -> None:
        """Takes an answer of a peer."""
        try:
            fields = orjson.loads(body)
            document = base64.b64decode(fields['document'])
            offset = int(fields['upstreams_offset'])
            sources: dict[str, bytes] = {}
            for upstream_id, text in fields['upstreams'].items():
                sources[str(upstream_id)] = base64.b64decode(text)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            _LOGGER.warning(
                'peer_answer_invalid',
                extra={
                    'code': int(results.ResultCode.MALFORMED_REQUEST),
                    'peer': str(address),
                    'reason': repr(error),
                },
            )
            return
        origin = f'peer {address}'
        if document:
            self._view.take_document(document, origin)
        if offset <= self._upstreams.next_offset:
            return
        _LOGGER.info(
            'upstreams_from_peer',
            extra={
                'peer': str(address),
                'offset': offset,
                'own_offset': self._upstreams.next_offset,
                'upstreams': len(sources),
            },
        )
        self._upstreams.skip_to(offset)
        self._view.replace_upstreams(sources, origin)


def create_peers_api(
    *,
    view: fleet.FleetView,
    documents: keyed_log.LogFollower,
    upstreams: keyed_log.LogFollower,
    directory: peering.PeerDirectory,
    own_address: transport.Address,
    seeds: list[transport.Address],
) -> PeersApi:
    """Creates the exchange with peers."""
    return PeersApi(
        view=view,
        documents=documents,
        upstreams=upstreams,
        directory=directory,
        own_address=own_address,
        seeds=seeds,
    )
