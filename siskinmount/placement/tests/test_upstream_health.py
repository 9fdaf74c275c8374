"""Avoidance of upstreams that fail always, partly or rarely."""

import testtools
import trio
import trio.testing

from siskinmount import placement


def _create_health():
    return placement.create_upstream_health(placement.create_crash_tracker())


def _send_tallies(receiver, name, sender):
    """Delivers the tallies of one process to another."""
    receiver.set_peer_tallies(
        name,
        {
            upstream_id: placement.FailureTally(tally.failures, tally.runs)
            for upstream_id, tally in sender.list_failure_tallies().items()
        },
    )


class UpstreamHealthTest(testtools.TestCase):

    def _run(self, check):
        trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_consecutive_failures_lengthen_the_avoidance(self):
        async def check():
            health = _create_health()
            for avoided_s in (0.4, 0.9, 1.9):
                health.record_failure('u', 'refused')
                await trio.sleep(avoided_s)
                self.assertTrue(health.is_avoided('u'))
            health.record_success('u')

        self._run(check)

    def test_partial_failure_is_detected_over_all_processes(self):
        """28 processes each send two requests in three seconds to an upstream.

        Four in ten fail. No process has enough failures of its own, and each
        ends its avoidance at the next successful answer.
        """

        async def check():
            processes = [_create_health() for _ in range(28)]
            for step in range(2):
                for number, process in enumerate(processes):
                    if (number + step) % 5 < 2:
                        process.record_failure('grey', 'status 500')
                    else:
                        process.record_success('grey')
                    process.record_success('sound')
                await trio.sleep(1.5)
            asked = processes[4]
            self.assertFalse(asked.is_avoided('grey'))
            for number, process in enumerate(processes):
                if process is not asked:
                    _send_tallies(asked, f'p{number}', process)
            self.assertTrue(asked.is_avoided('grey'))
            self.assertFalse(asked.is_avoided('sound'))

        self._run(check)

    def test_rare_lost_answers_stay_below_the_limit(self):
        """Five per cent of the answers are lost at each upstream."""

        async def check():
            first = _create_health()
            second = _create_health()
            for number in range(200):
                for process in (first, second):
                    if number % 20 == 7:
                        process.record_failure('u', 'lost')
                    else:
                        process.record_success('u')
                await trio.sleep(0.05)
                _send_tallies(first, 'second', second)
                share = first.get_failure_share('u')
                self.assertLess(share, 0.2)

        self._run(check)

    def test_repaired_upstream_is_used_again(self):
        async def check():
            health = _create_health()
            for _ in range(6):
                health.record_failure('u', 'status 500')
                health.record_success('u')
            self.assertTrue(health.is_avoided('u'))
            await trio.sleep(6)
            self.assertFalse(health.is_avoided('u'))

        self._run(check)

    def test_silent_peer_and_restarted_upstream_are_forgotten(self):
        async def check():
            health = _create_health()
            other = _create_health()
            for _ in range(6):
                other.record_failure('u', 'status 500')
            _send_tallies(health, 'p', other)
            self.assertTrue(health.is_avoided('u'))
            await trio.sleep(1.1)
            self.assertFalse(health.is_avoided('u'))
            _send_tallies(health, 'p', other)
            health.forget_peer('p')
            self.assertFalse(health.is_avoided('u'))
            other.forget('u')
            self.assertFalse(other.is_avoided('u'))

        self._run(check)
