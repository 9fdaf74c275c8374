"""Tests of the order in which items take free slots."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import fleet
from siskinmount import placement
from siskinmount import transport


def _make_upstream(name):
    return fleet.Upstream(
        upstream_id=name,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=1,
        started_at_ms=1,
    )


def _list_slots(free):
    """Returns the id of the upstream of each slot, one by one."""
    slots = []
    for count, name in free:
        for left in range(count):
            slots.append((left - count, name))
    return [name for _, name in sorted(slots)]


class BatchSlotsTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 6), max_size=6),
        strategies.integers(0, 40),
        strategies.sets(strategies.sampled_from('abcdef')),
    )
    def test_slots_are_those_of_the_list_of_all(self, counts, rank, excluded):
        free = list(zip(counts, 'abcdef', strict=False))
        expected = _list_slots(free)
        slots = placement.create_batch_slots(
            [(count, _make_upstream(name)) for count, name in free]
        )
        self.assertEqual(expected, [slot.upstream_id for slot in slots])
        chosen = slots.choose(rank, excluded)
        first = rank % len(expected) if expected else 0
        allowed = [
            name
            for name in expected[first:] + expected[:first]
            if name not in excluded
        ]
        self.assertEqual(
            allowed[0] if allowed else None,
            chosen.upstream_id if chosen is not None else None,
        )

    def test_work_does_not_depend_on_the_number_of_slots(self):
        # Guards against a list of as many slots as an entry names.
        many = 10**15
        slots = placement.create_batch_slots(
            [(many, _make_upstream('a')), (many - 1, _make_upstream('b'))]
        )
        self.assertEqual(2 * many - 1, len(slots))
        for rank in (0, 1, 2 * many - 2, 10**18):
            self.assertEqual('b', slots.choose(rank, {'a'}).upstream_id)
            self.assertIsNone(slots.choose(rank, {'a', 'b'}))
