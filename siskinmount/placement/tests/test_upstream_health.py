"""Plays upstreams that fail always, in part, or now and then."""

import testtools
import trio
import trio.testing

from siskinmount import placement


def _create_health():
    return placement.create_upstream_health(placement.create_crash_evidence())


def _tell(listener, name, speaker):
    """Brings what one process has seen to another, as messages do."""
    listener.take_peer_tallies(
        name,
        {
            upstream_id: placement.FailureTally(tally.failures, tally.runs)
            for upstream_id, tally in speaker.list_troubled().items()
        },
    )


class UpstreamHealthTest(testtools.TestCase):

    def _run(self, check):
        trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_failures_in_a_row_are_avoided_for_longer(self):
        async def check():
            health = _create_health()
            for avoided_s in (0.4, 0.9, 1.9):
                health.note_failure('u', 'refused')
                await trio.sleep(avoided_s)
                self.assertTrue(health.is_avoided('u'))
            health.note_success('u')

        self._run(check)

    def test_part_of_the_calls_of_many_processes_shows_together(self):
        """28 processes send each two requests in three seconds to an upstream.

        Four in ten fail. No process sees enough by itself, and each forgets
        the failure with its next good answer.
        """

        async def check():
            processes = [_create_health() for _ in range(28)]
            for step in range(2):
                for number, process in enumerate(processes):
                    if (number + step) % 5 < 2:
                        process.note_failure('grey', 'status 500')
                    else:
                        process.note_success('grey')
                    process.note_success('sound')
                await trio.sleep(1.5)
            asked = processes[4]
            self.assertFalse(asked.is_avoided('grey'))
            for number, process in enumerate(processes):
                if process is not asked:
                    _tell(asked, f'p{number}', process)
            self.assertTrue(asked.is_avoided('grey'))
            self.assertFalse(asked.is_avoided('sound'))

        self._run(check)

    def test_answers_lost_now_and_then_are_no_reason(self):
        """Five in a hundred answers are lost, at each upstream alike."""

        async def check():
            first = _create_health()
            second = _create_health()
            for number in range(200):
                for process in (first, second):
                    if number % 20 == 7:
                        process.note_failure('u', 'lost')
                    else:
                        process.note_success('u')
                await trio.sleep(0.05)
                _tell(first, 'second', second)
                share = first.get_failure_share('u')
                self.assertLess(share, 0.2)

        self._run(check)

    def test_repaired_upstream_is_used_again(self):
        async def check():
            health = _create_health()
            for _ in range(6):
                health.note_failure('u', 'status 500')
                health.note_success('u')
            self.assertTrue(health.is_avoided('u'))
            await trio.sleep(6)
            self.assertFalse(health.is_avoided('u'))

        self._run(check)

    def test_silent_peer_and_restarted_upstream_are_forgotten(self):
        async def check():
            health = _create_health()
            other = _create_health()
            for _ in range(6):
                other.note_failure('u', 'status 500')
            _tell(health, 'p', other)
            self.assertTrue(health.is_avoided('u'))
            await trio.sleep(1.1)
            self.assertFalse(health.is_avoided('u'))
            _tell(health, 'p', other)
            health.forget_peer('p')
            self.assertFalse(health.is_avoided('u'))
            other.forget('u')
            self.assertFalse(other.is_avoided('u'))

        self._run(check)
