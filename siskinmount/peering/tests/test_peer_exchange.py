"""Tests of the exchange of messages with peers."""

import testtools
import trio

from siskinmount import peering
from siskinmount import placement
from siskinmount.peering.tests import test_peer_directory

#: Ends a test whose exchange sends nothing.
_TIMEOUT_S = 20


class PeerExchangeTest(testtools.TestCase):

    def test_sequence_continues_after_a_restart_of_the_exchange(self):
        # Guards against peers that ignore all messages after the restart.
        sequences = []

        def create_message(sequence):
            sequences.append(sequence)
            self.sent.set()
            return test_peer_directory._make_message(sequence=sequence)

        async def main():
            crash_tracker = placement.create_crash_tracker()
            load = placement.create_load_table()
            directory = peering.create_peer_directory(
                'm',
                load,
                crash_tracker,
                placement.create_upstream_health(crash_tracker),
            )
            exchange = peering.create_peer_exchange(
                host='127.0.0.1',
                port=0,
                failure_domain='a',
                directory=directory,
                load=load,
                create_message=create_message,
            )
            for _ in range(2):
                self.sent = trio.Event()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(exchange.run)
                    with trio.fail_after(_TIMEOUT_S):
                        await self.sent.wait()
                    nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(sorted(set(sequences)), sequences)
