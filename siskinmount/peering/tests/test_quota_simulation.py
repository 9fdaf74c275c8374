"""Tests that members together keep the quotas of customers, and use them."""

import testtools

from siskinmount.peering.tests import quota_simulation

#: Rate, burst, and how many times the rate callers ask for.
_CUSTOMERS = {
    'large': (100, 100, 2),
    'flood': (10, 10, 15),
    'small': (1, 1, 5),
}
_MIN_USE = 0.95


class QuotaSimulationTest(testtools.TestCase):

    def _start(self, seed, member_count=8, demand=1.0):
        simulation = quota_simulation.Simulation(seed, member_count)
        for name, (rate_per_s, burst, factor) in _CUSTOMERS.items():
            simulation.add_customer(
                name, rate_per_s, burst, rate_per_s * factor * demand
            )
        return simulation

    def _check_rule(self, simulation, since_s=0.0):
        for name in _CUSTOMERS:
            self.assertLessEqual(
                simulation.count_worst_excess(name, since_s), 0, name
            )

    def _check_use(self, simulation, seconds, min_use=_MIN_USE):
        since_s = simulation.now_s
        simulation.run(seconds)
        for name, (rate_per_s, _, _) in _CUSTOMERS.items():
            use = simulation.get_use(name, since_s, simulation.now_s)
            # At the end a token may be left.
            left = 2 / (rate_per_s * seconds)
            self.assertGreaterEqual(use + left, min_use, name)

    def test_quotas_are_kept_and_used(self):
        # Guards against each member admitting by its own count.
        for member_count in (8, 32):
            simulation = self._start(1, member_count)
            simulation.run(8)
            self._check_use(simulation, 12)
            self._check_rule(simulation)

    def test_load_at_one_member_and_load_that_moves(self):
        # Guards against fixed shares of a quota, which lose what comes
        # elsewhere.
        for hold_s in (1000, 2):
            simulation = self._start(2)

            def choose(name, simulation=simulation, hold_s=hold_s):
                del name
                number = int(simulation.now_s / hold_s) % 8
                return simulation.members[f'm{number}']

            simulation.choose = choose
            simulation.run(8)
            self._check_use(simulation, 20)
            self._check_rule(simulation)

    def test_halves_that_do_not_hear_each_other(self):
        # Guards against members that count as gone after some time, so that
        # each half uses the whole quota.
        simulation = self._start(3)
        simulation.run(8)
        simulation.set_groups(2)
        simulation.run(2)
        self._check_use(simulation, 125)
        simulation.set_groups(1)
        simulation.run(10)
        self._check_rule(simulation)

    def test_full_buckets_when_the_fleet_is_divided(self):
        # Guards against the burst being used in each half.
        simulation = self._start(4, demand=0.0)
        simulation.run(30)
        simulation.set_groups(2)
        simulation.run(1.5)
        for name, (rate_per_s, _, factor) in _CUSTOMERS.items():
            simulation.demand[name] = rate_per_s * factor
        simulation.run(10)
        self._check_rule(simulation)

    def test_members_that_hear_nobody(self):
        # Guards against a cut in one direction.
        simulation = self._start(5)
        simulation.run(8)
        for member in simulation.list_members()[::2]:
            member.is_deaf = True
        simulation.run(2)
        self._check_use(simulation, 25)
        for member in simulation.list_members():
            member.is_deaf = False
        simulation.run(8)
        self._check_rule(simulation)

    def test_members_without_the_store(self):
        # Guards against members counted as gone by a log that was not read.
        simulation = self._start(6)
        simulation.run(8)
        for member in simulation.list_members():
            member.has_store = False
        simulation.set_groups(2)
        simulation.run(30)
        for member in simulation.list_members():
            member.has_store = True
        simulation.run(20)
        self._check_rule(simulation)

    def test_restart_of_all_members_with_full_buckets(self):
        # Guards against a whole bucket for each start.
        simulation = self._start(7, demand=0.1)
        simulation.run(20)
        for name, (rate_per_s, _, factor) in _CUSTOMERS.items():
            simulation.demand[name] = rate_per_s * factor
        simulation.run(1)
        for _ in range(3):
            for member in simulation.list_members():
                simulation.start_member(member.name)
            simulation.run(2)
        self._check_use(simulation, 15)
        self._check_rule(simulation)

    def test_members_that_die_and_join(self):
        # Guards against shares that are lost with members for good.
        simulation = self._start(8)
        simulation.run(8)
        for member in simulation.list_members()[4:]:
            simulation.kill(member.name)
        simulation.run(20)
        self._check_use(simulation, 10)
        for number in range(4):
            simulation.start_member(f'x{number}')
        simulation.run(20)
        self._check_use(simulation, 10)
        self._check_rule(simulation)

    def test_members_that_freeze(self):
        # Guards against tokens that others have used meanwhile.
        simulation = self._start(9)
        simulation.run(8)
        for seconds in (0.8, 2, 6):
            frozen = simulation.list_members()[:3]
            for member in frozen:
                member.is_frozen = True
            simulation.run(seconds)
            for member in frozen:
                member.is_frozen = False
            simulation.run(8)
        self._check_rule(simulation)

    def test_lowered_quota(self):
        # Guards against a burst of the earlier quota, one window after.
        simulation = self._start(10)
        simulation.run(8)
        for name, (rate_per_s, burst, _) in _CUSTOMERS.items():
            simulation.set_quota(name, rate_per_s / 4, burst / 4)
        since_s = simulation.now_s + quota_simulation.WINDOW_S
        simulation.run(15)
        self._check_rule(simulation, since_s)
