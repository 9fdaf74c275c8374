"""Exchanges with peers what one has and another needs.

A daemon that cannot reach the store goes on by what its peers read there: the
document and the upstreams. One that ends, or cannot write to the store, gives
its peers the output of batch items.
"""

import base64
import logging
import random

import orjson
import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import results
from siskinmount import transport

_LOGGER = logging.getLogger(__name__)

FLEET_PATH = '/peer/fleet'
OUTPUT_PATH = '/peer/output'
#: How long the store may be away before peers are asked, and how often: well
#: inside the two seconds in which a change must be in force.
ASK_AFTER_S = 0.4
ASK_INTERVAL_S = 0.4
ASK_TIMEOUT_MS = 300
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class PeersApi:
    """Answers peers and asks them."""

    __slots__ = (
        '_view',
        '_documents',
        '_upstreams',
        '_directory',
        '_scheduler',
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
        scheduler: jobs.ItemScheduler,
        own_address: transport.Address,
        seeds: list[transport.Address],
    ) -> None:
        self._view = view
        self._documents = documents
        self._upstreams = upstreams
        self._directory = directory
        self._scheduler = scheduler
        self._control_port = own_address.port
        self._own_host = own_address.host
        self.seeds = seeds

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Answers a peer."""
        if exchange.head.path == FLEET_PATH:
            await self._answer_fleet(exchange)
        elif exchange.head.path == OUTPUT_PATH:
            await self._answer_output(exchange)
        else:
            await exchange.send_json(404, {})

    async def hand_over(
        self, tag: str, progress: jobs.ItemProgress, member: str
    ) -> bool:
        """Gives output of an item to a peer; returns whether it took it."""
        peer = self._directory.peers.get(member)
        if peer is None:
            return False
        body = orjson.dumps(
            {
                'tag': tag,
                'events': progress.events,
                'last_event_id': progress.last_event_id,
                'complete': progress.is_complete,
            }
        )
        answer = await self._call(
            transport.Address(peer.address, self._control_port),
            transport.ClientRequest('POST', OUTPUT_PATH, [], body),
        )
        is_taken = not isinstance(answer, results.Failure)
        _LOGGER.info(
            'item_handed_over',
            extra={
                'tag': tag,
                'peer': member,
                'events': len(progress.events),
                'outcome': 'taken' if is_taken else answer.reason,
            },
        )
        return is_taken

    async def _answer_output(self, exchange: transport.ServerExchange) -> None:
        """Takes output of an item from a peer."""
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await exchange.send_json(400, {})
            return
        try:
            fields = orjson.loads(body)
            progress = jobs.ItemProgress()
            progress.events = [str(text) for text in fields['events']]
            if fields['last_event_id'] is not None:
                progress.last_event_id = int(fields['last_event_id'])
            progress.is_complete = fields['complete'] is True
            tag = str(fields['tag'])
        except (ValueError, TypeError, KeyError) as error:
            _log_invalid(exchange.head.peer_host, error)
            await exchange.send_json(400, {})
            return
        self._scheduler.accept_handover(tag, progress)
        await exchange.send_json(200, {})

    async def _answer_fleet(self, exchange: transport.ServerExchange) -> None:
        """Answers with the document and the upstreams."""
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
        body = await self._call(
            address, transport.ClientRequest('GET', FLEET_PATH)
        )
        if isinstance(body, results.Failure):
            _LOGGER.info(
                'peer_not_asked',
                extra={'peer': str(address), 'reason': body.reason},
            )
            return
        self._take(body, address)

    async def _call(
        self, address: transport.Address, request: transport.ClientRequest
    ) -> bytes | results.Failure:
        """Calls a peer and returns the body of a good answer."""
        client = transport.create_http_client(
            address,
            transport.ClientLimits(
                connect_timeout_ms=ASK_TIMEOUT_MS,
                silence_timeout_ms=ASK_TIMEOUT_MS,
                send_timeout_ms=ASK_TIMEOUT_MS,
            ),
        )
        exchange = await client.send(request)
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            body = await exchange.read_body(MAX_ANSWER_BYTES)
        client.close()
        if exchange.status != 200:
            return results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                f'the peer answered {exchange.status}',
            )
        return body

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
            _log_invalid(str(address), error)
            return
        origin = f'peer {address}'
        if document:
            self._view.apply_document(document, origin)
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


def _log_invalid(peer: str, error: Exception) -> None:
    _LOGGER.warning(
        'peer_data_invalid',
        extra={
            'code': int(results.ResultCode.MALFORMED_REQUEST),
            'peer': peer,
            'reason': repr(error),
        },
    )


def create_peers_api(
    *,
    view: fleet.FleetView,
    documents: keyed_log.LogFollower,
    upstreams: keyed_log.LogFollower,
    directory: peering.PeerDirectory,
    scheduler: jobs.ItemScheduler,
    own_address: transport.Address,
    seeds: list[transport.Address],
) -> PeersApi:
    """Creates the exchange with peers."""
    return PeersApi(
        view=view,
        documents=documents,
        upstreams=upstreams,
        directory=directory,
        scheduler=scheduler,
        own_address=own_address,
        seeds=seeds,
    )
