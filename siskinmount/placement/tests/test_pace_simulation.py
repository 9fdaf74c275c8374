"""Tests of what callers get while upstreams start, crash and recover."""

import testtools
import trio

from siskinmount.placement.tests import pace_simulation

#: Time after the start that is looked at; later requests may not have ended.
_LOOKED_AT_S = 9.0
_COLD_S = 5.0
#: Requests a second that an upstream of speed 1 can end.
_CAPACITY_PER_S = 8 / 0.6


async def _begin_new(simulation, count, cold_s, crashes_above=None):
    """Starts new upstreams, which start again 2 s after each crash."""
    await trio.sleep(2)
    simulation.looked_from_s = trio.current_time()
    simulation.crash_count = 0
    simulation.new_ids = []
    for number in range(count):
        upstream = pace_simulation.Upstream(f'new{number}')
        upstream.cold_until_s = trio.current_time() + cold_s
        upstream.crashes_above = crashes_above
        simulation.new_ids.append(upstream.upstream_id)
        simulation.list_upstream(upstream)
        simulation._nursery.start_soon(
            _restart_crashed, simulation, upstream, cold_s
        )
    await trio.sleep(_LOOKED_AT_S + 1)


async def _restart_crashed(simulation, upstream, cold_s):
    while True:
        await upstream.crashed.wait()
        simulation.crash_count += 1
        await trio.sleep(0.5)
        simulation.unlist(upstream.upstream_id)
        await trio.sleep(1.5)
        upstream.restart(cold_s)
        simulation.list_upstream(upstream)


class PaceSimulationTest(testtools.TestCase):

    def _play(
        self,
        size,
        is_paced,
        play,
        load,
        seed=1,
        speeds=(1.0,),
        may_spread=False,
    ):
        """Plays a run at a load of the old upstreams; returns it."""
        member_count, upstream_count, _ = size
        simulation = pace_simulation.Simulation(
            seed, member_count, upstream_count, is_paced, speeds
        )
        per_s = sum(
            _CAPACITY_PER_S / speeds[number % len(speeds)]
            for number in range(upstream_count)
        )
        simulation.run(load * per_s, play)
        if not may_spread:
            # No request goes to a window that its sender could know to be
            # full, unless half of the windows are full.
            self.assertEqual([], simulation.floods)
        return simulation

    def _get_shares(self, simulation, ids):
        """Returns shares answered in time, of all callers and at upstreams."""
        since_s = simulation.looked_from_s
        until_s = since_s + _LOOKED_AT_S
        at_ids = [
            is_in_time
            for at_s, upstream_id, is_in_time in simulation.requests
            if upstream_id in ids and since_s <= at_s < until_s
        ]
        return (
            simulation.count_in_time(since_s, until_s),
            sum(at_ids) / len(at_ids),
            sum(at_ids),
        )

    def _compare_cold(self, size, load):
        async def play(simulation):
            await _begin_new(simulation, size[2], _COLD_S)

        shares = []
        for is_paced in (False, True):
            simulation = self._play(size, is_paced, play, load)
            shares.append(self._get_shares(simulation, simulation.new_ids))
        return shares

    def test_cold_upstream_is_not_flooded_at_8_members(self):
        # Guards against callers that a cold upstream answers late.
        plain, paced = self._compare_cold((8, 6, 1), 0.85)
        self.assertGreater(paced[0], plain[0] + 0.01)
        self.assertGreater(paced[1], plain[1] + 0.1)

    def test_cold_upstream_is_not_flooded_at_32_members(self):
        plain, paced = self._compare_cold((32, 12, 2), 0.85)
        self.assertGreater(paced[0], plain[0] + 0.01)
        self.assertGreater(paced[1], plain[1] + 0.1)

    def test_cold_upstream_is_not_flooded_at_330_members(self):
        # Messages take so long that much of what they explain is unseen.
        plain, paced = self._compare_cold((330, 8, 2), 0.85)
        self.assertGreaterEqual(paced[0], plain[0] - 0.005)
        self.assertGreater(paced[1], plain[1] + 0.02)

    def test_warm_upstream_is_not_left_idle(self):
        # Guards against a window that grows too slowly while others are full.
        for size in ((8, 6, 1), (32, 12, 2)):

            async def play(simulation, size=size):
                await _begin_new(simulation, size[2], 0)

            answered = []
            for is_paced in (False, True):
                simulation = self._play(size, is_paced, play, 1.05)
                answered.append(
                    self._get_shares(simulation, simulation.new_ids)[2]
                )
            self.assertGreaterEqual(answered[1], 0.85 * answered[0], size)

    def test_upstream_that_too_many_requests_crash_gets_through_its_start(self):
        async def play(simulation):
            await _begin_new(simulation, 1, _COLD_S, crashes_above=7)

        crashes = []
        for is_paced in (False, True):
            simulation = self._play((8, 6, 1), is_paced, play, 0.85)
            crashes.append(simulation.crash_count)
        self.assertGreater(crashes[0], crashes[1])

    def test_recovered_upstream_is_neither_flooded_nor_left_idle(self):
        async def play(simulation):
            await trio.sleep(2)
            upstream = simulation.upstreams['u0']
            upstream.crash()
            await trio.sleep(2)
            upstream.recover(4.0)
            simulation.looked_from_s = trio.current_time()
            await trio.sleep(_LOOKED_AT_S + 1)

        shares = []
        for is_paced in (False, True):
            simulation = self._play((8, 6, 0), is_paced, play, 0.75)
            shares.append(self._get_shares(simulation, ['u0']))
        self.assertGreater(shares[1][0], shares[0][0])
        self.assertGreaterEqual(shares[1][2], 0.85 * shares[0][2])

    def test_restart_of_all_upstreams_leaves_the_service_available(self):
        async def play(simulation):
            await trio.sleep(2)
            for upstream in simulation.upstreams.values():
                upstream.crash()
            await trio.sleep(1)
            simulation.looked_from_s = trio.current_time()
            for upstream in simulation.upstreams.values():
                upstream.restart()
                simulation.list_upstream(upstream)
            await trio.sleep(_LOOKED_AT_S + 1)

        shares = []
        for is_paced in (False, True):
            simulation = self._play(
                (8, 6, 0), is_paced, play, 0.85, may_spread=True
            )
            shares.append(self._get_shares(simulation, simulation.upstreams)[2])
        self.assertGreaterEqual(shares[1], 0.95 * shares[0])

    def test_slow_upstreams_get_what_they_can_finish_in_time(self):
        async def play(simulation):
            await trio.sleep(10)
            simulation.looked_from_s = trio.current_time()
            await trio.sleep(_LOOKED_AT_S + 4)

        shares = []
        for is_paced in (False, True):
            simulation = self._play(
                (8, 6, 0), is_paced, play, 0.85, speeds=(1.0, 2.0, 3.0)
            )
            shares.append(self._get_shares(simulation, simulation.upstreams))
        self.assertGreater(shares[1][0], shares[0][0])
        since_s = simulation.looked_from_s
        fast = simulation.count_at('u0', since_s, since_s + _LOOKED_AT_S)
        slow = simulation.count_at('u2', since_s, since_s + _LOOKED_AT_S)
        self.assertGreater(slow, fast / 10)
        self.assertGreater(fast, 2 * slow)
