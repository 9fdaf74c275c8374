"""Tests that members share batch items under faults and leave none."""

import random

import testtools
import trio
import trio.testing

from siskinmount.gateway.tests import members_simulation

_SEEDS = (0, 3, 5, 9, 18, 21)


class MembersSimulationTest(testtools.TestCase):

    def test_no_accepted_item_is_left_without_a_run(self):
        for seed in _SEEDS:
            simulation = members_simulation.Simulation(seed)
            random.seed(seed)
            trio.run(
                simulation.run,
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
            self.assertEqual([], simulation.left_items, f'seed {seed}')
