"""Tests of the quarantine of parts of prompts that crash upstreams."""

import random

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import placement
from siskinmount.placement import _part_quarantine
from siskinmount.placement import _served_parts


def _run(check):
    """Runs `check(parts)` on a member that has served a request."""

    async def main():
        parts = placement.create_part_quarantine()
        parts.record_output(parts.begin_run(('other',)))
        await check(parts)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _crash_in_sequence(parts, prompts):
    """Crashes an upstream under each prompt, one after the other."""
    for prompt in prompts:
        parts.record_crash(parts.begin_run(prompt))


def _tell(sender, receiver, member_count=1):
    receiver.apply_reports(sender.list_reports(member_count), 'peer')


class PartQuarantineTest(testtools.TestCase):

    def test_cause_of_crashes_in_sequence(self):
        cases = [
            # Parts served before, prompts that crash, refused, not refused.
            ([], [('p',)] * 2, [], [('p',)]),
            ([], [('p',)] * 3, [('p',)], [()]),
            (
                [('f', 'q')],
                [('f', 'p')] * 3,
                [('f', 'p')],
                [('f', 'q'), ('f',)],
            ),
            (
                [('f', 'q')],
                [('f', 'p'), ('g', 'p'), ('f', 'p')],
                [('h', 'p')],
                [('f', 'q')],
            ),
            (
                [('f', 'q'), ('f', 'r')],
                [('p', 'q'), ('p', 'r'), ('p', 'q')],
                [('p', 's')],
                [('f', 'q')],
            ),
            # Only together are they known to crash upstreams.
            ([], [('p', 'q')] * 3, [('p', 'q')], [('p',), ('q', 's')]),
        ]
        for served, crashed, refused, sound in cases:

            async def check(
                parts,
                served=served,
                crashed=crashed,
                refused=refused,
                sound=sound,
            ):
                for prompt in served:
                    parts.record_output(parts.begin_run(prompt))
                await trio.sleep(0.5)
                parts.record_output(parts.begin_run(('other',)))
                _crash_in_sequence(parts, crashed)
                for prompt in refused:
                    self.assertIsNotNone(
                        parts.find_quarantined(prompt), (crashed, prompt)
                    )
                for prompt in sound:
                    self.assertIsNone(
                        parts.find_quarantined(prompt), (crashed, prompt)
                    )

            _run(check)

    def test_crashes_at_the_same_time_count_once(self):
        # Guards against refusing what ran when many upstreams lost power.
        async def check(parts):
            runs = [parts.begin_run(('f', f'q{n}')) for n in range(40)]
            for run in runs:
                parts.record_crash(run)
            self.assertEqual([], parts.list_quarantined())
            self.assertEqual(1, parts.get_report('f').sequence)

        _run(check)

    def test_output_of_a_later_run_clears_a_part(self):
        async def check(parts):
            early = parts.begin_run(('p',))
            _crash_in_sequence(parts, [('p',)] * 2)
            # It started before the crashes.
            parts.record_output(early)
            self.assertEqual(0, parts.get_report('p').cleared_sequence)
            parts.record_output(parts.begin_run(('p',)))
            await trio.sleep(60)
            parts.record_output(parts.begin_run(('other',)))
            _crash_in_sequence(parts, [('p',)] * 2)
            self.assertEqual([], parts.list_quarantined())
            _crash_in_sequence(parts, [('p',)])
            self.assertEqual(['p'], parts.list_quarantined())

        _run(check)

    def test_output_ends_a_wrong_quarantine(self):
        async def check(parts):
            _crash_in_sequence(parts, [('q',)] * 2)
            run = parts.begin_run(('q',))
            _crash_in_sequence(parts, [('q',)])
            self.assertEqual(['q'], parts.list_quarantined())
            parts.record_output(run)
            self.assertEqual([], parts.list_quarantined())

        _run(check)

    def test_next_part_is_quarantined_when_the_first_turns_out_sound(self):
        # Guards against three more crashes for each wrong choice.
        async def check(parts):
            _crash_in_sequence(parts, [('f', 'p', 'q')] * 3)
            self.assertEqual(['q'], parts.list_quarantined())
            parts.record_output(parts.begin_run(('f', 'q')))
            self.assertEqual(['p'], parts.list_quarantined())
            self.assertIsNone(parts.find_quarantined(('f', 'q')))
            self.assertIsNotNone(parts.find_quarantined(('f', 'p', 'r')))

        _run(check)

    def test_crash_without_a_common_part_widens_the_quarantine(self):
        async def check(parts):
            _crash_in_sequence(parts, [('f', 'p')] * 3)
            self.assertIsNone(parts.find_quarantined(('g', 'p')))
            _crash_in_sequence(parts, [('g', 'p')])
            self.assertIsNotNone(parts.find_quarantined(('h', 'p')))

        _run(check)

    def test_part_that_is_served_all_the_time_is_not_the_cause(self):
        async def check(parts):
            for _ in range(20):
                parts.record_output(parts.begin_run(('f', 'q')))
                parts.record_crash(parts.begin_run(('f', 'r')))
                await trio.sleep(0.2)
            self.assertIsNone(parts.find_quarantined(('f', 's')))

        _run(check)

    def test_crashes_needed_by_the_time_since_a_part_was_served(self):
        cases = [
            # Start of the latest output of any request after that of the part,
            # crashes in sequence, whether it is quarantined.
            (0.5, 9, False),
            (3.0, 4, False),
            (3.0, 5, True),
            (11.0, 2, False),
            (11.0, 3, True),
        ]
        for unserved_s, crashes, expected in cases:

            async def check(
                parts,
                unserved_s=unserved_s,
                crashes=crashes,
                expected=expected,
            ):
                parts.record_output(parts.begin_run(('f',)))
                await trio.sleep(unserved_s)
                parts.record_output(parts.begin_run(('other',)))
                _crash_in_sequence(parts, [('f',)] * crashes)
                self.assertEqual(
                    expected, bool(parts.list_quarantined()), unserved_s
                )

            _run(check)

    def test_other_parts_of_the_cause_start_anew(self):
        # Guards against a sound part that one more crash puts in quarantine.
        async def check(parts):
            _crash_in_sequence(parts, [('f', 'p')] * 3)
            self.assertEqual(['p'], parts.list_quarantined())
            _crash_in_sequence(parts, [('f', 'r')])
            self.assertIsNone(parts.find_quarantined(('f', 's')))
            # What crashes with the cause says nothing of other parts.
            _crash_in_sequence(parts, [('g', 'p')])
            self.assertIsNone(parts.get_report('g'))

        _run(check)

    def test_member_that_has_served_nothing_decides_later(self):
        async def main():
            parts = placement.create_part_quarantine()
            _crash_in_sequence(parts, [('p',)] * 4)
            self.assertEqual([], parts.list_quarantined())
            _crash_in_sequence(parts, [('p',)])
            self.assertEqual(['p'], parts.list_quarantined())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_sequence_goes_on_at_other_members(self):
        async def check(parts):
            members = [parts]
            for _ in range(2):
                member = placement.create_part_quarantine()
                member.record_output(member.begin_run(('other',)))
                members.append(member)
            for number in range(3):
                _crash_in_sequence(members[number], [('f', 'p')])
                for member in members:
                    _tell(members[number], member)
            for member in members:
                self.assertEqual(['p'], member.list_quarantined())

        _run(check)

    def test_member_decides_by_what_another_one_has_served(self):
        async def main():
            serving = placement.create_part_quarantine()
            parts = placement.create_part_quarantine()
            for _ in range(3):
                serving.record_output(serving.begin_run(('f', 'q')))
                _crash_in_sequence(parts, [('f', 'p')])
                for _ in range(3):
                    _tell(parts, serving)
                    _tell(serving, parts)
                    await trio.sleep(0.3)
            self.assertEqual(['p'], parts.list_quarantined())
            self.assertEqual(['p'], serving.list_quarantined())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_members_that_missed_it_are_told_again(self):
        # Guards against a restarted member that lets requests through.
        async def check(parts):
            _crash_in_sequence(parts, [('p',)] * 3)
            await trio.sleep(300)
            parts.expire()
            restarted = placement.create_part_quarantine()
            for _ in range(3):
                _tell(parts, restarted)
                await trio.sleep(1)
            self.assertEqual(['p'], restarted.list_quarantined())

        _run(check)

    def test_service_of_a_suspect_part_is_told(self):
        async def check(parts):
            _crash_in_sequence(parts, [('f',)])
            await trio.sleep(3)
            self.assertEqual({}, parts.list_reports(1))
            early = parts.begin_run(('f',))
            early.known_sequences.clear()
            parts.record_output(early)
            self.assertEqual(0.0, parts.list_reports(1)['f'].served_age_s)

        _run(check)

    def test_end_of_a_quarantine_is_told_again(self):
        # Guards against a member that read the record from the store before it
        # was dropped, and refuses a sound part alone.
        async def check(parts):
            _crash_in_sequence(parts, [('q',)] * 2)
            run = parts.begin_run(('q',))
            _crash_in_sequence(parts, [('q',)])
            restarted = placement.create_part_quarantine()
            restarted.apply_reports({'q': parts.get_report('q')}, 'store')
            parts.record_output(run)
            await trio.sleep(2)
            self.assertEqual(['q'], restarted.list_quarantined())
            _tell(parts, restarted)
            self.assertEqual([], restarted.list_quarantined())

        _run(check)

    def test_repeated_reports_are_shared_among_members(self):
        async def check(parts):
            random.seed(1)
            _crash_in_sequence(parts, [('p',)] * 3)
            await trio.sleep(2)
            told = 0
            for _ in range(880):
                told += bool(parts.list_reports(88))
                await trio.sleep(1)
            # 4 of 88 members a second.
            self.assertTrue(20 < told < 70, told)

        _run(check)

    def test_quarantine_ends_and_one_crash_renews_it(self):
        async def check(parts):
            _crash_in_sequence(parts, [('p',)] * 3)
            await trio.sleep(599)
            parts.expire()
            self.assertEqual(['p'], parts.list_quarantined())
            await trio.sleep(2)
            parts.expire()
            self.assertEqual([], parts.list_quarantined())
            _crash_in_sequence(parts, [('p',)])
            self.assertEqual(['p'], parts.list_quarantined())
            await trio.sleep(1201)
            parts.expire()
            self.assertIsNone(parts.get_report('p'))

        _run(check)

    def test_reports_of_old_crashes_are_not_applied(self):
        async def check(parts):
            for age_s, expected in ((61, None), (59, 1)):
                report = placement.PartReport(1, 0, 0, age_s, None, frozenset())
                parts.apply_reports({'p': report}, 'peer')
                known = parts.get_report('p')
                self.assertEqual(expected, known and known.sequence)

        _run(check)

    def test_old_crashes_are_not_counted(self):
        async def check(parts):
            _crash_in_sequence(parts, [('p',)] * 2)
            await trio.sleep(61)
            parts.expire()
            _crash_in_sequence(parts, [('p',)])
            self.assertEqual([], parts.list_quarantined())

        _run(check)

    def test_memory_and_messages_are_bounded(self):
        async def check(parts):
            _crash_in_sequence(parts, [('p',)] * 3)
            for number in range(2 * _part_quarantine.MAX_SUSPECTS):
                _crash_in_sequence(parts, [(f'a{number}', f'b{number}')])
            self.assertEqual(['p'], parts.list_quarantined())
            reports = parts.list_reports(1)
            self.assertEqual(_part_quarantine.MAX_REPORTED_PARTS, len(reports))
            self.assertIn('p', reports)
            self.assertIsNone(parts.get_report('a0'))
            served = _served_parts.create_served_parts()
            for number in range(2 * _served_parts.MAX_PARTS):
                served.record(str(number), 1.0)
            self.assertEqual(_served_parts.NEVER_S, served.get('0'))
            self.assertEqual(
                1.0, served.get(str(2 * _served_parts.MAX_PARTS - 1))
            )

        _run(check)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.data())
    def test_reports_have_one_outcome_in_any_order(self, data):
        counts = strategies.integers(0, 5)
        names = strategies.frozensets(strategies.sampled_from('abc'))
        reports = []
        for _ in range(data.draw(strategies.integers(1, 5))):
            reports.append(
                placement.PartReport(
                    data.draw(counts),
                    data.draw(counts),
                    data.draw(counts),
                    1.0,
                    2.0,
                    data.draw(names),
                )
            )
        orders = [reports, reports[::-1], reports + reports]
        outcomes = []

        async def main():
            for order in orders:
                parts = placement.create_part_quarantine()
                for report in order:
                    parts.apply_reports({'p': report}, 'peer')
                known = parts.get_report('p')
                outcomes.append(
                    (
                        known.sequence,
                        known.cleared_sequence,
                        known.quarantined_sequence,
                        known.common_parts,
                    )
                )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertEqual(outcomes[0], outcomes[2])
