"""Views of upstreams of members that read the log or ask each other."""

import types
import urllib.parse

import hypothesis
from hypothesis import strategies
import orjson
import testtools
import trio
import trio.testing

from siskinmount import customers
from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _key_proofs
from siskinmount.gateway import _peers_api
from siskinmount.keyed_log.tests import unsteady_log

_MEMBERS = 3
_LATENCY_S = 0.01


def _decode_document(source):
    return results.Failure(results.ResultCode.DOCUMENT_INVALID, 'none')


def _decode_upstream(upstream_id, source):
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=1,
        started_at_ms=0,
    )


class _Link:
    """Access of one member to the log; it can be cut."""

    def __init__(self, log):
        self.log = log
        self.is_cut = False

    async def read(self, from_offset, wait_ms):
        return await self._call(self.log.read, from_offset, wait_ms)

    async def read_newest(self):
        return await self._call(self.log.read_newest)

    async def _call(self, call, *arguments):
        answer = None
        if not self.is_cut:
            answer = await call(*arguments)
        if self.is_cut:
            await trio.sleep(0.01)
            return results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'cut')
        return answer


class _Exchange:
    """A call of a peer that does not leave the process."""

    def __init__(self, path):
        path, _, query = path.partition('?')
        self.head = types.SimpleNamespace(
            path=path, query=dict(urllib.parse.parse_qsl(query))
        )
        self.body = None

    async def send_json(self, status, document):
        self.body = orjson.dumps(document)


class _PeersApi(_peers_api.PeersApi):
    """Calls peers within the process."""

    async def _call(self, address, request, max_answer_bytes=0):
        exchange = _Exchange(request.target)
        await self.seeds[0].peers[address.host].api.handle(exchange)
        await trio.sleep(_LATENCY_S)
        return exchange.body


class _Member:
    """A view of upstreams, its follower, and calls between peers."""

    def __init__(self, log, name, peers):
        self.peers = peers
        self.name = name
        self.link = _Link(log)
        self.view = fleet.create_fleet_view(_decode_document, _decode_upstream)
        self.follower = keyed_log.create_log_follower(
            'upstreams',
            self.link,
            self.view.apply_upstream_record,
            self.view.retain_upstreams,
        )
        self.view.watch_store(self._get_lost_age_s)
        self.api = _PeersApi(
            view=self.view,
            document_follower=types.SimpleNamespace(
                is_loaded=True, is_reachable=True
            ),
            upstreams_follower=self.follower,
            directory=self,
            ledger=None,
            scheduler=None,
            origins=None,
            key_proofs=_key_proofs.create_key_proofs(
                customers.create_key_age(None, trio.current_time),
                self.view,
                None,
                self.follower,
                _gateway_metrics.create_gateway_metrics(
                    telemetry.create_metrics()
                ),
            ),
            own_address=transport.Address(name, 1),
            seeds=[self],
        )

    def _get_lost_age_s(self):
        if not self.follower.is_reachable:
            return 0.0
        return trio.current_time() - self.follower.regained_at_s

    def list_live(self):
        """Returns the other members, as the peer directory does."""
        return [
            types.SimpleNamespace(address=name)
            for name in sorted(self.peers)
            if name != self.name
        ]

    def list_view(self):
        return dict(sorted(self.view.upstream_sources.items()))

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.api.run)
            while True:
                await trio.sleep(0.25)
                self.view.expire_lapsed()


def _create_members(log, count):
    members = {}
    for number in range(count):
        name = f'm{number}'
        members[name] = _Member(log, name, members)
    return list(members.values())


def _run(check, count):
    async def main():
        async with trio.open_nursery() as nursery:
            log = unsteady_log.UnsteadyLog(nursery)
            await check(log, _create_members(log, count), nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class UpstreamViewsTest(testtools.TestCase):

    def test_slow_load_does_not_undo_newer_data_of_a_peer(self):
        seen = []

        async def check(log, members, nursery):
            peer, member = members
            log.put('u0', b'0')
            log.put('u1', b'0')
            nursery.start_soon(peer.run)
            await trio.sleep(0.1)
            # The load of the member is answered after it has asked its peer.
            log.page_faults = [unsteady_log.Fault(None, 1.0)]
            nursery.start_soon(member.run)
            await trio.sleep(0.1)
            log.put('u0', None)
            log.put('u2', b'0')
            await trio.sleep(4)
            seen.append(member.list_view())

        _run(check, 2)
        self.assertEqual([{'u1': b'0', 'u2': b'0'}], seen)

    def test_lapsed_upstream_of_a_peer_is_not_kept_for_good(self):
        seen = []

        async def check(log, members, nursery):
            peer, member = members
            log.put('u0', b'0')
            for started in members:
                nursery.start_soon(started.run)
            await trio.sleep(0.1)
            for started in members:
                started.link.is_cut = True
            await trio.sleep(3)
            peer.link.is_cut = False
            log.put('u0', None)
            await trio.sleep(1)
            seen.append((peer.list_view(), member.list_view()))
            await trio.sleep(8)
            seen.append((peer.list_view(), member.list_view()))
            member.link.is_cut = False
            await trio.sleep(8)
            seen.append((peer.list_view(), member.list_view()))

        _run(check, 2)
        known = {'u0': b'0'}
        self.assertEqual([(known, known), ({}, {}), ({}, {})], seen)

    def test_entry_that_a_peer_has_again_does_not_expire(self):
        seen = []

        async def check(log, members, nursery):
            peer, member = members
            log.put('u0', b'0')
            for started in members:
                nursery.start_soon(started.run)
            await trio.sleep(0.1)
            member.link.is_cut = True
            await trio.sleep(2)
            member.link.is_cut = False
            await trio.sleep(0.7)
            log.put('u0', None)
            await trio.sleep(0.1)
            member.link.is_cut = True
            log.put('u0', b'0')
            await trio.sleep(8)
            seen.append(member.list_view())
            member.link.is_cut = False
            await trio.sleep(8)
            seen.append(member.list_view())

        _run(check, 2)
        self.assertEqual([{'u0': b'0'}] * 2, seen)


_FAULTS = strategies.lists(
    strategies.builds(
        unsteady_log.Fault,
        strategies.sampled_from([None, None, None, 'refused', 'lost']),
        strategies.sampled_from([0, 0, 0.02, 0.3, 1.0, 1.4]),
    ),
    max_size=20,
)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['put', 'put', 'put', 'remove', 'remove']
            + ['drop history', 'outage', 'outage', 'cut', 'join', 'start']
        ),
        strategies.integers(0, _MEMBERS - 1),
        strategies.sampled_from(['u0', 'u1', 'u2']),
        strategies.sampled_from([b'0', b'1']),
        strategies.sampled_from([0, 0.01, 0.1, 0.5, 0.7]),
    ),
    min_size=6,
    max_size=20,
)


class UpstreamViewsPropertiesTest(testtools.TestCase):

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=100, database=None
    )
    @hypothesis.given(_STEPS, _FAULTS, _FAULTS, strategies.integers(1, 4))
    def test_members_agree_with_the_log_once_it_is_calm(
        self, steps, read_faults, page_faults, page_keys
    ):
        seen = []

        async def check(log, members, nursery):
            log.read_faults = list(read_faults)
            log.page_faults = list(page_faults)
            log.page_keys = page_keys
            started = {0, 1}
            for number in started:
                nursery.start_soon(members[number].run)
            log.put('u0', b'0')
            log.put('u1', b'0')
            await trio.sleep(0.1)
            for kind, number, key, value, pause_s in steps:
                if kind == 'put':
                    log.put(key, value)
                elif kind == 'remove':
                    log.put(key, None)
                elif kind == 'drop history':
                    log.drop_history(len(log.records) - number)
                elif kind == 'start' and number not in started:
                    started.add(number)
                    nursery.start_soon(members[number].run)
                elif kind == 'outage':
                    # The store is back at one member later than at others.
                    for member in members:
                        member.link.is_cut = True
                    await trio.sleep(0.5)
                    for member in members:
                        member.link.is_cut = member is members[number]
                else:
                    members[number].link.is_cut = kind == 'cut'
                await trio.sleep(pause_s)
            log.clear_faults()
            for number, member in enumerate(members):
                member.link.is_cut = False
                if number not in started:
                    nursery.start_soon(member.run)
            await trio.sleep(10)
            seen.append(log.list_newest_values())
            for member in members:
                seen.append(member.list_view())

        _run(check, _MEMBERS)
        for view in seen[1:]:
            self.assertEqual(seen[0], view)
