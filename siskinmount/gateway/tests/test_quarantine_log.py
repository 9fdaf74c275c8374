"""Tests of the record of quarantined parts in the store."""

import testtools
import trio
import trio.testing

from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import results
from siskinmount.gateway import _quarantine_log


class _Log:
    """A log that keeps the newest record of each key, or fails."""

    def __init__(self, is_away=False):
        self.is_away = is_away
        self.values = {}

    async def read_newest(self):
        await trio.sleep(0.01)
        if self.is_away:
            return _FAILURE
        records = [
            keyed_log.KeyedRecord(key, value, 0)
            for key, value in self.values.items()
        ]
        return keyed_log.LogPage(records, 1)

    async def append(self, records, at_offset):
        if self.is_away:
            return _FAILURE
        for record in records:
            self.values[record.key] = record.value
        return 0


_FAILURE = results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'away')


def _create(log):
    crash_tracker = placement.create_crash_tracker()
    directory = peering.create_peer_directory(
        'm',
        placement.create_load_table(),
        crash_tracker,
        placement.create_upstream_health(crash_tracker),
    )
    return crash_tracker.parts, _quarantine_log.create_quarantine_log(
        log, crash_tracker.parts, directory
    )


def _quarantine(parts):
    """Quarantines part `p`; returns a run that can show that it is sound."""
    parts.record_output(parts.begin_run(('other',)))
    for _ in range(2):
        parts.record_crash(parts.begin_run(('p',)))
    run = parts.begin_run(('p',))
    parts.record_crash(parts.begin_run(('p',)))
    return run


class QuarantineLogTest(testtools.TestCase):

    def _run(self, log, check):
        async def main():
            parts, quarantine_log = _create(log)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(quarantine_log.run)
                await check(parts, quarantine_log)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_quarantine_is_written_and_read_at_the_next_start(self):
        log = _Log()

        async def write(parts, quarantine_log):
            _quarantine(parts)
            await trio.sleep(0.1)

        async def read(parts, quarantine_log):
            await trio.sleep(0.1)
            self.assertEqual(['p'], parts.list_quarantined())

        self._run(log, write)
        self._run(log, read)

    def test_record_is_dropped_when_the_quarantine_ends(self):
        async def by_output(parts):
            parts.record_output(_quarantine(parts))

        async def by_time(parts):
            _quarantine(parts)
            await trio.sleep(1300)
            parts.expire()

        for end in (by_output, by_time):
            log = _Log()

            async def check(parts, quarantine_log, end=end):
                await trio.sleep(0.1)
                await end(parts)
                await trio.sleep(0.1)

            self._run(log, check)
            self.assertEqual({'p': None}, log.values, end)

    def test_decision_is_written_when_the_store_is_back(self):
        log = _Log()

        async def check(parts, quarantine_log):
            await trio.sleep(0.1)
            log.is_away = True
            _quarantine(parts)
            await trio.sleep(5)
            self.assertEqual({}, log.values)
            log.is_away = False
            await trio.sleep(1)
            self.assertIn('p', log.values)

        self._run(log, check)

    def test_start_waits_for_the_store_for_a_second_at_most(self):
        for is_away, ready_after_s in ((False, 0.1), (True, 1.1)):

            async def check(
                parts,
                quarantine_log,
                is_away=is_away,
                ready_after_s=ready_after_s,
            ):
                self.assertFalse(quarantine_log.may_serve())
                await trio.sleep(0.05)
                self.assertEqual(not is_away, quarantine_log.may_serve())
                await trio.sleep(ready_after_s)
                self.assertTrue(quarantine_log.may_serve())

            self._run(_Log(is_away), check)

    def test_invalid_records_are_passed_over(self):
        log = _Log()
        log.values = {'a': b'', 'b': b'[1]', 'c': b'{"sequence": "x"}'}

        async def check(parts, quarantine_log):
            await trio.sleep(0.1)
            self.assertTrue(quarantine_log.is_loaded)
            self.assertEqual([], parts.list_quarantined())

        self._run(log, check)
