"""Tests of the bound on the bytes that are held for clients."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount.transport import _byte_budget

_MIB = 1024 * 1024
_LARGEST_BODY_BYTES = 4 * _MIB
_LIMIT_BYTES = 8 * _MIB


def _run(check, limit_bytes=_LIMIT_BYTES):
    """Runs `check(budget)` in virtual time."""

    async def main():
        budget = _byte_budget.ByteBudget(limit_bytes)
        await check(budget)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class ByteBudgetTest(testtools.TestCase):

    def hold(self, budget, size_bytes, evicted=None, name=''):
        """Returns a holding that waits for its client."""
        holding = budget.open_holding()
        holding.begin_request()
        self.assertTrue(holding.reserve(size_bytes))
        holding.begin_wait(
            lambda: None if evicted is None else evicted.append(name)
        )
        return holding

    def reserve_anew(self, budget, size_bytes):
        """Returns whether a new request gets bytes."""
        holding = budget.open_holding()
        holding.begin_request()
        return holding.reserve(size_bytes)

    def test_largest_body_passes_in_calm_on_the_smallest_machine(self):
        """Guards against a budget that refuses requests within the limits."""

        async def check(budget):
            budget = _byte_budget.create_byte_budget(1)
            holding = budget.open_holding()
            framing_bytes = _LARGEST_BODY_BYTES // 2 + 64 * 1024
            self.assertTrue(
                holding.reserve(_LARGEST_BODY_BYTES + framing_bytes)
            )

        _run(check)

    def test_most_idle_and_largest_is_evicted_first(self):
        evicted = []

        async def check(budget):
            self.hold(budget, _MIB, evicted, 'small')
            large = self.hold(budget, 4 * _MIB, evicted, 'large')
            await trio.sleep(10)
            self.hold(budget, _MIB, evicted, 'busy')
            asking = budget.open_holding()
            asking.begin_request()
            self.assertTrue(asking.reserve(2 * _MIB))
            self.assertEqual(['large'], evicted)
            self.assertTrue(large.is_evicted)
            self.assertEqual(4 * _MIB, budget.held_bytes)

        _run(check)

    def test_stalled_body_is_evicted_before_connections_between_requests(self):
        """Guards against closing callers' connections that give little."""
        evicted = []

        async def check(budget):
            for _ in range(10):
                self.hold(budget, 16 * 1024, evicted, 'connection')
            await trio.sleep(70)
            self.hold(budget, 4 * _MIB, evicted, 'body')
            await trio.sleep(1)
            self.assertTrue(self.reserve_anew(budget, 3 * _MIB))
            self.assertEqual(['body'], evicted)

        _run(check)

    def test_open_connections_do_not_keep_the_limit_as_it_was(self):
        """Guards against a limit that no longer follows the process."""
        self.patch(_byte_budget, 'read_resident_bytes', lambda: 30 * _MIB)

        async def check(unused):
            budget = _byte_budget.create_byte_budget(130 * _MIB)
            budget.open_holding().charge(10 * _MIB)
            self.patch(_byte_budget, 'read_resident_bytes', lambda: 80 * _MIB)
            budget.update_limit()
            self.assertEqual(30 * _MIB, budget.limit_bytes)

        _run(check)

    def test_single_bytes_are_no_progress(self):
        """Guards against clients that look busy by a byte now and then."""
        evicted = []

        async def check(budget):
            trickling = self.hold(budget, 6 * _MIB, evicted, 'trickling')
            for _ in range(10):
                await trio.sleep(0.5)
                trickling.end_wait()
                trickling.record_received(1)
                trickling.begin_wait(lambda: evicted.append('trickling'))
            self.assertTrue(self.reserve_anew(budget, 2 * _MIB))
            self.assertEqual(['trickling'], evicted)

        _run(check)

    def test_request_in_progress_goes_before_a_new_one(self):
        evicted = []

        async def check(budget):
            earlier = self.hold(budget, 3 * _MIB, evicted, 'earlier')
            await trio.sleep(0.1)
            later = self.hold(budget, 3 * _MIB, evicted, 'later')
            self.assertFalse(later.reserve(2 * _MIB))
            self.assertEqual([], evicted)
            await trio.sleep(_byte_budget.SEARCH_INTERVAL_S)
            self.assertTrue(earlier.reserve(2 * _MIB))
            self.assertEqual(['later'], evicted)

        _run(check)

    def test_what_the_process_works_on_is_not_evicted(self):
        async def check(budget):
            held = self.hold(budget, 6 * _MIB)
            await trio.sleep(60)
            held.end_wait()
            self.assertFalse(self.reserve_anew(budget, 2 * _MIB))
            self.assertFalse(held.is_evicted)

        _run(check)

    def test_large_bodies_leave_room_for_small_requests(self):
        async def check(budget):
            self.hold(budget, 7 * _MIB)
            self.assertFalse(self.reserve_anew(budget, 128 * 1024))
            for _ in range(16):
                self.assertTrue(self.reserve_anew(budget, 64 * 1024))

        _run(check)

    def test_limit_follows_what_the_process_needs(self):
        resident = [30 * _MIB]
        self.patch(_byte_budget, 'read_resident_bytes', lambda: resident[0])

        async def check(unused):
            budget = _byte_budget.create_byte_budget(130 * _MIB)
            self.assertEqual(50 * _MIB, budget.limit_bytes)
            resident[0] = 70 * _MIB
            holding = budget.open_holding()
            holding.charge(40 * _MIB)
            budget.update_limit()
            self.assertEqual(50 * _MIB, budget.limit_bytes)
            holding.release_all()
            budget.update_limit()
            self.assertEqual(30 * _MIB, budget.limit_bytes)
            self.assertEqual(0, budget.pressure)

        _run(check)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ('reserve', 'charge', 'release', 'wait', 'end', 'sleep')
                ),
                strategies.integers(0, 5),
                strategies.integers(0, 3 * _MIB),
            ),
            max_size=60,
        )
    )
    def test_sum_is_that_of_the_holdings(self, steps):
        """Guards against bytes that are counted twice or never given back."""

        async def check(budget):
            holdings = [budget.open_holding() for _ in range(6)]
            for action, number, size_bytes in steps:
                holding = holdings[number]
                if action == 'reserve':
                    if holding.reserve(size_bytes):
                        self.assertLessEqual(
                            budget.held_bytes, budget.limit_bytes
                        )
                elif action == 'charge':
                    holding.charge(size_bytes)
                elif action == 'release':
                    holding.release(size_bytes)
                elif action == 'wait':
                    holding.begin_wait(lambda: None)
                elif action == 'end':
                    holding.end_wait()
                else:
                    await trio.sleep(size_bytes / _MIB)
                self.assertEqual(
                    sum(held.size_bytes for held in holdings),
                    budget.held_bytes,
                )
            for holding in holdings:
                holding.release_all()
            self.assertEqual(0, budget.held_bytes)

        _run(check)
