"""Detection of hanging upstreams, as opposed to slow ones."""

import testtools
import trio
import trio.testing

from siskinmount import placement

_TARGET_MS = 300


class OverdueRunsTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            health = placement.create_upstream_health(
                placement.create_crash_tracker()
            )
            overdue = placement.create_overdue_runs(health)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(overdue.run)
                await check(overdue, health)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_hanging_upstream_is_avoided(self):
        async def check(overdue, health):
            overdue.begin('u', _TARGET_MS)
            await trio.sleep(0.5)
            self.assertFalse(health.is_avoided('u'))
            await trio.sleep(0.3)
            self.assertTrue(health.is_avoided('u'))

        self._run(check)

    def test_slow_upstream_that_starts_answers_is_not_avoided(self):
        async def check(overdue, health):
            for _ in range(10):
                earlier = overdue.begin('u', _TARGET_MS)
                overdue.begin('u', _TARGET_MS)
                await trio.sleep(0.5)
                overdue.record_first_byte(earlier)
                self.assertFalse(health.is_avoided('u'))

        self._run(check)

    def test_ended_request_is_not_overdue(self):
        async def check(overdue, health):
            overdue.end(overdue.begin('u', _TARGET_MS))
            await trio.sleep(2)
            self.assertFalse(health.is_avoided('u'))

        self._run(check)
