import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import supervision
from siskinmount.supervision import _supervisor


class _Failing:
    """A child that fails a given number of times, each after a pause."""

    def __init__(self, failure_count, pause_s=0.0):
        self.starts_s = []
        self._failure_count = failure_count
        self._pause_s = pause_s

    async def run(self):
        self.starts_s.append(trio.current_time())
        await trio.sleep(self._pause_s)
        if len(self.starts_s) <= self._failure_count:
            raise ValueError('broken child')


def _run(*runs):
    """Returns the errors that the supervisor raised, as a flat list."""

    async def main():
        children = [
            supervision.Child(f'child-{number}', run)
            for number, run in enumerate(runs)
        ]
        await supervision.run_supervisor('test', children)

    clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        trio.run(main, clock=clock)
    except ExceptionGroup as group:
        return list(group.exceptions)
    return []


class SupervisorTest(testtools.TestCase):

    def test_returning_child_is_not_run_again(self):
        child = _Failing(0)
        self.assertEqual([], _run(child.run))
        self.assertEqual(1, len(child.starts_s))

    def test_failed_child_is_restarted_while_others_continue(self):
        broken = _Failing(3)
        steady = _Failing(0, pause_s=3600)
        self.assertEqual([], _run(broken.run, steady.run))
        self.assertEqual((4, 1), (len(broken.starts_s), len(steady.starts_s)))

    def test_backoff_grows_up_to_the_maximum(self):
        child = _Failing(_supervisor.MAX_RESTARTS_IN_WINDOW)
        self.assertEqual([], _run(child.run))
        starts_s = child.starts_s
        for number in range(1, len(starts_s)):
            pause_ms = (starts_s[number] - starts_s[number - 1]) * 1000
            ceiling_ms = min(
                _supervisor.MAX_BACKOFF_MS,
                _supervisor.INITIAL_BACKOFF_MS * 2 ** (number - 1),
            )
            self.assertTrue(
                ceiling_ms / 2 - 1 <= pause_ms <= ceiling_ms + 1, pause_ms
            )

    def test_exceeding_the_restart_limit_cancels_all_children(self):
        child = _Failing(_supervisor.MAX_RESTARTS_IN_WINDOW + 1)
        cancelled = []

        async def wait():
            try:
                await trio.sleep_forever()
            finally:
                cancelled.append(True)

        (error,) = _run(child.run, wait)
        self.assertIsInstance(error, supervision.RestartLimitError)
        self.assertEqual('test/child-0', str(error))
        self.assertIsInstance(error.__cause__, ValueError)
        self.assertEqual(
            _supervisor.MAX_RESTARTS_IN_WINDOW + 1, len(child.starts_s)
        )
        self.assertEqual([True], cancelled)

    def test_rare_failures_never_escalate(self):
        pause_s = _supervisor.RESTART_WINDOW_S / 5
        child = _Failing(100, pause_s)
        self.assertEqual([], _run(child.run))
        self.assertEqual(101, len(child.starts_s))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
    @hypothesis.given(strategies.lists(strategies.integers(0, 14), max_size=5))
    def test_escalates_if_any_child_is_over_the_bound(self, failure_counts):
        children = [_Failing(count) for count in failure_counts]
        bound = _supervisor.MAX_RESTARTS_IN_WINDOW
        errors = _run(*[child.run for child in children])
        self.assertEqual(
            any(count > bound for count in failure_counts), bool(errors)
        )

    def test_child_that_always_fails_does_not_end_its_supervisor(self):
        failed = []

        async def fail():
            await trio.sleep(0.01)
            raise ValueError('broken child')

        async def main():
            with trio.move_on_after(300):
                await supervision.run_supervisor(
                    'test',
                    [supervision.Child('broken', fail)],
                    escalates=False,
                    count_failure=failed.append,
                )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertGreater(len(failed), 50)
        self.assertEqual({'broken'}, set(failed))
