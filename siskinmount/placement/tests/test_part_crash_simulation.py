"""Plays of crashing parts of prompts, and of crashes that have other causes."""

import testtools
import trio

from siskinmount.placement.tests import part_crash_simulation

_SIZES = {
    # Members, upstreams, longest time of a message, sound requests a second,
    # requests with the crashing part a second, stable window.
    'core': (8, 9, 0.02, 40.0, 1.3, 3.0),
    'large': (88, 31, 0.3, 165.0, 5.0, 5.0),
}
#: Requests that may reach upstreams after the fifth crash and a stable window.
_MAX_LATE_REQUESTS = 3


async def _crash_often(simulation):
    """Crashes a random upstream twice a second and more."""
    while True:
        await trio.sleep(simulation.rng.uniform(0.2, 0.6))
        simulation.crash(simulation.rng.choice(list(range(9))))


async def _lose_power(simulation):
    """Crashes two of three upstreams at the same moment, every 5 s."""
    while True:
        await trio.sleep(5)
        numbers = list(simulation.upstreams)
        for number in numbers[: len(numbers) * 2 // 3]:
            simulation.crash(number)


async def _release(simulation):
    """Replaces one upstream after the other."""
    for number in list(simulation.upstreams):
        await trio.sleep(1)
        simulation.crash(number)


async def _restart_members(simulation):
    """Restarts half of the members, then the others."""
    half = len(simulation.members) // 2
    await trio.sleep(7)
    for number in range(half):
        simulation.restart_member(number)
    await trio.sleep(3)
    for number in range(half, len(simulation.members)):
        simulation.restart_member(number)


class PartCrashSimulationTest(testtools.TestCase):

    def _simulate(self, seed, size, prompts, crashing_part, disturb):
        members, upstreams, delay_s, sound, crashing, window_s = _SIZES[size]
        outcome = part_crash_simulation.simulate(
            seed,
            part_crash_simulation.Load(
                sound_per_s=sound,
                crashing_per_s=crashing if prompts else 0.0,
                crashing_prompts=prompts,
                crashing_part=crashing_part,
            ),
            members=members,
            upstreams=upstreams,
            delay_s=delay_s,
            duration_s=14.0,
            disturb=disturb,
        )
        return outcome, outcome.count_late(window_s)

    def test_few_requests_with_a_crashing_part_reach_upstreams(self):
        second = [('first-0', 'p')]
        cases = [
            # Size, prompts with the part, the part, disturbance.
            ('core', second, 'p', None),
            ('core', [('*', 'p')], 'p', _lose_power),
            ('core', [('p', '*')], 'p', None),
            ('core', [('first-0', 'p', '*')], 'p', _crash_often),
            ('core', [('first-0', 'second-1', 'p')], 'p', None),
            ('core', [('first-0', '*')], 'first-0', None),
            ('core', second, 'p', _restart_members),
            ('large', second, 'p', None),
            ('large', [('p', '*')], 'p', _restart_members),
        ]
        for size, prompts, crashing_part, disturb in cases:
            for seed in range(3 if size == 'core' else 1):
                outcome, late = self._simulate(
                    seed, size, prompts, crashing_part, disturb
                )
                case = (size, prompts, crashing_part, disturb, seed)
                self.assertLessEqual(late, _MAX_LATE_REQUESTS, case)
                self.assertEqual(set(), outcome.quarantined_sound, case)
                if disturb is None:
                    self.assertGreater(
                        outcome.sound_started, outcome.sound_sent / 2, case
                    )

    def test_crashes_of_other_causes_quarantine_nothing(self):
        for disturb in (_crash_often, _lose_power, _release):
            for seed in range(4):
                outcome, _ = self._simulate(seed, 'core', (), '', disturb)
                self.assertEqual(
                    set(), outcome.quarantined_sound, (disturb, seed)
                )
        outcome, _ = self._simulate(0, 'large', (), '', _lose_power)
        self.assertEqual(set(), outcome.quarantined_sound)
