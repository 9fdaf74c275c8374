"""Output of items that this member receives from its peers."""

import types

import orjson
import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount import stream_origins
from siskinmount import transport
from siskinmount.gateway import _peers_api
from siskinmount.jobs.tests import fake_table
from siskinmount.transport.tests import endless_server

_LOGGER_NAME = 'siskinmount.gateway._peers_api'


class _Head:

    def __init__(self):
        self.path = _peers_api.OUTPUT_PATH
        self.peer_host = '127.0.0.9'


class _Exchange:
    """A fake of `transport.ServerExchange` with a body that has arrived."""

    def __init__(self, body):
        self.head = _Head()
        self.status = None
        self._body = body

    async def read_body(self):
        return self._body

    async def send_json(self, status, document):
        self.status = status


class _EndlessPeer:
    """A fake of `peering.Peer` and of the directory that knows it alone."""

    def __init__(self, server):
        self.member = 'p'
        self.address = server.address.host
        self.peers = {'p': self}

    def list_live(self):
        return [self] * 8

    def is_older_release(self):
        return False


class EndlessPeerTest(testtools.TestCase):

    def test_call_ends_after_a_bounded_number_of_bytes(self):
        calls = [
            lambda api: api.ask_origin(stream_origins.StreamKey('a', 'f')),
            lambda api: api.send_operations('p', b'[]'),
            lambda api: api.hand_over('t', jobs.ItemProgress(), 'p'),
        ]
        for call in calls:
            trio.run(self._check, call)

    async def _check(self, call):
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                server = endless_server.EndlessServer(
                    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
                    b'4000\r\n' + b'g' * 0x4000 + b'\r\n',
                )
                await nursery.start(server.run)
                api = _create_api(_EndlessPeer(server), server.address)
                await call(api)
                await server.wait_closed()
                # What the sockets hold comes on top of what is read.
                self.assertLess(
                    server.sent_bytes, server.request_count * 8 * 1024 * 1024
                )
                self.assertGreater(server.request_count, 0)
                nursery.cancel_scope.cancel()


def _create_api(directory, own_address, scheduler=None):
    return _peers_api.create_peers_api(
        view=None,
        document_follower=None,
        upstreams_follower=None,
        directory=directory,
        scheduler=scheduler,
        ledger=None,
        origins=None,
        key_proofs=None,
        own_address=own_address,
        seeds=[],
    )


class PeersApiTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            scheduler = jobs.create_item_scheduler(
                fake_table.FakeTable(),
                'm',
                list,
                lambda: jobs.PeerItems(set(), {}),
            )
            api = _create_api(
                None, transport.Address('127.0.0.1', 1), scheduler
            )
            await check(api, scheduler)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_received_output_is_logged_with_what_became_of_it(self):
        cases = [
            # Own events, whether the item is held here, outcome.
            (None, False, 'stored'),
            (1, False, 'stored'),
            (1, True, 'kept_for_running_item'),
            (2, False, 'shorter_than_own'),
            (3, True, 'shorter_than_own'),
        ]
        for own, is_held, expected in cases:

            async def check(
                api, scheduler, own=own, is_held=is_held, expected=expected
            ):
                if own is not None:
                    scheduler.get_progress('t').events = ['x'] * own
                if is_held:
                    scheduler.held_tags.add('t')
                exchange = _Exchange(
                    orjson.dumps(
                        {
                            'tag': 't',
                            'events': ['a', 'b'],
                            'last_event_id': 1,
                            'complete': True,
                        }
                    )
                )
                with self.assertLogs(_LOGGER_NAME) as logs:
                    await api.handle(exchange)
                (line,) = logs.records
                self.assertEqual(200, exchange.status)
                self.assertEqual('item_output_received', line.message)
                self.assertEqual(expected, line.outcome)
                self.assertEqual(
                    ('t', 2, 1, True, own or 0, '127.0.0.9'),
                    (
                        line.tag,
                        line.events,
                        line.last_event_id,
                        line.complete,
                        line.own_events,
                        line.peer_host,
                    ),
                )

            self._run(check)

    def test_output_of_an_unknown_version_is_dropped(self):
        cases = [
            # Fields beside the output, events that are kept.
            ({'complete': False}, 0),
            ({'complete': True}, 2),
            (
                {
                    'complete': False,
                    'service': 's',
                    'software_version': 'v1',
                },
                2,
            ),
        ]
        for fields, kept in cases:

            async def check(api, scheduler, fields=fields, kept=kept):
                body = {'tag': 't', 'events': ['a', 'b'], 'last_event_id': 2}
                await api.handle(_Exchange(orjson.dumps({**body, **fields})))
                progress = scheduler.get_progress('t')
                self.assertEqual(kept, len(progress.events), fields)
                version = fields.get('software_version', '')
                self.assertEqual(version, progress.software_version)

            self._run(check)

    def test_incomplete_output_is_not_handed_to_an_earlier_release(self):
        calls = []

        async def call(address, request, silence_timeout_ms=0):
            calls.append(orjson.loads(request.body))
            return b''

        for is_older, is_complete, expected in (
            (True, False, False),
            (True, True, True),
            (False, False, True),
        ):

            async def check(
                api,
                scheduler,
                is_older=is_older,
                is_complete=is_complete,
                expected=expected,
            ):
                peer = types.SimpleNamespace(
                    address='127.0.0.9', is_older_release=lambda: is_older
                )
                api = _Api(peer, call)
                progress = jobs.ItemProgress()
                progress.events = ['a']
                progress.is_complete = is_complete
                progress.service = 's'
                progress.software_version = 'v1'
                self.assertEqual(
                    expected, await api.hand_over('t', progress, 'p')
                )

            self._run(check)
        self.assertEqual(2, len(calls))
        self.assertEqual(
            {('s', 'v1')},
            {(body['service'], body['software_version']) for body in calls},
        )


class _Api(_peers_api.PeersApi):
    """Calls one peer by a function of the test."""

    __slots__ = ('_call_peer',)

    def __init__(self, peer, call_peer):
        super().__init__(
            view=None,
            document_follower=None,
            upstreams_follower=None,
            directory=types.SimpleNamespace(peers={'p': peer}),
            scheduler=None,
            ledger=None,
            origins=None,
            key_proofs=None,
            own_address=transport.Address('127.0.0.1', 1),
            seeds=[],
        )
        self._call_peer = call_peer

    async def _call(self, address, request, silence_timeout_ms=0):
        return await self._call_peer(address, request)
