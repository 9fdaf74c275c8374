"""Output of items that this member receives from its peers."""

import orjson
import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount import transport
from siskinmount.gateway import _peers_api
from siskinmount.jobs.tests import fake_table

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


class PeersApiTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            scheduler = jobs.create_item_scheduler(
                fake_table.FakeTable(),
                'm',
                list,
                lambda: jobs.PeerItems(set(), {}),
            )
            api = _peers_api.create_peers_api(
                view=None,
                document_follower=None,
                upstreams_follower=None,
                directory=None,
                scheduler=scheduler,
                ledger=None,
                origins=None,
                own_address=transport.Address('127.0.0.1', 1),
                seeds=[],
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
