"""Members that prove the age of their keys to a store and to each other.

The parts under test are the real ones; the store, the paths and the clock are
simulated. Time is trio's, which a test replaces by a mock clock, plus the time
for which all machines were suspended.
"""

import types
import urllib.parse

import orjson
import trio

from siskinmount import customers
from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _key_proofs
from siskinmount.gateway import _peers_api

BOUND_S = 5.0
#: As the client of the store has them.
READ_TIMEOUT_S = 2.5
LOAD_TIMEOUT_S = 1.5
CHECK_INTERVAL_S = 0.1
PEER_TIMEOUT_S = 0.3


def _unavailable(reason):
    return results.Failure(results.ResultCode.LOG_UNAVAILABLE, reason)


def _decode_document(source):
    fields = orjson.loads(source)
    if fields['is_invalid']:
        return results.Failure(results.ResultCode.DOCUMENT_INVALID, 'invalid')
    return types.SimpleNamespace(
        version=fields['version'],
        keys=fields['keys'],
        customers=customers.create_customer_table(),
        routes=[],
        source=source,
    )


class Store:
    """The log of documents, of which each has one new key and revokes others.

    Attributes:
        sources: The documents; the offset is the index.
        revoked_at_s: When the store acknowledged that a key is revoked.
        transfer_s: Time that it takes to receive one document.
    """

    def __init__(self, world):
        self._world = world
        self.sources = []
        self.revoked_at_s = {}
        self.transfer_s = 0.0
        self._changed = trio.Event()

    def publish(self, is_invalid=False, acked_at_s=None):
        """Appends a document, which revokes the keys of the earlier ones."""
        version = len(self.sources) + 1
        for earlier in range(1, version):
            self.revoked_at_s.setdefault(
                f'k{earlier}', acked_at_s or self._world.get_time_s()
            )
        self.sources.append(
            orjson.dumps(
                {
                    'version': version,
                    'keys': [f'k{version}'],
                    'is_invalid': is_invalid,
                }
            )
        )
        self._changed.set()
        self._changed = trio.Event()

    async def wait_longer_than(self, offset, wait_s):
        with trio.move_on_after(wait_s):
            while len(self.sources) <= offset:
                await self._changed.wait()


class Link:
    """Access of one member to the store: implements `EndReadableLog`.

    Attributes:
        delays_s: Times until the store has a read, and as long back, used in
            turn.
        fault: None, `silent` (no answer) or `busy` (refused).
        call_counts: Calls by name.
        most_end_reads: Most reads of the end at one time.
    """

    def __init__(self, world, member):
        self._world = world
        self._member = member
        self.delays_s = [0.005]
        self.fault = None
        self.call_counts = {'read': 0, 'read_end': 0, 'newest': 0}
        self.received_documents = 0
        self.most_end_reads = 0
        self._end_reads = 0
        self._receivers = 0
        self._count = 0

    async def read(self, from_offset, wait_ms):
        self.call_counts['read'] += 1
        page = None
        with trio.move_on_after(READ_TIMEOUT_S):
            page = await self._ask(from_offset, wait_ms / 1000)
        return await self._receive(page)

    async def read_end(self, from_offset):
        self.call_counts['read_end'] += 1
        self._end_reads += 1
        self.most_end_reads = max(self.most_end_reads, self._end_reads)
        try:
            page = await self._ask(from_offset, 0)
            if self._receivers and isinstance(page, keyed_log.LogPage):
                page = keyed_log.LogPage([], page.end_offset)
            return await self._receive(page)
        finally:
            self._end_reads -= 1

    async def read_newest(self):
        self.call_counts['newest'] += 1
        page = None
        with trio.move_on_after(LOAD_TIMEOUT_S):
            page = await self._ask(0, 0)
        if isinstance(page, keyed_log.LogPage):
            page = keyed_log.LogPage(page.records[-1:], page.end_offset)
        return await self._receive(page)

    async def _ask(self, from_offset, wait_s):
        """Returns the page as it was at the store when the read was there."""
        await self._member.wait_unfrozen()
        delay_s = self.delays_s[self._count % len(self.delays_s)]
        self._count += 1
        await trio.sleep(delay_s / 2)
        if self.fault == 'silent':
            await trio.sleep_forever()
        if self.fault == 'busy':
            return _unavailable('the store is busy')
        store = self._world.store
        await store.wait_longer_than(from_offset, wait_s)
        records = [
            keyed_log.KeyedRecord('config', store.sources[offset], offset)
            for offset in range(from_offset, len(store.sources))
        ]
        page = keyed_log.LogPage(records, len(store.sources))
        await trio.sleep(delay_s / 2)
        if self.fault == 'silent':
            await trio.sleep_forever()
        return page

    async def _receive(self, page):
        if isinstance(page, keyed_log.LogPage):
            self.received_documents += len(page.records)
            self._receivers += 1
            try:
                await trio.sleep(
                    self._world.store.transfer_s * len(page.records)
                )
            finally:
                self._receivers -= 1
        await self._member.wait_unfrozen()
        return _unavailable('no answer') if page is None else page


class _Exchange:
    """A call of a peer that does not leave the process."""

    def __init__(self, target):
        path, _, query = target.partition('?')
        self.head = types.SimpleNamespace(
            path=path, query=dict(urllib.parse.parse_qsl(query))
        )
        self.body = None

    async def send_json(self, status, document):
        self.body = orjson.dumps(document)


class _PeersApi(_peers_api.PeersApi):
    """Calls peers within the process, or by a function of the test."""

    call_peer = None

    async def _call(self, address, request, max_answer_bytes=0):
        if self.call_peer is not None:
            return await self.call_peer(address, request)
        asker = self.seeds[0]
        peer = asker.world.members[address.host]
        await asker.wait_unfrozen()
        asker.peer_calls += 1
        exchange = _Exchange(request.target)
        is_answered = False
        with trio.move_on_after(PEER_TIMEOUT_S):
            await trio.sleep(0.01)
            await peer.wait_unfrozen()
            if peer.is_alone or asker.is_alone:
                await trio.sleep_forever()
            await peer.api.handle(exchange)
            await trio.sleep(0.01)
            is_answered = True
        await asker.wait_unfrozen()
        asker.peer_bytes += len(exchange.body or b'')
        return exchange.body if is_answered else _unavailable('peer silent')


class Member:
    """One gateway: what it knows of the document, and how old its keys are.

    Attributes:
        is_alone: Whether no peer hears it.
        refused: Times at which it refused a request under its newest key.
    """

    def __init__(self, world, name, is_strict=True):
        self.world = world
        self.name = name
        # As that of a seed, of which it is its own only one.
        self.host = name
        self.link = Link(world, self)
        self.is_alone = False
        self.refused = []
        self.first_current_at_s = None
        self.peer_calls = 0
        self.peer_bytes = 0
        self._frozen_until_s = float('-inf')
        bound_s = BOUND_S if is_strict else None
        self.view = fleet.create_fleet_view(_decode_document, None)
        self.key_age = customers.create_key_age(
            bound_s, world.get_time_s, self._get_version
        )
        self.follower = keyed_log.create_log_follower(
            'document',
            self.link,
            self.view.apply_document_record,
            read_wait_ms=_key_proofs.compute_read_wait_ms(bound_s),
            boot_clock=world.get_time_s,
        )
        self.metrics = _gateway_metrics.create_gateway_metrics(
            telemetry.create_metrics()
        )
        self.proofs = _key_proofs.create_key_proofs(
            self.key_age, self.view, self.link, self.follower, self.metrics
        )
        self.api = _PeersApi(
            view=self.view,
            document_follower=self.follower,
            upstreams_follower=types.SimpleNamespace(
                is_loaded=True, is_reachable=True, next_offset=1
            ),
            directory=self,
            scheduler=None,
            ledger=None,
            origins=None,
            key_proofs=self.proofs,
            own_address=transport.Address(name, 1),
            seeds=[self],
        )

    def _get_version(self):
        return self.view.document.version if self.view.document else None

    def list_live(self):
        """Returns the other members, as the peer directory does."""
        return [
            types.SimpleNamespace(address=name)
            for name in sorted(self.world.members)
            if name != self.name
        ]

    def freeze(self, duration_s):
        """Stops the process: nothing arrives, nothing is sent."""
        self._frozen_until_s = trio.current_time() + duration_s

    async def wait_unfrozen(self):
        await trio.sleep_until(self._frozen_until_s)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.proofs.run)
            nursery.start_soon(self.api.run)
            nursery.start_soon(self._serve)

    async def _serve(self):
        """Checks a request under each key of the document at each step."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            await self.wait_unfrozen()
            now_s = self.world.get_time_s()
            is_current = self.key_age.is_current()
            if self.view.document is None:
                continue
            if not is_current:
                self.refused.append(now_s)
                continue
            if self.first_current_at_s is None:
                self.first_current_at_s = now_s
            for key in self.view.document.keys:
                self.world.record_run(self.name, key, now_s)

    def list_refused_after_start(self):
        if self.first_current_at_s is None:
            return self.refused
        return [at_s for at_s in self.refused if at_s > self.first_current_at_s]


class World:
    """The store, the members and the time.

    Attributes:
        violations: Requests that ran though their key had been revoked for
            longer than the bound: member, key, age of the revocation.
    """

    def __init__(self):
        self._suspended_s = 0.0
        self.store = Store(self)
        self.members = {}
        self.violations = []

    def get_time_s(self):
        return trio.current_time() + self._suspended_s

    def suspend(self, duration_s, revokes):
        """Suspends all members; the store may take a document meanwhile."""
        if revokes:
            self.store.publish(acked_at_s=self.get_time_s())
        self._suspended_s += duration_s

    def record_run(self, name, key, now_s):
        revoked_at_s = self.store.revoked_at_s.get(key)
        if revoked_at_s is not None and now_s > revoked_at_s + BOUND_S:
            self.violations.append((name, key, now_s - revoked_at_s))

    def add(self, name, nursery, is_strict=True):
        member = Member(self, name, is_strict)
        self.members[name] = member
        nursery.start_soon(member.run)
        return member
