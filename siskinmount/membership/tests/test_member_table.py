"""Tests of member states in the member table."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import backing_services
from siskinmount import membership
from siskinmount import results
from siskinmount.membership.tests import sample_members

LIVE = membership.MemberState.LIVE
LEAVING = membership.MemberState.LEAVING
SUSPECT = membership.MemberState.SUSPECT
DEAD = membership.MemberState.DEAD


class MemberTableTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.clock = sample_members.FakeClock()
        self.table = membership.create_member_table(clock=self.clock)

    def advance(self, seconds):
        """Advances the clock in steps too short to count as a pause."""
        for _ in range(int(seconds * 2)):
            self.clock.now_s += 0.5
            self.table.refresh()

    def state_of(self, vm):
        member = self.table.find(vm)
        return None if member is None else member.state

    def test_silence_makes_suspect_and_second_source_makes_dead(self):
        self.table.apply_heartbeat(sample_members.create_member('s1'))
        steps = [(0, LIVE), (3, LIVE), (1, SUSPECT), (60, SUSPECT)]
        for seconds, expected in steps:
            self.advance(seconds)
            self.assertIs(expected, self.state_of('s1'))
        self.table.mark_unreachable('s1', 1)
        self.assertIs(DEAD, self.state_of('s1'))
        self.assertEqual([], self.table.list_sidecars('wordsmith'))

    def test_failed_connection_alone_changes_no_state(self):
        self.table.apply_heartbeat(sample_members.create_member('s1'))
        self.table.mark_unreachable('s1', 1)
        self.assertIs(LIVE, self.state_of('s1'))

    def test_dead_member_is_live_after_a_heartbeat(self):
        member = sample_members.create_member('s1')
        self.table.apply_heartbeat(member)
        self.table.mark_unreachable('s1', 1)
        self.advance(6)
        self.assertIs(DEAD, self.state_of('s1'))
        self.assertIsNone(self.table.apply_heartbeat(member))
        self.assertIs(LIVE, self.state_of('s1'))

    def test_answer_on_another_connection_clears_suspicion(self):
        self.table.apply_heartbeat(sample_members.create_member('s1'))
        self.advance(4)
        self.table.record_answer('s1', 2)
        self.assertIs(SUSPECT, self.state_of('s1'))
        self.table.record_answer('s1', 1)
        self.assertIs(LIVE, self.state_of('s1'))

    def test_older_incarnation_is_ignored(self):
        newer = sample_members.create_member('s1', incarnation=5, in_flight=3)
        older = sample_members.create_member('s1', incarnation=4, in_flight=9)
        self.table.apply_heartbeat(newer)
        failure = self.table.apply_heartbeat(older)
        self.assertEqual(results.ResultCode.STALE_INCARNATION, failure.code)
        self.assertEqual(3, self.table.find('s1').in_flight)

    def test_older_incarnation_is_ignored_after_removal(self):
        self.table.apply_heartbeat(
            sample_members.create_member('s1', incarnation=5)
        )
        self.advance(301)
        self.assertIsNone(self.table.find('s1'))
        failure = self.table.apply_heartbeat(
            sample_members.create_member('s1', incarnation=4)
        )
        self.assertIsInstance(failure, results.Failure)
        self.assertIsNone(self.table.find('s1'))

    def test_leaving_is_final_within_an_incarnation(self):
        self.table.apply_heartbeat(
            sample_members.create_member('s1', state=LEAVING)
        )
        self.table.apply_heartbeat(sample_members.create_member('s1'))
        self.assertIs(LEAVING, self.state_of('s1'))
        self.table.apply_heartbeat(
            sample_members.create_member('s1', incarnation=2)
        )
        self.assertIs(LIVE, self.state_of('s1'))

    def test_vm_list_sets_and_clears_leaving(self):
        self.table.apply_heartbeat(sample_members.create_member('s1'))
        for listed_state, expected in (
            (backing_services.VmState.LEAVING, LEAVING),
            (backing_services.VmState.LIVE, LIVE),
        ):
            self.table.apply_vm_list([self.list_vm('s1', listed_state)])
            self.assertIs(expected, self.state_of('s1'))

    def test_vm_list_applies_to_members_discovered_later(self):
        self.table.apply_vm_list(
            [self.list_vm('s1', backing_services.VmState.LEAVING)]
        )
        self.table.apply_heartbeat(sample_members.create_member('s1'))
        self.assertIs(LEAVING, self.state_of('s1'))

    def test_absence_from_vm_list_counts_only_against_a_silent_member(self):
        self.table.apply_heartbeat(sample_members.create_member('s1'))
        self.table.apply_vm_list([])
        self.assertIs(LIVE, self.state_of('s1'))
        self.advance(6)
        self.assertIs(SUSPECT, self.state_of('s1'))
        self.table.apply_vm_list([])
        self.assertIs(DEAD, self.state_of('s1'))

    def test_own_pause_is_not_counted_as_silence(self):
        self.table.apply_heartbeat(sample_members.create_member('e1'))
        self.clock.now_s += 30
        self.assertEqual(['e1'], self.table.live_entry_vms())
        self.advance(4)
        self.assertEqual([], self.table.live_entry_vms())

    def test_peer_report_of_recent_contact_keeps_member_live(self):
        entry = sample_members.create_member('e1')
        self.table.apply_heartbeat(entry)
        self.advance(3)
        self.table.apply_peer_report(entry, heard_ms_ago=200)
        self.advance(3)
        self.assertIs(LIVE, self.state_of('e1'))

    def test_peer_report_of_silence_is_second_source(self):
        entry = sample_members.create_member('e1')
        self.table.apply_heartbeat(entry)
        self.advance(6)
        self.assertIs(SUSPECT, self.state_of('e1'))
        self.table.apply_peer_report(entry, heard_ms_ago=7000)
        self.assertIs(DEAD, self.state_of('e1'))

    def test_listeners_are_called_only_on_changes(self):
        seen = []
        self.table.add_listener(
            lambda change: seen.append(
                (change.previous_state, change.member.state)
            )
        )
        member = sample_members.create_member('s1')
        self.table.apply_heartbeat(member)
        self.table.apply_heartbeat(member)
        self.advance(4)
        self.assertEqual([(None, LIVE), (LIVE, SUSPECT)], seen)

    def test_replies_list_all_entries_round_robin(self):
        settings = membership.HeartbeatSettings(max_listed_entries=3)
        table = membership.create_member_table(settings, self.clock)
        vms = [f'e{number}' for number in range(7)]
        for vm in vms:
            table.apply_heartbeat(sample_members.create_member(vm))
        named = set()
        for _ in range(3):
            listed = [entry.vm for entry in table.list_entries_for_reply()]
            self.assertEqual(3, len(set(listed)))
            named.update(listed)
        self.assertEqual(set(vms), named)

    def list_vm(self, vm, state):
        return backing_services.VmEntry(
            vm=vm,
            role='sidecar',
            peers_address='127.0.0.1:1',
            control_address='127.0.0.1:2',
            state=state,
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 4),
                strategies.booleans(),
                strategies.integers(0, 3000),
            ),
            min_size=1,
            max_size=12,
        )
    )
    def test_order_of_messages_does_not_revive(self, messages):
        """Whatever the order, the newest incarnation alone counts."""
        clock = sample_members.FakeClock()
        table = membership.create_member_table(clock=clock)
        newest = 0
        left = set()
        for incarnation, leaving, age_ms in messages:
            state = LEAVING if leaving else LIVE
            failure = table.apply_heartbeat(
                sample_members.create_member(
                    's1', incarnation=incarnation, state=state
                ),
                age_ms,
            )
            self.assertEqual(incarnation < newest, failure is not None)
            if incarnation >= newest and leaving:
                left.add(incarnation)
            newest = max(newest, incarnation)
            member = table.find('s1')
            self.assertEqual(newest, member.incarnation)
            if newest in left:
                self.assertIs(LEAVING, member.state)
