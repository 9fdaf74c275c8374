"""Tests of the crash history."""

import testtools
import trio
import trio.testing

from siskinmount.sidecar import _crash_history


class CrashHistoryTest(testtools.TestCase):

    def test_keeps_the_newest_crash_for_the_retention_time(self):
        async def main():
            memory = _crash_history.CrashHistory()
            memory.record('f', 1, False)
            memory.record('f', 2, True)
            memory.record('', 3, True)
            crash = memory.find('f')
            self.assertEqual((2, True), (crash.generation, crash.was_alone))
            self.assertIsNone(memory.find(''))
            self.assertIsNone(memory.find('g'))
            await trio.sleep(_crash_history.RETENTION_S + 1)
            self.assertIsNone(memory.find('f'))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_lists_the_newest_first(self):
        async def main():
            memory = _crash_history.CrashHistory()
            memory.record('old', 1, False)
            await trio.sleep(_crash_history.RETENTION_S + 1)
            for number, fingerprint in enumerate(('a', 'b', 'c')):
                memory.record(fingerprint, number, False)
            listed = [name for name, _ in memory.list_recent(2)]
            self.assertEqual(['c', 'b'], listed)
            listed = [name for name, _ in memory.list_recent(9)]
            self.assertEqual(['c', 'b', 'a'], listed)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_calls_back_on_each_crash(self):
        async def main():
            told = []
            memory = _crash_history.CrashHistory(lambda: told.append(1))
            memory.record('a', 1, False)
            memory.record('b', 1, False)
            self.assertEqual(2, len(told))

        trio.run(main)

    def test_is_bounded(self):
        async def main():
            memory = _crash_history.CrashHistory()
            for number in range(_crash_history.MAX_CRASHES + 1):
                memory.record(f'f{number}', 1, False)
            self.assertIsNone(memory.find('f0'))
            self.assertIsNotNone(memory.find('f1'))

        trio.run(main)
