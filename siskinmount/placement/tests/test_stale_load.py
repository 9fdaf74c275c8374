"""Placement where the counts of peers are old, and sums over many peers."""

import random

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import placement
from siskinmount.placement import _fill_level
from siskinmount.placement.tests import test_placer

_SLOTS = 4
_UPSTREAMS = 30
_MEMBERS = 60
_DELAY_S = 0.1
_RUN_S = 0.7


class FillLevelTest(testtools.TestCase):

    def test_least_loaded_are_filled_first(self):
        cases = [
            # Loads, requests to be added, level.
            ([3], 2, 5),
            ([0, 0, 0], 3, 1),
            ([0, 2, 5], 1, 1),
            ([0, 2, 5], 2, 2),
            ([0, 2, 5], 4, 3),
            ([0, 2, 5], 8, 5),
            ([0, 2, 5], 11, 6),
            ([-4, -4, 0], 2, -3),
        ]
        for loads, amount, expected in cases:
            level = _fill_level.find_fill_level(loads, amount)
            self.assertAlmostEqual(expected, level, msg=str(loads))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(-9, 9), min_size=1, max_size=9),
        strategies.floats(0.5, 50),
    )
    def test_room_below_the_level_is_the_amount(self, loads, amount):
        level = _fill_level.find_fill_level(loads, amount)
        room = sum(max(0, level - load) for load in loads)
        self.assertAlmostEqual(amount, room, places=6)
        for index in _fill_level.draw_by_room(loads, level, 5):
            self.assertLess(loads[index], level)


class _Engine:
    """An upstream that runs requests in the order of their arrival."""

    def __init__(self):
        self.slots = trio.CapacityLimiter(_SLOTS)

    async def run(self, waits):
        began_at_s = trio.current_time()
        async with self.slots:
            waits.append(trio.current_time() - began_at_s)
            await trio.sleep(_RUN_S)


class StaleLoadTest(testtools.TestCase):

    def _play(self, message_delay_s, per_s, length_s=2.0):
        """Plays a burst at members that see each other's counts late.

        Returns:
            For how long each request waited for a slot.
        """
        waits = []

        async def main():
            random.seed(1)
            engines = [_Engine() for _ in range(_UPSTREAMS)]
            loads = []
            placers = []
            for _ in range(_MEMBERS):
                load = placement.create_load_table()
                health = placement.create_upstream_health(
                    placement.create_crash_tracker()
                )
                loads.append(load)
                placers.append(
                    placement.create_placer(
                        test_placer._make_view(_UPSTREAMS),
                        load,
                        health,
                        lambda: message_delay_s,
                    )
                )

            async def call(number):
                placed = placers[number].place_online(
                    's', '', set(), float('inf')
                )
                upstream_id = placed.upstream.upstream_id
                loads[number].add_online(upstream_id, 1)
                await engines[int(upstream_id[1:])].run(waits)
                loads[number].add_online(upstream_id, -1)

            async def tell():
                while True:
                    await trio.sleep(_DELAY_S)
                    counts = [
                        {
                            name: placement.UpstreamCounts(entry.online)
                            for name, entry in load.own.items()
                        }
                        for load in loads
                    ]
                    for number, load in enumerate(loads):
                        for other in range(_MEMBERS):
                            if other != number:
                                load.set_peer_counts(f'm{other}', counts[other])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(tell)
                await trio.sleep(_DELAY_S)
                async with trio.open_nursery() as calls:
                    for _ in range(int(per_s * length_s)):
                        calls.start_soon(call, random.randrange(_MEMBERS))
                        await trio.sleep(random.expovariate(per_s))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return waits

    def test_burst_at_many_members_starts_at_once(self):
        # Seven tenths of the slots are taken. Members that send each request to
        # the upstream that seems least loaded all choose the same ones.
        per_s = 0.7 * _UPSTREAMS * _SLOTS / _RUN_S
        waits = self._play(1.5 * _DELAY_S, per_s)
        late = sum(wait_s > 0.3 for wait_s in waits) / len(waits)
        self.assertLess(late, 0.05)
        waits = self._play(0.0, per_s)
        late_without = sum(wait_s > 0.3 for wait_s in waits) / len(waits)
        self.assertGreater(late_without, 2 * late)


class LoadTableTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['p', 'q', 'own', 'gone', 'pause']),
                strategies.sampled_from(['u', 'v']),
                strategies.integers(0, 3),
                strategies.integers(0, 3),
            ),
            max_size=30,
        )
    )
    def test_totals_are_the_sums_of_what_was_told(self, changes):
        async def main():
            load = placement.create_load_table()
            told = {}
            own = {}
            for who, upstream_id, online, batch in changes:
                if who == 'pause':
                    await trio.sleep(1.5)
                    told.clear()
                elif who == 'gone':
                    load.forget_peer('p')
                    told.pop('p', None)
                elif who == 'own':
                    load.set_batch(upstream_id, batch, 1)
                    own[upstream_id] = batch
                else:
                    counts = {
                        upstream_id: placement.UpstreamCounts(online, batch)
                    }
                    load.set_peer_counts(who, counts)
                    told[who] = counts
                expected = {}
                for counts in told.values():
                    for name, entry in counts.items():
                        row = expected.setdefault(name, [0, 0])
                        row[0] += entry.online
                        row[1] += entry.batch
                for name, batch_count in own.items():
                    expected.setdefault(name, [0, 0])[1] += batch_count
                found = {
                    name: [entry.online, entry.batch]
                    for name, entry in load.sum_counts().items()
                }
                nonzero = {
                    name: row for name, row in expected.items() if any(row)
                }
                self.assertEqual(nonzero, found)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_repeated_counts_stay_and_silent_ones_go(self):
        async def main():
            load = placement.create_load_table()
            counts = {'u': placement.UpstreamCounts(2, 1)}
            load.set_peer_counts('p', counts)
            for _ in range(4):
                await trio.sleep(0.5)
                load.refresh_peer('p', counts)
            self.assertEqual(2, load.sum_counts()['u'].online)
            await trio.sleep(1.5)
            self.assertEqual({}, load.sum_counts())
            load.refresh_peer('p', counts)
            self.assertEqual(2, load.sum_counts()['u'].online)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class RunMeanTest(testtools.TestCase):

    def test_first_runs_of_a_service_count_in_full(self):
        async def main():
            run_times = placement.create_run_times()
            upstream = test_placer._make_view(1).upstreams['u0']
            for run_ms in (40, 60):
                run_times.record(upstream, 'r', run_ms)
            self.assertEqual(50, run_times.get_run_ms('s'))
            for _ in range(100):
                run_times.record(upstream, 'r', 50)
            run_times.record(upstream, 'r', 150)
            self.assertAlmostEqual(55, run_times.get_run_ms('s'))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
