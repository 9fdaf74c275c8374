"""Tests of limits per caller and of load shedding."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import admission
from siskinmount import configuration
from siskinmount import results
from siskinmount.admission import _token_bucket

ONLINE = configuration.RequestClass.ONLINE
BATCH = configuration.RequestClass.BATCH
OVER_LIMIT = results.ResultCode.CALLER_OVER_LIMIT
OVERLOADED = results.ResultCode.OVERLOADED


class _Clock:

    def __init__(self):
        self.now_s = 50.0

    def __call__(self):
        return self.now_s


class _Capacity:

    def __init__(self):
        self.in_flight = 0
        self.slots = 100

    def count_in_flight(self, service):
        return self.in_flight

    def count_slots(self, service):
        return self.slots


def _create_policy(name, **overrides):
    return configuration.CallerPolicy(name=name, key_sha256='', **overrides)


class AdmissionTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.clock = _Clock()
        self.capacity = _Capacity()
        self.admission = admission.create_admission(self.capacity, self.clock)

        self.policies = {}

    def configure(self, *policies):
        self.policies = {policy.name: policy for policy in policies}

    def admit(self, caller, request_class=ONLINE, service='wordsmith'):
        return self.admission.admit(
            self.policies[caller], service, request_class
        )

    def test_rate_refusal_says_when_to_retry(self):
        self.configure(
            _create_policy('a', requests_per_s=2.0, burst_requests=3)
        )
        for _ in range(3):
            self.assertIsInstance(self.admit('a'), admission.Ticket)
        refusal = self.admit('a')
        self.assertEqual(
            (OVER_LIMIT, results.RunState.NOT_RUN, 500),
            (refusal.code, refusal.run_state, refusal.retry_after_ms),
        )
        self.clock.now_s += 0.499
        self.assertIsInstance(self.admit('a'), results.Failure)
        self.clock.now_s += 0.002
        self.assertIsInstance(self.admit('a'), admission.Ticket)

    def test_in_flight_limit_follows_releases(self):
        self.configure(_create_policy('a', max_in_flight=2))
        first = self.admit('a')
        self.admit('a')
        self.assertEqual(OVER_LIMIT, self.admit('a').code)
        first.release()
        first.release()
        self.assertEqual(1, self.admission.in_flight('a'))
        self.assertIsInstance(self.admit('a'), admission.Ticket)

    def test_entries_share_the_limits(self):
        policy = _create_policy('a', max_in_flight=5, burst_requests=4)
        for entry_count, expected in ((1, 4), (2, 2), (9, 1)):
            self.admission = admission.create_admission(
                self.capacity, self.clock
            )
            self.configure(policy)
            self.admission.set_entry_count(entry_count)
            admitted = 0
            while isinstance(self.admit('a'), admission.Ticket):
                admitted += 1
            self.assertEqual(expected, admitted)

    def test_new_limits_keep_the_requests_in_progress(self):
        self.configure(_create_policy('a'))
        ticket = self.admit('a')
        self.configure(_create_policy('a', max_in_flight=1))
        self.assertEqual(OVER_LIMIT, self.admit('a').code)
        ticket.release()
        self.assertIsInstance(self.admit('a'), admission.Ticket)

    def test_idle_callers_are_evicted(self):
        self.configure(_create_policy('a'), _create_policy('b'))
        ticket = self.admit('a')
        self.clock.now_s += 100
        self.admit('b')
        self.assertEqual(1, self.admission.in_flight('a'))
        ticket.release()
        self.assertEqual(0, self.admission.in_flight('a'))

    def test_batch_is_shed_first_and_then_the_caller_over_its_share(self):
        rows = [
            (84, {}),
            (85, {('small', BATCH), ('big', BATCH)}),
            (99, {('small', BATCH), ('big', BATCH)}),
            (100, {('small', BATCH), ('big', BATCH), ('big', ONLINE)}),
            (
                125,
                {
                    ('small', BATCH),
                    ('big', BATCH),
                    ('big', ONLINE),
                    ('small', ONLINE),
                },
            ),
        ]
        self.configure(_create_policy('small'), _create_policy('big'))
        for _ in range(6):
            self.admit('big')
        self.admit('small')
        for in_flight, expected in rows:
            self.capacity.in_flight = in_flight
            refused = set()
            for caller in ('small', 'big'):
                for request_class in (BATCH, ONLINE):
                    outcome = self.admit(caller, request_class)
                    if isinstance(outcome, results.Failure):
                        self.assertEqual(OVERLOADED, outcome.code)
                        refused.add((caller, request_class))
                        continue
                    outcome.release()
            self.assertEqual(set(expected), refused, in_flight)

    def test_weight_increases_the_fair_share(self):
        self.configure(_create_policy('small'), _create_policy('big', weight=9))
        for _ in range(6):
            self.admit('big')
        self.admit('small')
        self.capacity.in_flight = 100
        self.assertIsInstance(self.admit('big'), admission.Ticket)

    def test_refused_request_does_not_use_the_rate(self):
        self.configure(
            _create_policy('a', requests_per_s=0.001, burst_requests=1)
        )
        self.capacity.in_flight = 200
        self.assertEqual(OVERLOADED, self.admit('a').code)
        self.capacity.in_flight = 0
        self.assertIsInstance(self.admit('a'), admission.Ticket)

    def test_overload_wait_follows_durations(self):
        self.configure(_create_policy('a'))
        for _ in range(100):
            ticket = self.admit('a')
            self.clock.now_s += 0.2
            ticket.release()
        self.capacity.in_flight = 170
        refusal = self.admit('a')
        # Half of the requests must end, which takes half of 200 ms.
        self.assertTrue(98 <= refusal.retry_after_ms <= 102, refusal)

    def test_standing_delay_sheds_load_and_a_burst_does_not(self):
        self.configure(_create_policy('a'))
        for delays_ms, is_refused in (
            ([900.0, 5.0, 900.0], False),
            ([900.0, 60.0, 900.0], True),
        ):
            for delay_ms in delays_ms:
                self.admission.record_delay('wordsmith', delay_ms)
                self.clock.now_s += 0.1
            self.clock.now_s += 0.3
            outcome = self.admit('a', BATCH)
            self.assertEqual(is_refused, isinstance(outcome, results.Failure))
        self.clock.now_s += 5
        self.assertIsInstance(self.admit('a', BATCH), admission.Ticket)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.floats(0.1, 50),
        strategies.integers(1, 20),
        strategies.lists(strategies.floats(0, 3), max_size=60),
    )
    def test_bucket_never_exceeds_rate_and_burst(self, rate, burst, pauses_s):
        now_s = 0.0
        bucket = _token_bucket.TokenBucket(rate, burst, now_s)
        taken = 0
        for pause_s in pauses_s:
            now_s += pause_s
            wait_ms = bucket.wait_ms(now_s)
            if wait_ms:
                later_s = now_s + wait_ms / 1000 + 1e-6
                self.assertEqual(0.0, bucket.wait_ms(later_s))
                now_s = later_s
            bucket.take(now_s)
            taken += 1
            self.assertTrue(taken <= burst + rate * now_s + 1e-6)
