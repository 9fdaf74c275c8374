"""Tests of the guard that delays new runs after a pause of the process."""

import testtools
import trio
import trio.testing

from siskinmount.entry import _pause_guard


class PauseGuardTest(testtools.TestCase):

    def run_with_guard(self, check, catch_up_s=0.5):
        caught_up = []

        async def catch_up():
            await trio.sleep(catch_up_s)
            caught_up.append(trio.current_time())

        async def main():
            guard = _pause_guard.PauseGuard(catch_up)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(guard.run)
                await trio.sleep(1)
                await check(guard, caught_up)
                nursery.cancel_scope.cancel()

        self.clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=self.clock)

    def test_does_not_wait_without_a_pause(self):
        async def check(guard, caught_up):
            before_s = trio.current_time()
            await guard.wait_caught_up()
            self.assertEqual(before_s, trio.current_time())
            self.assertEqual([], caught_up)

        self.run_with_guard(check)

    def test_waits_for_catch_up_after_a_pause(self):
        async def check(guard, caught_up):
            self.clock.jump(10)
            await guard.wait_caught_up()
            self.assertEqual(1, len(caught_up))

        self.run_with_guard(check)

    def test_wait_is_bounded_by_a_time_out(self):
        async def check(guard, caught_up):
            self.clock.jump(10)
            await guard.wait_caught_up()
            self.assertEqual([], caught_up)

        self.run_with_guard(check, catch_up_s=60)
