"""Tests that a sidecar keeps to the rate that its upstream accepts."""

import math

import testtools
import trio
import trio.testing

from siskinmount import configuration
from siskinmount import results
from siskinmount import sidecar
from siskinmount.sidecar import _upstream_rate_limit

_NAME = b'x-max-requests-per-s'


def _make_ticket(is_online):
    return sidecar.Ticket(
        online=is_online,
        solo=False,
        prompt_tokens=1,
        preemptible=not is_online,
        preempt=lambda: None,
    )


class UpstreamRateLimitTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            await trio.sleep(1)
            gate = sidecar.create_gate(
                configuration.GatePolicy.ONLINE_FIRST,
                sidecar.GateLoad(slots=50),
            )
            await check(gate)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _read(self, gate, *values):
        headers = [(b'x', b'1'), *((_NAME, value) for value in values)]
        gate.rate_limit.read_response(headers, trio.current_time())

    def test_requests_beyond_the_rate_are_refused_as_not_run(self):
        async def check(gate):
            self._read(gate, b'2')
            admitted = 0
            for _ in range(100):
                await trio.sleep(0.1)
                ticket = _make_ticket(True)
                refusal = await gate.admit(ticket)
                if refusal is None:
                    admitted += 1
                    gate.release(ticket)
                    continue
                self.assertIs(
                    results.ResultCode.UPSTREAM_RATE_LIMITED, refusal.code
                )
                self.assertIs(results.RunState.NOT_RUN, refusal.run_state)
                self.assertGreater(refusal.retry_after_ms, 0)
                self.assertLessEqual(refusal.retry_after_ms, 500)
            # Ten seconds, two a second.
            self.assertIn(admitted, (19, 20))

        self._run(check)

    def test_batch_leaves_tokens_to_online_requests(self):
        async def check(gate):
            self._read(gate, b'4')
            await trio.sleep(0.75)
            self.assertEqual(0, gate.count_idle_batch_slots())
            self.assertIsNotNone(await gate.admit(_make_ticket(False)))
            self.assertIsNone(await gate.admit(_make_ticket(True)))
            await trio.sleep(5)
            self.assertEqual(4, gate.count_idle_batch_slots())

        self._run(check)

    def test_limit_ends_with_a_response_and_with_the_process(self):
        async def check(gate):
            generation = [1]
            gate.rate_limit.watch_generation(lambda: generation[0])
            self._read(gate, b'2')
            self.assertIsNotNone(gate.rate_limit.find_refusal(True))
            await trio.sleep(0.1)
            self._read(gate)
            self.assertIsNone(gate.rate_limit.find_refusal(True))
            self._read(gate, b'2')
            self.assertIsNotNone(gate.rate_limit.find_refusal(True))
            generation[0] = 2
            self.assertIsNone(gate.rate_limit.find_refusal(True))

        self._run(check)

    def test_invalid_rates_limit_nothing(self):
        for values in ([b'nan'], [b'-1'], [b''], [b'1', b'2']):

            async def check(gate, values=values):
                self._read(gate, *values)
                self.assertEqual(math.inf, gate.rate_limit.count_tokens(True))

            self._run(check)

    def test_header_has_its_documented_name(self):
        self.assertEqual(_NAME, _upstream_rate_limit.RATE_HEADER)
