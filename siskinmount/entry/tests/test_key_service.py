"""Tests of the operations on idempotency keys."""

import testtools
import trio
import trio.testing

from siskinmount import results
from siskinmount import state
from siskinmount.entry import _key_service


class _Keys:
    """Fakes the keys of an owned stream; the first `failures` finishes fail."""

    def __init__(self, failures):
        self.failures = failures
        self.finished = []
        self.begin_delay_s = 0
        self.started_attempts = []
        self.abandoned = []

    async def begin(self, key, caller, fingerprint, holder, attempt):
        self.started_attempts.append(attempt)
        await trio.sleep(self.begin_delay_s)
        return state.Started(attempt)

    async def abandon(self, key, caller, attempt):
        self.abandoned.append(attempt)

    async def finish(self, key, caller, attempt, outcome):
        if self.failures:
            self.failures -= 1
            return results.Failure(
                results.ResultCode.LOG_APPEND_UNKNOWN, 'the log is down'
            )
        self.finished.append((caller, key, attempt, outcome))
        return None


class _Shard:

    def __init__(self, keys):
        self.keys = keys


class _LocalStreams:
    """Fakes a `StreamOwnerClient` of an entry that owns every stream."""

    def __init__(self, keys):
        self._shard = _Shard(keys)

    def find_stream(self, key):
        return 'state-0'

    def find_local_shard(self, stream):
        return self._shard


class KeyServiceTest(testtools.TestCase):

    def test_outcome_that_cannot_be_recorded_is_retried(self):
        async def main():
            keys = _Keys(failures=3)
            access = _key_service.KeyService(_LocalStreams(keys), 'vm/1')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(access.run)
                begin_outcome = await access.begin('c', 'k', 'f')
                await access.finish('c', 'k', begin_outcome.attempt, b'answer')
                self.assertEqual([], keys.finished)
                await access.wait_flushed()
                nursery.cancel_scope.cancel()
            self.assertEqual(
                [('c', 'k', begin_outcome.attempt, b'answer')], keys.finished
            )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_intent_is_abandoned_if_begin_is_cancelled(self):
        async def main():
            keys = _Keys(failures=0)
            keys.begin_delay_s = 5
            access = _key_service.KeyService(_LocalStreams(keys), 'vm/1')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(access.run)
                with trio.move_on_after(1):
                    await access.begin('c', 'k', 'f')
                await access.wait_flushed()
                nursery.cancel_scope.cancel()
            self.assertEqual(keys.started_attempts, keys.abandoned)
            self.assertEqual(1, len(keys.started_attempts))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
