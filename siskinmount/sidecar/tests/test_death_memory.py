"""Tests of the memory of deaths."""

import testtools
import trio
import trio.testing

from siskinmount.sidecar import _death_memory


class DeathMemoryTest(testtools.TestCase):

    def test_remembers_the_newest_for_a_while(self):
        async def main():
            memory = _death_memory.DeathMemory()
            memory.note('f', 1, False)
            memory.note('f', 2, True)
            memory.note('', 3, True)
            death = memory.find('f')
            self.assertEqual((2, True), (death.generation, death.was_alone))
            self.assertIsNone(memory.find(''))
            self.assertIsNone(memory.find('g'))
            await trio.sleep(_death_memory.REMEMBER_S + 1)
            self.assertIsNone(memory.find('f'))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_lists_the_newest_first(self):
        async def main():
            memory = _death_memory.DeathMemory()
            memory.note('old', 1, False)
            await trio.sleep(_death_memory.REMEMBER_S + 1)
            for number, fingerprint in enumerate(('a', 'b', 'c')):
                memory.note(fingerprint, number, False)
            listed = [name for name, _ in memory.list_recent(2)]
            self.assertEqual(['c', 'b'], listed)
            listed = [name for name, _ in memory.list_recent(9)]
            self.assertEqual(['c', 'b', 'a'], listed)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_tells_of_each_death_at_once(self):
        async def main():
            told = []
            memory = _death_memory.DeathMemory(lambda: told.append(1))
            memory.note('a', 1, False)
            memory.note('b', 1, False)
            self.assertEqual(2, len(told))

        trio.run(main)

    def test_is_bounded(self):
        async def main():
            memory = _death_memory.DeathMemory()
            for number in range(_death_memory.MAX_REMEMBERED + 1):
                memory.note(f'f{number}', 1, False)
            self.assertIsNone(memory.find('f0'))
            self.assertIsNotNone(memory.find('f1'))

        trio.run(main)
