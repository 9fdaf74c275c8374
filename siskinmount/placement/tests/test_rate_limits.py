"""Tests of the request rates that upstreams accept."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import placement
from siskinmount import transport

_BATCH = placement.Urgency.BATCH
_HIGHEST = placement.Urgency.HIGHEST


def _make_upstream(upstream_id='u', started_at_ms=1):
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=8,
        started_at_ms=started_at_ms,
    )


def _make_report(sent, recent, age_s=None, per_s=None, started_at_ms=1):
    return placement.RateLimitReport(started_at_ms, sent, recent, age_s, per_s)


def _run(check):
    """Runs `check(limits)` in virtual time."""

    async def main():
        await trio.sleep(100)
        await check(placement.create_rate_limits())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _name(limits, per_s, upstream=None, sent_at_s=None):
    """Applies a response of an upstream."""
    if sent_at_s is None:
        sent_at_s = trio.current_time()
    return limits.apply_response(
        upstream or _make_upstream(), per_s, sent_at_s, 'q'
    )


async def _wait_active(limits, seconds):
    """Waits while the housekeeping of the process runs."""
    for _ in range(round(seconds / 0.25)):
        await trio.sleep(0.25)
        limits.expire({'u'})


class RateLimitsTest(testtools.TestCase):

    def test_upstreams_without_a_limit_take_any_number(self):
        async def check(limits):
            self.assertEqual(float('inf'), limits.count_tokens('u', _BATCH))
            self.assertFalse(_name(limits, None))
            self.assertFalse(limits.has_any())
            limits.record_send('u')
            self.assertEqual({}, limits.list_reports())

        _run(check)

    def test_tokens_come_at_the_named_rate(self):
        cases = [
            # Limit, seconds, and tokens of the most and of the least urgent.
            (4.0, 0.0, 0.0, -3.0),
            (4.0, 1.0, 4.0, 1.0),
            (4.0, 60.0, 7.0, 4.0),
            (0.5, 2.0, 1.0, 0.5),
            (0.5, 60.0, 2.0, 1.5),
            # An upstream that takes none is asked now and then.
            (0.0, 5.0, 0.5, 0.0),
        ]
        for per_s, seconds, highest, low in cases:

            async def check(
                limits, per_s=per_s, seconds=seconds, highest=highest, low=low
            ):
                _name(limits, per_s)
                await _wait_active(limits, seconds)
                self.assertAlmostEqual(
                    highest, limits.count_tokens('u', _HIGHEST)
                )
                self.assertAlmostEqual(low, limits.count_tokens('u', _BATCH))

            _run(check)

    def test_a_limit_ends_by_a_response_to_a_later_request_only(self):
        async def check(limits):
            sent_before_s = trio.current_time()
            await trio.sleep(0.5)
            self.assertTrue(_name(limits, 3.0))
            self.assertFalse(_name(limits, None, sent_at_s=sent_before_s))
            self.assertTrue(limits.is_limited('u'))
            await trio.sleep(0.5)
            self.assertTrue(_name(limits, None))
            self.assertFalse(limits.is_limited('u'))
            self.assertTrue(_name(limits, 2.0))
            self.assertTrue(limits.is_limited('u'))

        _run(check)

    def test_a_restarted_upstream_has_no_limit_until_it_names_one(self):
        async def check(limits):
            _name(limits, 3.0)
            restarted = _make_upstream(started_at_ms=2)
            limits.forget('u')
            self.assertFalse(limits.is_limited('u'))
            _name(limits, 5.0, restarted)
            # A late response of the earlier process.
            self.assertFalse(_name(limits, 1.0))
            report = _make_report(9, 9, 0.0, 1.0)
            limits.apply_reports('p', {'u': report}, {})
            self.assertEqual(5.0, limits.describe('u')['per_s'])

        _run(check)

    def test_newest_report_decides(self):
        cases = [
            # Age and limit in a report after 3 was named 1 s ago, and the
            # limit then.
            (0.5, 2.0, 2.0),
            (0.5, None, None),
            (1.5, 2.0, 3.0),
            (1.5, None, 3.0),
            (None, None, 3.0),
        ]
        for age_s, per_s, expected in cases:

            async def check(
                limits, age_s=age_s, per_s=per_s, expected=expected
            ):
                _name(limits, 3.0)
                await trio.sleep(1)
                report = _make_report(0, 0, age_s, per_s)
                limits.apply_reports('p', {'u': report}, {})
                self.assertEqual(expected, limits.describe('u').get('per_s'))

            _run(check)

    def test_requests_of_peers_are_counted_once(self):
        cases = [
            # Reports of a peer in order, and requests counted in all.
            ([(1, 1), (2, 2), (2, 2)], 2),
            # A message was lost.
            ([(1, 1), (4, 4)], 4),
            # The peer has sent requests long before.
            ([(900, 2), (901, 3)], 3),
            # The peer has forgotten the limit meanwhile.
            ([(5, 5), (1, 1)], 6),
        ]
        for reports, expected in cases:

            async def check(limits, reports=reports, expected=expected):
                _name(limits, 10.0)
                await _wait_active(limits, 5)
                before = limits.count_tokens('u', _HIGHEST)
                for sent, recent in reports:
                    limits.apply_reports(
                        'p', {'u': _make_report(sent, recent)}, {}
                    )
                after = limits.count_tokens('u', _HIGHEST)
                self.assertAlmostEqual(expected, before - after)

            _run(check)

    def test_peers_are_told_of_recent_requests_and_of_the_newest_response(self):
        async def check(limits):
            _name(limits, 3.0)
            limits.record_send('u')
            report = limits.list_reports()['u']
            self.assertEqual(
                (1, 1, 0.0, 3.0),
                (
                    report.sent_count,
                    report.recent_count,
                    report.age_s,
                    report.per_s,
                ),
            )
            await _wait_active(limits, 3)
            # Nobody else has a newer response.
            self.assertEqual(0, limits.list_reports()['u'].recent_count)
            newer = _make_report(1, 1, 0.0, 3.0)
            limits.apply_reports('p', {'u': newer}, {})
            self.assertEqual({}, limits.list_reports())

        _run(check)

    def test_peers_are_told_of_the_end_for_a_while(self):
        async def check(limits):
            _name(limits, 3.0)
            await _wait_active(limits, 1)
            _name(limits, None)
            await _wait_active(limits, 5)
            self.assertIsNone(limits.list_reports()['u'].per_s)
            await _wait_active(limits, 6)
            self.assertFalse(limits.has_any())

        _run(check)

    def test_tokens_are_dropped_after_a_pause_of_the_process(self):
        async def check(limits):
            _name(limits, 10.0)
            await _wait_active(limits, 5)
            self.assertGreater(limits.count_tokens('u', _HIGHEST), 10)
            await trio.sleep(3)
            self.assertEqual(0, limits.count_tokens('u', _HIGHEST))

        _run(check)

    def test_part_of_the_members_use_their_share(self):
        async def check(limits):
            limits.watch_members(lambda: 0.25, lambda: 0.0)
            _name(limits, 8.0)
            await trio.sleep(0.5)
            self.assertAlmostEqual(1, limits.count_tokens('u', _HIGHEST))

        _run(check)

    def test_state_is_bounded(self):
        async def check(limits):
            for number in range(6000):
                _name(limits, 1.0, _make_upstream(f'u{number}'))
            limits.record_send('u4000')
            self.assertEqual(5000, limits.count_limited())
            reports = limits.list_reports()
            self.assertEqual(64, len(reports))
            # Requests are told first.
            self.assertIn('u4000', reports)
            for _ in range(400):
                await trio.sleep(0.25)
                limits.expire(set())
            self.assertEqual(0, limits.count_limited())

        _run(check)

    def test_refused_callers_come_back_when_tokens_are_due(self):
        async def check(limits):
            _name(limits, 2.0)
            limits.record_send('u')
            retry_s = limits.estimate_retry_s('s', ['u', 'v'], _HIGHEST)
            self.assertAlmostEqual(1.0, retry_s)
            self.assertEqual(0, limits.estimate_retry_s('s', ['v'], _HIGHEST))

        _run(check)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        per_s=strategies.floats(0, 50),
        steps=strategies.lists(
            strategies.tuples(
                strategies.floats(0, 2), strategies.integers(0, 5)
            ),
            max_size=60,
        ),
    )
    def test_sends_by_tokens_never_exceed_rate_and_burst(self, per_s, steps):
        async def check(limits):
            _name(limits, per_s)
            limits.count_tokens('u', _HIGHEST)
            sent = 0
            waited_s = 0.0
            for pause_s, wanted in steps:
                await trio.sleep(pause_s)
                waited_s += pause_s
                for _ in range(wanted):
                    if limits.count_tokens('u', _HIGHEST) < 1:
                        break
                    limits.record_send('u')
                    sent += 1
            rate_per_s = max(0.1, per_s)
            self.assertLessEqual(
                sent, rate_per_s * waited_s + 1 + max(1, 1.5 * rate_per_s)
            )

        _run(check)
