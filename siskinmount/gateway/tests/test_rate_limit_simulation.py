"""Tests that members together keep to the rates that upstreams accept."""

import testtools
import trio

from siskinmount.gateway.tests import rate_limit_simulation

#: The users' platform holds members to a limit from here on.
_STABLE_S = 3.0
#: Share of a limit that is to be used while callers ask for more.
_MIN_USE = 0.85
_ALL_S = float('inf')


class RateLimitSimulationTest(testtools.TestCase):

    def _check_bound(self, simulation, per_s, since_s, until_s=_ALL_S):
        for upstream in simulation.upstreams.values():
            self.assertLessEqual(
                upstream.count_in_busiest_window(since_s, until_s),
                rate_limit_simulation.count_allowed(per_s),
                (upstream.upstream_id, per_s, since_s),
            )

    def _check_use(self, simulation, per_s, since_s, until_s):
        sent = sum(
            upstream.count_between(since_s, until_s)
            for upstream in simulation.upstreams.values()
        )
        accepted = per_s * (until_s - since_s) * len(simulation.upstreams)
        # At the end of the time each upstream may have a token left.
        left = len(simulation.upstreams)
        self.assertGreaterEqual(
            sent + left, _MIN_USE * accepted, (per_s, since_s)
        )

    def test_limits_are_kept_and_used(self):
        cases = [
            # Limit, calls a second in all, members that run items.
            (2.5, 46, 0),
            (2.5, 46, 8),
            (2.5, 9, 8),
            (0.3, 20, 0),
            (0.3, 20, 8),
            (12, 90, 0),
        ]
        for seed, (per_s, calls_per_s, hungry_members) in enumerate(cases):

            async def play(simulation, per_s=per_s):
                simulation.name_limit(per_s)
                await trio.sleep(30)

            simulation = rate_limit_simulation.Simulation(
                seed, hungry_members=hungry_members
            )
            simulation.run(calls_per_s, play)
            self._check_bound(simulation, per_s, _STABLE_S)
            # A limit below one a second has a debt to pay at first.
            self._check_use(simulation, per_s, 10, 30)

    def test_limits_are_kept_and_used_by_many_members(self):
        cases = [
            # Limit, calls a second, members that run items, seconds.
            (2.5, 120, 0, 14),
            (0.5, 60, 0, 24),
            (2.5, 12, 88, 12),
        ]
        for seed, case in enumerate(cases):
            per_s, calls_per_s, hungry_members, seconds = case

            async def play(simulation, per_s=per_s, seconds=seconds):
                simulation.name_limit(per_s)
                await trio.sleep(seconds)

            simulation = rate_limit_simulation.Simulation(
                seed,
                member_count=88,
                upstream_count=3,
                interval_s=0.05,
                delay_s=0.125,
                hungry_members=hungry_members,
            )
            simulation.run(calls_per_s, play)
            self._check_bound(simulation, per_s, _STABLE_S)
            self._check_use(simulation, per_s, 8, seconds)

    def test_limits_that_fall_rise_and_end(self):
        async def play(simulation):
            await trio.sleep(2)
            simulation.name_limit(4)
            await trio.sleep(10)
            simulation.name_limit(1)
            await trio.sleep(12)
            simulation.name_limit(6)
            await trio.sleep(10)
            simulation.name_limit(None)
            await trio.sleep(4)

        simulation = rate_limit_simulation.Simulation(1)
        simulation.run(40, play)
        self._check_bound(simulation, 4, 5, 12)
        self._check_bound(simulation, 1, 15, 24)
        self._check_bound(simulation, 6, 25, 34)
        self._check_use(simulation, 4, 6, 12)
        self._check_use(simulation, 1, 18, 24)
        self._check_use(simulation, 6, 26, 34)
        after = sum(
            upstream.count_between(36, 38)
            for upstream in simulation.upstreams.values()
        )
        self.assertGreater(after, 0.85 * 2 * 40)

    def test_urgent_work_goes_first(self):
        async def play(simulation):
            simulation.name_limit(3)
            await trio.sleep(20)

        simulation = rate_limit_simulation.Simulation(2, hungry_members=8)
        simulation.run(30, play)
        for upstream in simulation.upstreams.values():
            self.assertGreater(
                upstream.count_between(5, 20, True),
                4 * upstream.count_between(5, 20, False),
            )

    def test_limits_hold_while_members_change(self):
        async def join(simulation):
            for number in range(4):
                simulation.add_member(f'new{number}')
                await trio.sleep(1)

        async def leave(simulation):
            for name in ('m0', 'm1', 'm2'):
                simulation.members[name].is_leaving = True
                await trio.sleep(1)
                del simulation.members[name]

        async def vanish(simulation):
            for name in ('m0', 'm1', 'm2'):
                del simulation.members[name]
            await trio.sleep(1)

        async def freeze(simulation):
            for name in ('m0', 'm1', 'm2'):
                simulation.members[name].is_frozen = True
            await trio.sleep(5)
            for name in ('m0', 'm1', 'm2'):
                simulation.members[name].is_frozen = False

        async def lose_peers(simulation):
            simulation.set_groups(2)
            await trio.sleep(8)
            simulation.set_groups(1)

        async def lose_messages(simulation):
            simulation.lost_messages = 0.3
            await trio.sleep(5)

        async def restart_upstream(simulation):
            simulation.restart('u0')
            await trio.sleep(1)

        changes = [
            join,
            leave,
            vanish,
            freeze,
            lose_peers,
            lose_messages,
            restart_upstream,
        ]
        for seed, change in enumerate(changes):

            async def play(simulation, change=change):
                simulation.name_limit(2.5)
                await trio.sleep(8)
                await change(simulation)
                simulation.changed_at_s = trio.current_time()
                await trio.sleep(22)

            simulation = rate_limit_simulation.Simulation(seed)
            simulation.run(40, play)
            self._check_bound(simulation, 2.5, _STABLE_S)
            since_s = simulation.changed_at_s + 12
            self._check_use(simulation, 2.5, since_s, since_s + 10)
