"""Tests of the quarantine of requests that crash upstreams."""

import testtools
import trio
import trio.testing

from siskinmount import placement


def _report(*crash_ids, age_s=0.0, had_output=False):
    """Returns what a peer tells of the crashes of one request."""
    return {
        'f': [
            placement.CrashReport(crash_id, age_s, had_output)
            for crash_id in crash_ids
        ]
    }


def _run(check):
    async def main():
        await check(placement.create_crash_tracker())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class CrashTrackerTest(testtools.TestCase):

    def test_quarantine_after_crashes(self):
        cases = [
            # Upstreams of interrupted runs, those found down, peer's count,
            # outcome.
            (['a', 'b', 'c'], ['a', 'b', 'c'], 0, True),
            (['a', 'b', 'c'], ['a', 'b'], 0, False),
            (['a', 'b'], ['a', 'b'], 1, True),
            (['a'], ['a', 'a', 'a'], 1, False),
            ([], ['a', 'b', 'c'], 0, False),
        ]
        for interrupted, down, peer_count, expected in cases:

            async def check(
                crash_tracker,
                interrupted=interrupted,
                down=down,
                peer_count=peer_count,
                expected=expected,
            ):
                for upstream_id in interrupted:
                    crash_tracker.record_interrupted_run('f', upstream_id)
                for upstream_id in down:
                    crash_tracker.record_upstream_down(upstream_id)
                crash_tracker.apply_reports(
                    _report(*[f'peer-{n}/1/0' for n in range(peer_count)])
                )
                self.assertEqual(
                    expected, crash_tracker.is_quarantined('f'), interrupted
                )

            _run(check)

    def test_bystander_of_one_crash_is_not_quarantined(self):
        async def check(crash_tracker):
            for upstream_id in ('a', 'b', 'c'):
                crash_tracker.record_interrupted_run('poison', upstream_id)
                crash_tracker.record_interrupted_run(
                    f'bystander-{upstream_id}', upstream_id
                )
                crash_tracker.record_upstream_down(upstream_id)
            self.assertTrue(crash_tracker.is_quarantined('poison'))
            self.assertFalse(crash_tracker.is_quarantined('bystander-a'))

        _run(check)

    def test_different_crashes_of_peers_are_summed(self):
        async def check(crash_tracker):
            crash_tracker.apply_reports(_report('u/1/0'))
            crash_tracker.apply_reports(_report('v/1/0', 'u/1/0'))
            self.assertEqual(2, crash_tracker.count_at_peers('f'))
            self.assertEqual(0, crash_tracker.count_at_peers('h'))
            # This process has seen one of the two itself.
            crash_tracker.record_interrupted_run('f', 'u', started_at_ms=1)
            crash_tracker.record_upstream_down('u')
            self.assertEqual(1, crash_tracker.count_at_peers('f'))
            self.assertFalse(crash_tracker.is_quarantined('f'))

        _run(check)

    def test_each_crash_of_a_restarted_upstream_counts(self):
        for starts_ms in ((1, 2, 3), (1, 1, 1)):

            async def check(crash_tracker, starts_ms=starts_ms):
                for started_at_ms in starts_ms:
                    crash_tracker.record_interrupted_run(
                        'f', 'u', started_at_ms=started_at_ms
                    )
                    crash_tracker.record_upstream_down('u')
                self.assertTrue(crash_tracker.is_quarantined('f'))

            _run(check)

    def test_only_a_run_begun_after_the_interruption_clears_it(self):
        # A run that ends well as its upstream crashes may be read after the
        # interruption of another.
        for began_at_s, expected in ((-1.0, {'f': 1}), (0.5, {})):

            async def check(
                crash_tracker, began_at_s=began_at_s, expected=expected
            ):
                start_s = trio.current_time()
                crash_tracker.record_interrupted_run('f', 'a')
                await trio.sleep(1)
                crash_tracker.record_run_completed('a', start_s + began_at_s)
                crash_tracker.record_upstream_down('a')
                self.assertEqual(expected, crash_tracker.counts)

            _run(check)

    def test_counts_expire(self):
        async def check(crash_tracker):
            crash_tracker.record_interrupted_run('f', 'a')
            await trio.sleep(10)
            crash_tracker.record_upstream_down('a')
            self.assertEqual({}, crash_tracker.counts)
            crash_tracker.record_interrupted_run('f', 'a')
            crash_tracker.record_upstream_down('a')
            await trio.sleep(61)
            crash_tracker.expire()
            self.assertEqual({}, crash_tracker.counts)

        _run(check)

    def test_run_counts_when_the_entry_goes_after_some_heartbeats(self):
        # Guards against evidence that expires before its confirmation.
        for heartbeat_ms in (300, 1200, 3000):

            async def main(heartbeat_ms=heartbeat_ms):
                crash_tracker = placement.create_crash_tracker(heartbeat_ms)
                crash_tracker.record_interrupted_run('f', 'a')
                await trio.sleep(5 * heartbeat_ms / 1000)
                crash_tracker.expire()
                crash_tracker.record_upstream_down('a')
                self.assertEqual({'f': 1}, crash_tracker.counts, heartbeat_ms)

            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_crashes_outlive_the_members_that_counted_them(self):
        # Guards against a request that is let through when a member restarts.
        async def check(crash_tracker):
            for upstream_id in ('a', 'b'):
                crash_tracker.record_interrupted_run('f', upstream_id)
                crash_tracker.record_upstream_down(upstream_id)
            crash_tracker.apply_reports(_report('c/1/0'))
            crash_tracker.apply_reports({})
            self.assertTrue(crash_tracker.is_quarantined('f'))
            other = placement.create_crash_tracker()
            other.apply_reports(crash_tracker.list_reports())
            self.assertTrue(other.is_quarantined('f'))

        _run(check)

    def test_reports_do_not_last_longer_by_being_told_around(self):
        async def check(crash_tracker):
            other = placement.create_crash_tracker()
            crash_tracker.apply_reports(_report('a/1/0', 'b/1/0'))
            for _ in range(80):
                other.apply_reports(crash_tracker.list_reports())
                crash_tracker.apply_reports(other.list_reports())
                await trio.sleep(1)
                crash_tracker.expire()
                other.expire()
            for tracker in (crash_tracker, other):
                self.assertEqual(0, tracker.count_at_peers('f'))

        _run(check)

    def test_quarantine_outlasts_the_memory_of_single_crashes(self):
        async def check(crash_tracker):
            crash_tracker.apply_reports(_report('a/1/0', 'b/1/0', 'c/1/0'))
            for after_s, expected in ((120, True), (600, False)):
                await trio.sleep(after_s)
                crash_tracker.expire()
                self.assertEqual(expected, crash_tracker.is_quarantined('f'))

        _run(check)

    def test_runs_with_output_are_bystanders_of_two_crashes(self):
        cases = [
            # Crashes with output, crashes without, outcome.
            (2, 0, False),
            (4, 0, False),
            (5, 0, True),
            (2, 2, False),
            (2, 3, True),
            (3, 2, True),
        ]
        for with_output, without, expected in cases:

            async def check(
                crash_tracker,
                with_output=with_output,
                without=without,
                expected=expected,
            ):
                for number in range(with_output + without):
                    upstream_id = f'u{number}'
                    crash_tracker.record_interrupted_run(
                        'f', upstream_id, added_output=number < with_output
                    )
                    crash_tracker.record_upstream_down(upstream_id)
                other = placement.create_crash_tracker()
                other.apply_reports(crash_tracker.list_reports())
                for tracker in (crash_tracker, other):
                    self.assertEqual(
                        expected,
                        tracker.is_quarantined('f'),
                        (with_output, without),
                    )

            _run(check)

    def test_a_crash_is_as_old_and_as_clear_as_any_member_says(self):
        async def check(crash_tracker):
            await trio.sleep(50)
            for age_s, had_output in ((50, True), (0, False), (0, True)):
                crash_tracker.apply_reports(
                    _report('a', 'b', age_s=age_s, had_output=had_output)
                )
            for report in crash_tracker.list_reports()['f']:
                self.assertEqual(50, round(report.age_s))
                self.assertFalse(report.had_output)
            # Told by a member that has not dropped it yet.
            crash_tracker.apply_reports(_report('a', age_s=61))
            await trio.sleep(11)
            crash_tracker.expire()
            crash_tracker.apply_reports(_report('a', age_s=61))
            self.assertEqual(0, crash_tracker.count_at_peers('f'))

        _run(check)

    def test_a_copy_without_output_makes_a_crash_count(self):
        async def check(crash_tracker):
            for upstream_id in ('a', 'b', 'c'):
                for added_output in (False, True):
                    crash_tracker.record_interrupted_run(
                        'f', upstream_id, added_output
                    )
                crash_tracker.record_upstream_down(upstream_id)
            self.assertTrue(crash_tracker.is_quarantined('f'))

        _run(check)

    def test_crash_counts_against_parts_of_prompts_of_runs_without_output(self):
        async def check(crash_tracker):
            for added_output, expected in ((True, None), (False, 1)):
                run = crash_tracker.parts.begin_run(('p',))
                crash_tracker.record_interrupted_run(
                    'f', 'a', added_output, part_run=run
                )
                crash_tracker.record_upstream_down('a')
                report = crash_tracker.parts.get_report('p')
                self.assertEqual(expected, report and report.sequence)

        _run(check)

    def test_single_crashes_are_told_by_their_witness_for_some_time(self):
        async def check(crash_tracker):
            crash_tracker.record_interrupted_run('own', 'a')
            crash_tracker.record_upstream_down('a')
            crash_tracker.apply_reports(_report('b/1/0'))
            self.assertEqual(['own'], list(crash_tracker.list_reports()))
            await trio.sleep(16)
            self.assertEqual({}, crash_tracker.list_reports())

        _run(check)

    def test_lines_say_why_an_interrupted_run_does_not_count(self):
        async def check(crash_tracker):
            cases = [
                (
                    'upstream_serves',
                    lambda: crash_tracker.record_run_completed(
                        'a', trio.current_time() + 1
                    ),
                ),
                (
                    'upstream_leaves',
                    lambda: (crash_tracker.forget_interrupted_runs('a')),
                ),
            ]
            outcomes = []
            crash_tracker.watch_outcomes(outcomes.append)
            for reason, end in cases:
                with self.assertLogs('siskinmount.placement') as logs:
                    crash_tracker.record_interrupted_run('f', 'a')
                    end()
                self.assertEqual(
                    ['run_interrupted', 'interrupted_run_dropped'],
                    [line.message for line in logs.records],
                )
                self.assertEqual(reason, logs.records[1].reason)
                self.assertEqual('f', logs.records[1].fingerprint)
            self.assertEqual([case[0] for case in cases], outcomes)

        _run(check)

    def test_older_crashes_are_told_once_a_second(self):
        # Guards against messages that repeat each crash many times a second.
        async def check(crash_tracker):
            crash_tracker.apply_reports(_report('a/1/0', 'b/1/0', 'c/1/0'))
            messages = []
            for _ in range(100):
                messages.append(crash_tracker.list_reports())
                await trio.sleep(0.1)
            told = [bool(message) for message in messages]
            self.assertTrue(all(told[:10]))
            self.assertLessEqual(sum(told[10:]), 10)
            for second in range(1, 9):
                self.assertTrue(any(told[second * 10 : second * 10 + 11]))

        _run(check)

    def test_request_is_quarantined_among_very_many_bystanders(self):
        # Guards against a full table after the loss of failure domains.
        async def check(crash_tracker):
            for upstream_id in ('a', 'b', 'c'):
                crash_tracker.record_interrupted_run('f', upstream_id)
                for number in range(600):
                    crash_tracker.record_interrupted_run(
                        f'{upstream_id}-{number}', upstream_id
                    )
                crash_tracker.record_interrupted_run('f', upstream_id)
                crash_tracker.record_upstream_down(upstream_id)
                await trio.sleep(1)
            self.assertTrue(crash_tracker.is_quarantined('f'))
            self.assertEqual(1801, len(crash_tracker.counts))

        _run(check)

    def test_list_of_reports_is_bounded(self):
        # Guards against datagrams that are too large to arrive.
        async def check(crash_tracker):
            for number in range(900):
                crash_tracker.record_interrupted_run(f'f{number}', 'a')
            crash_tracker.record_upstream_down('a')
            crash_tracker.apply_reports(_report('b/1/0', 'c/1/0', 'd/1/0'))
            reports = crash_tracker.list_reports()
            self.assertLessEqual(len(reports), 200)
            self.assertIn('f', reports)

        _run(check)

    def test_fingerprint_is_equal_for_equal_requests(self):
        name = placement.make_fingerprint('h', '/p', b'body')
        self.assertEqual(name, placement.make_fingerprint('h', '/p', b'body'))
        for other in (
            ('g', '/p', b'body'),
            ('h', '/q', b'body'),
            ('h', '/p', b''),
        ):
            self.assertNotEqual(name, placement.make_fingerprint(*other))

    def test_crashes_of_an_upstream_since_a_time(self):
        # Whether this member or a peer has counted them.
        async def check(crash_tracker):
            await trio.sleep(10.0)
            crash_tracker.record_interrupted_run('f', 'own')
            crash_tracker.record_upstream_down('own')
            crash_tracker.apply_reports(_report('told/7/0', age_s=2.0))
            for upstream_id, at_s, expected in (
                ('own', 9.0, True),
                ('own', 11.0, False),
                ('told', 7.0, True),
                ('told', 9.0, False),
                ('tol', 7.0, False),
            ):
                now_s = trio.current_time() - 10.0
                self.assertEqual(
                    expected,
                    crash_tracker.has_crashed_since(upstream_id, now_s + at_s),
                    (upstream_id, at_s),
                )

        _run(check)
