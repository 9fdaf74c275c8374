"""Tests of upstreams that accept a rate from all gateways together."""

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness

#: Calls per second of all callers.
_CALLS_PER_S = 60
_CALL_COUNT = 150
#: The rule of the users' platform: one and a half times what the limit allows
#: in a time, and so many more.
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
#: Time from which on a member that had a response with a limit is held to it.
_GRACE_S = 0.5


def _count_allowed(limit_per_s, seconds):
    return _EXCESS_FACTOR * limit_per_s * seconds + _EXCESS_REQUESTS


def _count_since(engine, since_s):
    return sum(run.began_at_s >= since_s for run in engine.runs)


class UpstreamRateLimitsTest(testtools.TestCase):

    def test_gateways_together_send_no_more_than_an_upstream_accepts(self):
        seen = {}

        async def check(fleet):
            engines = [fleet.engines['e1'], fleet.engines['e2']]
            for engine in engines:
                engine.limit_text = '3'
            answers = []

            async def call(number):
                answers.append(
                    await fleet.call(
                        number % 3,
                        'POST',
                        '/stream/x',
                        b'b%d' % number,
                        x_request_id=f'q{number}',
                    )
                )

            async with trio.open_nursery() as nursery:
                for number in range(_CALL_COUNT):
                    nursery.start_soon(call, number)
                    await trio.sleep(1 / _CALLS_PER_S)
                    if number == _CALLS_PER_S // 2:
                        seen['since_s'] = trio.current_time() + _GRACE_S
            seen['took_s'] = trio.current_time() - seen['since_s']
            seen['runs'] = [
                _count_since(engine, seen['since_s']) for engine in engines
            ]
            seen['answers'] = answers

        gateway_harness.run_fleet(check, 3, engines=('e1', 'e2'))
        for runs in seen['runs']:
            self.assertLessEqual(runs, _count_allowed(3, seen['took_s']))
        for answer in seen['answers']:
            if answer.status == 200:
                continue
            self.assertEqual(503, answer.status)
            self.assertIn(b'retry-after', answer.headers)
            self.assertEqual('not_run', answer.json()['error']['run_state'])
