"""Tests of the timeout of plain calls on a silent connection."""

import testtools
import trio
import trio.testing

from siskinmount import configuration
from siskinmount import results
from siskinmount.sidecar import _run_request
from siskinmount.sidecar.tests import test_request_runner


class _SilentStream:

    async def receive(self):
        await trio.sleep_forever()

    def close(self):
        pass


class _SilentPlainUpstream:

    async def start(self, request_id, body):
        return _SilentStream()


class PlainTimeoutTest(testtools.TestCase):

    def test_batch_call_on_a_silent_connection_times_out(self):
        async def main():
            harness = test_request_runner.RunnerHarness()
            await harness.monitor.check()
            harness.runner._plain_upstream = _SilentPlainUpstream()
            harness.runner.plain_timeout_ms = 10_000
            running = harness.registry.add(
                _run_request.RunRequest(
                    request_id='r',
                    body=_run_request.PlainBody(method='POST', target='/'),
                    request_class=configuration.RequestClass.BATCH,
                )
            )
            with trio.fail_after(60):
                await harness.runner.run(running)
            self.assertEqual(
                results.ResultCode.DEADLINE_EXCEEDED, running.failure.code
            )
            self.assertIs(results.RunState.UNKNOWN, running.failure.run_state)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
