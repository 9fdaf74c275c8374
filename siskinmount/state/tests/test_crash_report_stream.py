"""Tests of the tracking of requests that crash upstreams."""

import testtools
import trio
import trio.testing

from siskinmount import state
from siskinmount.backing_services.tests import fake_log
from siskinmount.state.tests import stream_fixtures


class CrashReportStreamTest(testtools.TestCase):

    def run_with_log(self, check):
        async def main():
            log = fake_log.FakeLog()
            async with trio.open_nursery() as nursery:
                await check(log, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def create(self, log, nursery):
        stream = state.create_crash_report_stream(
            log, expiry_ms=3_600_000, clock_ms=stream_fixtures.clock_ms
        )
        nursery.start_soon(stream.run)
        return stream

    def test_crashes_make_suspect_and_quarantined_requests(self):
        async def check(log, nursery):
            for name, crashes, suspect, quarantined in (
                ('none', (), False, False),
                ('one alone', (('a', 1, True),), True, False),
                ('reported twice', (('a', 1, True),) * 2, True, False),
                (
                    'beside others twice',
                    (('a', 1, False), ('b', 1, False)),
                    1,
                    0,
                ),
                (
                    'beside others, then alone',
                    (('a', 1, False), ('b', 1, True)),
                    1,
                    1,
                ),
                ('alone twice', (('a', 1, True), ('a', 2, True)), 1, 1),
            ):
                stream = self.create(log, nursery)
                for vm, incarnation, alone in crashes:
                    stream.record_crash(name, vm, incarnation, alone=alone)
                self.assertEqual(suspect, stream.is_suspect(name), name)
                self.assertEqual(quarantined, stream.is_quarantined(name), name)

        self.run_with_log(check)

    def test_crashes_reach_other_processes_after_an_outage_and_expire(self):
        async def check(log, nursery):
            here = self.create(log, nursery)
            there = self.create(log, nursery)
            log.is_down = True
            here.record_crash('f', 'a', 1, alone=True)
            here.record_crash('f', 'b', 1, alone=True)
            await trio.sleep(60)
            self.assertTrue(here.is_quarantined('f'))
            self.assertFalse(there.is_suspect('f'))
            log.is_down = False
            log.answers_lost = 1
            await trio.sleep(60)
            self.assertTrue(there.is_quarantined('f'))
            await trio.sleep(3600)
            self.assertFalse(there.is_suspect('f'))

        self.run_with_log(check)

    def test_suspect_that_runs_alone_to_completion_is_cleared_everywhere(self):
        async def check(log, nursery):
            here = self.create(log, nursery)
            there = self.create(log, nursery)
            here.record_crash('f', 'a', 1, alone=False)
            await trio.sleep(60)
            self.assertTrue(there.is_suspect('f'))
            there.record_solo_completion('f')
            await trio.sleep(60)
            for stream in (here, there):
                self.assertFalse(stream.is_suspect('f'))
                # Another report of the same crash, as by a heartbeat.
                stream.apply_remote_crash('f', 'a', 1, alone=False)
                self.assertFalse(stream.is_suspect('f'))
                stream.apply_remote_crash('f', 'a', 2, alone=False)
                self.assertTrue(stream.is_suspect('f'))

        self.run_with_log(check)

    def test_quarantined_request_is_not_cleared(self):
        async def check(log, nursery):
            stream = self.create(log, nursery)
            stream.record_crash('f', 'a', 1, alone=False)
            stream.record_crash('f', 'b', 1, alone=True)
            stream.record_solo_completion('f')
            self.assertTrue(stream.is_quarantined('f'))

        self.run_with_log(check)
