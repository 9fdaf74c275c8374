"""HTTP calls between peers, for when a daemon cannot reach the store.

A daemon that cannot read the store gets the document and the upstreams from its
peers. A daemon that shuts down, or cannot write to the store, hands the output
of batch items to its peers.
"""

import base64
import logging
import random
import urllib.parse

import orjson
import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import results
from siskinmount import stream_origins
from siskinmount import transport
from siskinmount.gateway import _key_proofs
from siskinmount.gateway import _origin_finder

_LOGGER = logging.getLogger(__name__)

FLEET_PATH = '/peer/fleet'
OUTPUT_PATH = '/peer/output'
OPERATIONS_PATH = '/peer/operations'
ORIGIN_PATH = '/peer/origin'
#: Largest number of peers that are asked what began a stream.
MAX_ASKED_PEERS = 12
#: How long the store must be unreachable before peers are asked, and how often
#: they are asked. Both are well below the 2 s in which a change must be in
#: force.
OUTAGE_THRESHOLD_S = 0.4
POLL_INTERVAL_S = 0.4
PEER_TIMEOUT_MS = 300
#: Longest wait for a peer that may have to read the log.
ORIGIN_TIMEOUT_MS = 450
#: Longest wait for the outcomes of operations that a peer writes: longer than
#: the peer waits for them itself.
OPERATIONS_TIMEOUT_MS = 1000
#: Largest answer with the document and the entries of all upstreams.
MAX_FLEET_BYTES = 16 * 1024 * 1024
#: Largest answer to other calls, several of which are made at a time.
MAX_ANSWER_BYTES = 64 * 1024
#: Digits of the largest number that is read from a query of a peer.
MAX_NUMBER_DIGITS = 18


class PeersApi:
    """Serves calls of peers, and calls peers."""

    __slots__ = (
        '_view',
        '_document_follower',
        '_upstreams_follower',
        '_directory',
        '_scheduler',
        '_ledger',
        '_origins',
        '_key_proofs',
        '_control_port',
        'seeds',
        '_own_host',
    )

    def __init__(
        self,
        *,
        view: fleet.FleetView,
        document_follower: keyed_log.LogFollower,
        upstreams_follower: keyed_log.LogFollower,
        directory: peering.PeerDirectory,
        scheduler: jobs.ItemScheduler,
        ledger: jobs.JobLedger,
        origins: _origin_finder.OriginFinder,
        key_proofs: _key_proofs.KeyProofs,
        own_address: transport.Address,
        seeds: list[transport.Address],
    ) -> None:
        self._view = view
        self._document_follower = document_follower
        self._upstreams_follower = upstreams_follower
        self._directory = directory
        self._scheduler = scheduler
        self._ledger = ledger
        self._origins = origins
        self._key_proofs = key_proofs
        self._control_port = own_address.port
        self._own_host = own_address.host
        self.seeds = seeds

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Serves one call of a peer."""
        if exchange.head.path == FLEET_PATH:
            await self._send_fleet(exchange)
        elif exchange.head.path == OUTPUT_PATH:
            await self._receive_output(exchange)
        elif exchange.head.path == OPERATIONS_PATH:
            await self._write_operations(exchange)
        elif exchange.head.path == ORIGIN_PATH:
            await self._send_origin(exchange)
        else:
            await exchange.send_json(404, {})

    async def hand_over(
        self, tag: str, progress: jobs.ItemProgress, member: str
    ) -> bool:
        """Sends output of an item to a peer; returns whether it was taken."""
        peer = self._directory.peers.get(member)
        if peer is None:
            return False
        if not progress.is_complete and peer.is_older_release():
            # It would go on with the output at any version.
            return False
        body = orjson.dumps(
            {
                'tag': tag,
                'events': progress.events,
                'last_event_id': progress.last_event_id,
                'complete': progress.is_complete,
                'service': progress.service,
                'software_version': progress.software_version,
            }
        )
        response = await self._call(
            transport.Address(peer.address, self._control_port),
            transport.ClientRequest('POST', OUTPUT_PATH, [], body),
        )
        is_taken = not isinstance(response, results.Failure)
        _LOGGER.info(
            'item_handed_over',
            extra={
                'tag': tag,
                'peer': member,
                'events': len(progress.events),
                'outcome': 'taken' if is_taken else response.reason,
            },
        )
        return is_taken

    async def send_operations(
        self, member: str, body: bytes
    ) -> bytes | results.Failure:
        """Has a peer write operations; returns their encoded outcomes."""
        peer = self._directory.peers.get(member)
        if peer is None:
            return results.Failure(
                results.ResultCode.UPSTREAM_UNREACHABLE, 'the peer is not known'
            )
        return await self._call(
            transport.Address(peer.address, self._control_port),
            transport.ClientRequest('POST', OPERATIONS_PATH, [], body),
            OPERATIONS_TIMEOUT_MS,
        )

    async def ask_origin(
        self, key: stream_origins.StreamKey
    ) -> _origin_finder.PeerOrigin:
        """Asks peers at the same time which software began a stream."""
        peers = list(self._directory.list_live())
        if len(peers) > MAX_ASKED_PEERS:
            peers = random.sample(peers, MAX_ASKED_PEERS)
        answers: list[_origin_finder.PeerOrigin] = []
        async with trio.open_nursery() as nursery:

            async def ask(peer: peering.Peer) -> None:
                told = await self._ask_origin_of(peer, key)
                if told is None:
                    return
                answers.append(told)
                if told.software is not None:
                    nursery.cancel_scope.cancel()

            for peer in peers:
                nursery.start_soon(ask, peer)
        return _origin_finder.combine_answers(len(peers), answers)

    async def _ask_origin_of(
        self, peer: peering.Peer, key: stream_origins.StreamKey
    ) -> _origin_finder.PeerOrigin | None:
        """Asks one peer; returns None if it gives no sound answer."""
        query = urllib.parse.urlencode(
            {'attempt': key.first_attempt, 'fingerprint': key.fingerprint}
        )
        body = await self._call(
            transport.Address(peer.address, self._control_port),
            transport.ClientRequest('GET', f'{ORIGIN_PATH}?{query}'),
            ORIGIN_TIMEOUT_MS,
        )
        if isinstance(body, results.Failure):
            # A peer of an earlier release answers 404.
            return None
        try:
            fields = orjson.loads(body)
            software: fleet.Software | None = None
            if fields['version']:
                software = fleet.Software(
                    str(fields['service']), str(fields['version'])
                )
            return _origin_finder.PeerOrigin(
                software,
                fields['is_unrecorded'] is True,
                # A peer of an earlier release does not tell.
                fields.get('is_log_lost') is True,
            )
        except results.DECODING_ERRORS as error:
            _log_invalid(peer.member, repr(error))
            return None

    async def _send_origin(self, exchange: transport.ServerExchange) -> None:
        """Sends a peer what is known here of a stream."""
        query = exchange.head.query
        told = await self._origins.find_for_peer(
            stream_origins.StreamKey(
                query.get('attempt', ''), query.get('fingerprint', '')
            )
        )
        await exchange.send_json(
            200,
            {
                'service': told.software.service if told.software else '',
                'version': told.software.version if told.software else '',
                'is_unrecorded': told.is_unrecorded,
                'is_log_lost': told.is_log_lost,
            },
        )

    async def _write_operations(
        self, exchange: transport.ServerExchange
    ) -> None:
        """Writes operations of a peer to the log of jobs."""
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await exchange.send_json(400, {})
            return
        operations = jobs.decode_operations(body)
        if isinstance(operations, results.Failure):
            _log_invalid(exchange.head.peer_host, operations.reason)
            await exchange.send_json(400, {})
            return
        outcomes = await self._ledger.write_for_peer(operations)
        await exchange.send_whole(
            200,
            [(b'content-type', b'application/json')],
            jobs.encode_outcomes(outcomes),
        )

    async def _receive_output(self, exchange: transport.ServerExchange) -> None:
        """Receives output of an item from a peer."""
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
            progress.service = str(fields.get('service', ''))
            progress.software_version = str(fields.get('software_version', ''))
            if not progress.is_complete and not progress.software_version:
                # A member of an earlier release does not tell what wrote it.
                progress.drop_output()
            tag = str(fields['tag'])
        except results.DECODING_ERRORS as error:
            _log_invalid(exchange.head.peer_host, repr(error))
            await exchange.send_json(400, {})
            return
        kept = self._scheduler.progress.get(tag)
        own_events = len(kept.events) if kept is not None else 0
        outcome = self._scheduler.accept_handover(tag, progress)
        _LOGGER.info(
            'item_output_received',
            extra={
                'tag': tag,
                'peer_host': exchange.head.peer_host,
                'events': len(progress.events),
                'last_event_id': progress.last_event_id,
                'complete': progress.is_complete,
                'own_events': own_events,
                'outcome': outcome.value,
            },
        )
        await exchange.send_json(200, {})

    async def _send_fleet(self, exchange: transport.ServerExchange) -> None:
        """Sends a peer the document and the upstreams.

        What the peer says that it holds is left out: it may ask for the age of
        the document alone, while the document is large and the path slow.
        """
        query = exchange.head.query
        document = self._view.document
        version = document.version if document else None
        source = document.source if document else b''
        if version is not None and _is_held(query, 'version', version):
            source = b''
        rows: dict[str, str] = {}
        lapsed_ages_s: dict[str, float] = {}
        offset = self._upstreams_follower.next_offset
        if not _is_held(query, 'upstreams_offset', offset):
            for upstream_id, entry in self._view.upstream_sources.items():
                rows[upstream_id] = base64.b64encode(entry).decode('ascii')
            lapsed_ages_s = self._view.list_lapsed_ages_s()
        await exchange.send_json(
            200,
            {
                'document': base64.b64encode(source).decode('ascii'),
                'document_version': version,
                'document_age_ms': self._key_proofs.get_document_age_ms(),
                'upstreams': rows,
                'lapsed_ages_s': lapsed_ages_s,
                'upstreams_offset': offset,
            },
        )

    async def run(self) -> None:
        """Asks a peer for the fleet while the store is out of reach.

        Also while the proof of the keys grows old: the store may answer too
        slowly. The peer is drawn anew each time, so that the calls are spread
        over the members; a proof goes from member to member with its age.
        """
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            is_asking = (
                self._is_store_unavailable() or self._key_proofs.needs_peer()
            )
            if not is_asking:
                continue
            address = self._choose_peer_address()
            if address is not None:
                await self._fetch_fleet(address)

    def _is_store_unavailable(self) -> bool:
        """Returns whether the document or upstreams log is out of reach.

        A log that was never loaded counts at once, another after
        `OUTAGE_THRESHOLD_S`.
        """
        limit_s = trio.current_time() - OUTAGE_THRESHOLD_S
        for follower in (self._document_follower, self._upstreams_follower):
            if not follower.is_loaded:
                return True
            if not follower.is_reachable and follower.lost_at_s < limit_s:
                return True
        return False

    def _choose_peer_address(self) -> transport.Address | None:
        """Returns a random live peer, or a random seed if there is none."""
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

    async def _fetch_fleet(self, address: transport.Address) -> None:
        """Fetches a peer's fleet, and applies what is newer."""
        document = self._view.document
        held = {'upstreams_offset': self._upstreams_follower.next_offset}
        if document is not None:
            held['version'] = document.version
        asked_at_s = self._key_proofs.get_time_s()
        body = await self._call(
            address,
            transport.ClientRequest(
                'GET', f'{FLEET_PATH}?{urllib.parse.urlencode(held)}'
            ),
            max_answer_bytes=MAX_FLEET_BYTES,
        )
        if isinstance(body, results.Failure):
            _LOGGER.info(
                'peer_call_failed',
                extra={'peer': str(address), 'reason': body.reason},
            )
            return
        self._apply_fleet(body, address, asked_at_s)

    async def _call(
        self,
        address: transport.Address,
        request: transport.ClientRequest,
        silence_timeout_ms: int = PEER_TIMEOUT_MS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> bytes | results.Failure:
        """Calls a peer; returns the body of a response with status 200."""
        client = transport.create_http_client(
            address,
            transport.ClientLimits(
                connect_timeout_ms=PEER_TIMEOUT_MS,
                silence_timeout_ms=silence_timeout_ms,
                send_timeout_ms=PEER_TIMEOUT_MS,
            ),
        )
        exchange = await client.send(request)
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            body = exchange.find_framing_fault()
            if body is None:
                body = await exchange.read_body(max_answer_bytes)
        client.close()
        if exchange.status != 200:
            return results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                f'the peer answered {exchange.status}',
                results.RunState.UNKNOWN,
            )
        return body

    def _apply_fleet(
        self, body: bytes, address: transport.Address, asked_at_s: float
    ) -> None:
        """Applies a peer's document and upstreams if they are newer.

        Args:
            body: The answer.
            address: Address of the peer.
            asked_at_s: Time by the clock of the proofs before it was asked.
        """
        try:
            fields = orjson.loads(body)
            document = base64.b64decode(fields['document'])
            version = fields.get('document_version')
            age_ms = fields.get('document_age_ms')
            offset = int(fields['upstreams_offset'])
            sources: dict[str, bytes] = {}
            for upstream_id, text in fields['upstreams'].items():
                sources[str(upstream_id)] = base64.b64decode(text)
            lapsed_ages_s: dict[str, float] = {}
            for upstream_id, age_s in fields.get('lapsed_ages_s', {}).items():
                lapsed_ages_s[str(upstream_id)] = float(age_s)
        except results.DECODING_ERRORS as error:
            _log_invalid(str(address), repr(error))
            return
        origin = f'peer {address}'
        if document:
            version = self._view.apply_document(document, origin)
        self._key_proofs.record_peer(str(address), asked_at_s, version, age_ms)
        if offset <= self._upstreams_follower.next_offset:
            return
        _LOGGER.info(
            'upstreams_from_peer',
            extra={
                'peer': str(address),
                'offset': offset,
                'own_offset': self._upstreams_follower.next_offset,
                'upstreams': len(sources),
            },
        )
        self._upstreams_follower.skip_to(offset)
        self._view.replace_upstreams(sources, origin, lapsed_ages_s)


def _is_held(query: dict[str, str], name: str, own: int) -> bool:
    """Returns whether a peer says that it holds what is here, or newer.

    Members of earlier releases do not tell.
    """
    text = query.get(name, '')
    is_number = len(text) <= MAX_NUMBER_DIGITS and text.isdecimal()
    return is_number and int(text) >= own


def _log_invalid(peer: str, reason: str) -> None:
    _LOGGER.warning(
        'peer_data_invalid',
        extra={
            'code': int(results.ResultCode.MALFORMED_REQUEST),
            'peer': peer,
            'reason': reason,
        },
    )


def create_peers_api(
    *,
    view: fleet.FleetView,
    document_follower: keyed_log.LogFollower,
    upstreams_follower: keyed_log.LogFollower,
    directory: peering.PeerDirectory,
    scheduler: jobs.ItemScheduler,
    ledger: jobs.JobLedger,
    origins: _origin_finder.OriginFinder,
    key_proofs: _key_proofs.KeyProofs,
    own_address: transport.Address,
    seeds: list[transport.Address],
) -> PeersApi:
    """Creates the handler of calls between peers."""
    return PeersApi(
        view=view,
        document_follower=document_follower,
        upstreams_follower=upstreams_follower,
        directory=directory,
        scheduler=scheduler,
        ledger=ledger,
        origins=origins,
        key_proofs=key_proofs,
        own_address=own_address,
        seeds=seeds,
    )
