"""Tests of requests that crash the upstreams that run them."""

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness

#: Crashes after which a request counts as one that crashes upstreams.
_CRASHES = 3
#: From then on, copies are counted after this time.
_STABLE_WINDOW_S = 3.0
#: Copies that may still reach upstreams.
_MAX_LATE_COPIES = 3
#: The platform drops the entry of a crashed upstream after three heartbeats.
_ENTRY_LIFETIME_S = 3.25
_BODY = b'crashes what runs it'


class CrashingRequestsTest(testtools.TestCase):

    def _count_late_copies(self, entry_lifetime_s):
        """Returns the upstreams that crash after the stable window.

        Args:
            entry_lifetime_s: When the entry of a crashed upstream is dropped.
        """
        counts = []

        async def expire_entry(fleet, engine_id):
            await trio.sleep(entry_lifetime_s)
            fleet.store.put('keyed.servers', engine_id, b'')

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.crashing_body = _BODY
            async with trio.open_nursery() as nursery:

                async def send(number):
                    known = len(fleet.crashed)
                    await fleet.call(
                        number % 2,
                        'POST',
                        '/once/x',
                        _BODY,
                        x_request_id=f'q{number}',
                    )
                    for engine_id in fleet.crashed[known:]:
                        nursery.start_soon(expire_entry, fleet, engine_id)

                for number in range(_CRASHES):
                    await send(number)
                    await trio.sleep(0.3)
                self.assertEqual(_CRASHES, len(fleet.crashed))
                await trio.sleep(_STABLE_WINDOW_S)
                for number in range(5):
                    await send(number)
                    await trio.sleep(0.1)
                counts.append(len(fleet.crashed) - _CRASHES)
                nursery.cancel_scope.cancel()

        gateway_harness.run_fleet(
            check,
            gateway_count=2,
            engines=tuple(f'e{number}' for number in range(10)),
        )
        return counts[0]

    def test_copies_are_refused_before_entries_of_crashed_upstreams_go(self):
        self.assertLessEqual(
            self._count_late_copies(_ENTRY_LIFETIME_S), _MAX_LATE_COPIES
        )

    def test_copies_are_refused_while_entries_of_crashed_upstreams_stay(self):
        # As in an outage of the store.
        self.assertLessEqual(
            self._count_late_copies(float('inf')), _MAX_LATE_COPIES
        )

    def test_stream_with_output_is_served_after_four_upstreams_crashed(self):
        # Guards against refusing a bystander of crashes in quick succession.
        async def check(fleet):
            for engine in fleet.engines.values():
                engine.crashing_body = _BODY
                engine.events_before_crash = 5
            for number in range(4):
                answer = await fleet.call(
                    0, 'POST', '/once/x', _BODY, x_request_id=f'q{number}'
                )
                self.assertFalse(answer.is_whole)
                await trio.sleep(0.2)
            self.assertEqual(4, len(fleet.crashed))
            for engine in fleet.engines.values():
                engine.crashing_body = None
            answer = await fleet.call(
                0, 'POST', '/once/x', _BODY, x_request_id='q'
            )
            self.assertEqual((200, True), (answer.status, answer.is_whole))

        gateway_harness.run_fleet(
            check, engines=tuple(f'e{number}' for number in range(6))
        )
