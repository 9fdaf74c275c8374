"""Tests of rendezvous hashing and of the selection of entries."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import membership
from siskinmount.membership.tests import sample_members

_VMS = strategies.lists(
    strategies.integers(0, 99).map(lambda number: f'e{number}'),
    min_size=1,
    max_size=20,
    unique=True,
)


def _create_entries(vms):
    entries = []
    for vm in vms:
        domain = f'd{int(vm[1:]) % 3}'
        entries.append(sample_members.create_member(vm, failure_domain=domain))
    return entries


class EntrySubsetTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.text(max_size=10), _VMS)
    def test_removing_a_name_moves_only_its_keys(self, key, vms):
        ranked = membership.rank_by_rendezvous(key, vms)
        for removed in vms:
            others = [vm for vm in vms if vm != removed]
            expected = [vm for vm in ranked if vm != removed]
            self.assertEqual(
                expected, membership.rank_by_rendezvous(key, others)
            )

    def test_keys_are_distributed_evenly(self):
        counts = dict.fromkeys(['e1', 'e2', 'e3', 'e4'], 0)
        for number in range(4000):
            ranked = membership.rank_by_rendezvous(f'key-{number}', counts)
            counts[ranked[0]] += 1
        for count in counts.values():
            self.assertTrue(900 < count < 1100, counts)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_VMS, strategies.integers(1, 8))
    def test_choice_is_bounded_and_stable(self, vms, limit):
        entries = _create_entries(vms)
        chosen = membership.choose_entries('s1', 'r1', entries, limit)
        chosen_vms = {entry.vm for entry in chosen}
        self.assertEqual(min(limit, len(vms)), len(chosen_vms))
        for removed in vms:
            others = [entry for entry in entries if entry.vm != removed]
            again = membership.choose_entries('s1', 'r1', others, limit)
            moved = {entry.vm for entry in again} - chosen_vms
            self.assertTrue(len(moved) <= int(removed in chosen_vms))

    def test_selection_spreads_over_failure_domains(self):
        entries = _create_entries([f'e{number}' for number in range(30)])
        chosen = membership.choose_entries('s1', 'r1', entries, 6)
        domains = sorted(entry.failure_domain for entry in chosen)
        self.assertEqual(['d0', 'd0', 'd1', 'd1', 'd2', 'd2'], domains)

    def test_own_region_is_preferred(self):
        local = sample_members.create_member('e1')
        remote = sample_members.create_member('e2', region='r2')
        for entries, expected in (
            ([remote, local], [local]),
            ([remote], [remote]),
        ):
            chosen = membership.choose_entries('s1', 'r1', entries, 4)
            self.assertEqual(expected, chosen)

    def test_other_regions_get_reserved_places(self):
        local = [sample_members.create_member(f'n{n}') for n in range(6)]
        remote = [
            sample_members.create_member(f'f{n}', region='r2') for n in range(6)
        ]
        for local_count, remote_count, expected in (
            (2, 1, (2, 1)),
            (6, 6, (2, 2)),
            (1, 6, (1, 2)),
            (0, 6, (0, 4)),
            (6, 0, (4, 0)),
        ):
            chosen = membership.choose_entries(
                's1', 'r1', local[:local_count] + remote[:remote_count], 4, 2
            )
            found_remote = sum(entry.region == 'r2' for entry in chosen)
            self.assertEqual(
                expected, (len(chosen) - found_remote, found_remote)
            )
