"""Tests of upstream selection."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import configuration
from siskinmount import membership
from siskinmount import results
from siskinmount import routing
from siskinmount.membership.tests import sample_members
from siskinmount.routing import _bounded_load

SERVICE = 'wordsmith'
FAILED = results.Failure(
    results.ResultCode.UPSTREAM_ERROR, 'broken', results.RunState.RAN
)


class RouterTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.clock = sample_members.FakeClock()
        self.table = membership.create_member_table(clock=self.clock)
        self.router = routing.create_router(
            self.table, 'd1', self.clock, random.Random(1)
        )

    def add(self, *vms, **overrides):
        for vm in vms:
            self.table.apply_heartbeat(
                sample_members.create_member(vm, **overrides)
            )

    def choose_vm(self, key=None, **arguments):
        choice = self.router.choose(SERVICE, key, **arguments)
        if isinstance(choice, results.Failure):
            return choice.code
        self.router.release(choice.member.vm)
        return choice.member.vm

    def test_one_key_stays_on_one_upstream(self):
        self.add('s1', 's2', 's3', 's4')
        first = self.choose_vm('session-7')
        for _ in range(20):
            self.assertEqual(first, self.choose_vm('session-7'))

    def test_loss_of_an_upstream_moves_only_its_keys(self):
        self.add('s1', 's2', 's3', 's4')
        keys = [f'key-{number}' for number in range(200)]
        before = {key: self.choose_vm(key) for key in keys}
        self.add('s3', state=membership.MemberState.LEAVING)
        for key in keys:
            after = self.choose_vm(key)
            self.assertNotEqual('s3', after)
            if before[key] != 's3':
                self.assertEqual(before[key], after)

    def test_key_overflows_when_its_upstream_is_loaded(self):
        self.add('s1', 's2', 's3')
        vms = []
        for _ in range(24):
            vms.append(self.router.choose(SERVICE, 'hot').member.vm)
        self.assertEqual([vms[0]] * 4, vms[:4])
        counts = sorted(vms.count(vm) for vm in ('s1', 's2', 's3'))
        self.assertTrue(counts[0] >= 1 and counts[-1] <= 11, counts)

    def test_leaving_upstreams_are_not_chosen(self):
        self.add('s1', 's2')
        self.add('s1', state=membership.MemberState.LEAVING)
        self.assertEqual({'s2'}, {self.choose_vm() for _ in range(9)})
        self.add('s2', state=membership.MemberState.LEAVING)
        self.assertEqual(results.ResultCode.NO_UPSTREAM, self.choose_vm())

    def test_suspect_upstream_is_a_fallback_for_online_only(self):
        self.add('s1')
        for _ in range(8):
            self.clock.now_s += 0.5
            self.table.refresh()
        self.assertEqual('s1', self.choose_vm())
        self.assertEqual(
            results.ResultCode.NO_UPSTREAM,
            self.choose_vm(request_class=configuration.RequestClass.BATCH),
        )
        self.add('s2')
        self.assertEqual({'s2'}, {self.choose_vm() for _ in range(9)})

    def test_excluded_is_never_chosen(self):
        self.add('s1', 's2')
        self.assertEqual('s2', self.choose_vm(excluded_vms={'s1'}))
        self.assertEqual(
            results.ResultCode.NO_UPSTREAM,
            self.choose_vm(excluded_vms={'s1', 's2'}),
        )

    def test_failure_penalises_an_upstream_for_a_doubling_time(self):
        self.add('s1', 's2')
        waits_s = [0.2, 0.4, 0.8]
        for wait_s in waits_s:
            self.router.record_failure('s1', FAILED)
            self.assertEqual({'s2'}, {self.choose_vm() for _ in range(9)})
            self.clock.now_s += wait_s + 0.01
            self.assertEqual(
                {'s1', 's2'}, {self.choose_vm() for _ in range(30)}
            )
        self.router.record_answer('s1', 0, 8)
        self.router.record_failure('s1', FAILED)
        self.clock.now_s += 0.21
        self.assertEqual({'s1', 's2'}, {self.choose_vm() for _ in range(30)})

    def test_upstream_at_its_rate_limit_is_avoided_until_a_token_is_due(self):
        self.add('s1', 's2')
        limited = results.Failure(
            results.ResultCode.UPSTREAM_RATE_LIMITED, '', retry_after_ms=400
        )
        self.router.record_failure('s1', limited)
        # An answer to an earlier request does not bring a token.
        self.router.record_answer('s1', 0, 8)
        self.assertEqual({'s2'}, {self.choose_vm() for _ in range(20)})
        self.clock.now_s += 0.5
        self.assertEqual({'s1', 's2'}, {self.choose_vm() for _ in range(20)})

    def test_unreachable_suspect_is_not_chosen(self):
        self.add('s1')
        for _ in range(11):
            self.clock.now_s += 0.5
            self.table.refresh()
        self.router.record_failure(
            's1',
            results.Failure(results.ResultCode.UPSTREAM_UNREACHABLE, 'refused'),
        )
        self.assertEqual(results.ResultCode.NO_UPSTREAM, self.choose_vm())

    def test_less_loaded_of_two(self):
        self.add('s1', 's2')
        self.choose_vm()
        self.router.record_answer('s1', 5, 8)
        self.router.record_answer('s2', 1, 8)
        self.assertEqual({'s2'}, {self.choose_vm() for _ in range(9)})
        for _ in range(3):
            self.router.choose(SERVICE, None)
        self.assertEqual(3, self.router.outstanding('s2'))

    def test_load_is_relative_to_slots(self):
        self.add('s1', 's2')
        self.choose_vm()
        self.router.record_answer('s1', 4, 16)
        self.router.record_answer('s2', 3, 4)
        self.assertEqual({'s1'}, {self.choose_vm() for _ in range(9)})

    def test_equal_load_prefers_own_failure_domain(self):
        self.add('s1')
        self.add('s2', failure_domain='d2')
        self.assertEqual({'s1'}, {self.choose_vm() for _ in range(9)})

    def test_leaving_upstream_is_not_chosen_after_its_first_refusal(self):
        self.add('s1', 's2')
        self.router.record_failure(
            's1', results.Failure(results.ResultCode.LEAVING, 'stopping')
        )
        self.clock.now_s += 1
        self.assertEqual({'s2'}, {self.choose_vm() for _ in range(9)})

    def test_failures_of_a_request_do_not_penalise_the_upstream(self):
        self.add('s1', 's2')
        for code in (
            results.ResultCode.REQUEST_CONVICTED,
            results.ResultCode.DEADLINE_EXCEEDED,
        ):
            self.router.record_failure('s1', results.Failure(code, ''))
        self.assertEqual({'s1', 's2'}, {self.choose_vm() for _ in range(30)})

    def test_release_without_attempt_raises(self):
        self.add('s1')
        self.choose_vm()
        self.assertRaises(AssertionError, self.router.release, 's1')

    def test_capacity_counts_live_upstreams_only(self):
        """Requests at a leaving upstream do not count as load of the others."""
        self.add('s1', 's2', slots=4)
        leaving = membership.MemberState.LEAVING
        self.add('s3', slots=4, in_flight=4, state=leaving)
        self.assertEqual(8, self.router.count_slots(SERVICE))
        self.router.choose(SERVICE, None)
        self.assertEqual(1, self.router.count_in_flight(SERVICE))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.text(max_size=6),
        strategies.dictionaries(
            strategies.sampled_from([f's{number}' for number in range(9)]),
            strategies.tuples(
                strategies.integers(0, 40), strategies.integers(1, 32)
            ),
            min_size=1,
        ),
    )
    def test_chosen_load_is_below_its_bound(self, key, loads):
        capacities = {}
        for vm, (load, slots) in loads.items():
            capacities[vm] = _bounded_load.UpstreamCapacity(load, slots)
        total_load = sum(capacity.load for capacity in capacities.values())
        total_slots = sum(capacity.slots for capacity in capacities.values())
        vm, _ = _bounded_load.choose_bounded(key, capacities)
        chosen = capacities[vm]
        even = (total_load + 1) * chosen.slots / total_slots
        self.assertTrue(
            chosen.load < max(chosen.slots / 2 + 1, 1.25 * even + 1)
        )


class AffinityKeyTest(testtools.TestCase):

    def test_keys(self):
        long_prompt = 'x' * 1024
        rows = [
            (('a', 's', 'p'), ('a', 's', 'q'), True),
            (('a', 's', 'p'), ('b', 's', 'p'), False),
            (('a', None, 'p'), ('a', None, 'p'), True),
            (('a', None, 'p'), ('a', None, 'q'), False),
            (('a', '', long_prompt + 'p'), ('a', None, long_prompt), True),
        ]
        for first, second, equal in rows:
            same = routing.create_affinity_key(
                *first
            ) == routing.create_affinity_key(*second)
            self.assertEqual(equal, same, (first, second))
        self.assertIsNone(routing.create_affinity_key('a', None, None))
