"""Tests of the request runner with gate and fake upstream, on a mock clock."""

import testtools
import trio
import trio.testing

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount import sidecar
from siskinmount.sidecar import _invariant
from siskinmount.sidecar import _request_registry
from siskinmount.sidecar import _request_runner
from siskinmount.sidecar import _running_request
from siskinmount.sidecar import _upstream_monitor
from siskinmount.sidecar.tests import fakes


class RunnerHarness:
    """A request runner with its dependencies and a fake upstream."""

    def __init__(self, slots=2, policy=configuration.GatePolicy.ONLINE_FIRST):
        self.upstream = fakes.FakeModelUpstream()
        self.gate = sidecar.create_gate(policy, sidecar.GateLoad(slots=slots))
        self.registry = _request_registry.RequestRegistry()
        self.monitor = _upstream_monitor.UpstreamMonitor(self.upstream)
        self.runner = _request_runner.RequestRunner(
            gate=self.gate,
            registry=self.registry,
            monitor=self.monitor,
            model_upstream=self.upstream,
            plain_upstream=self.upstream,
            record_gap=lambda gap_s, count: None,
        )


class RequestRunnerTest(testtools.TestCase):

    def run_harness(self, check, slots=2):
        async def main():
            harness = RunnerHarness(slots)
            await harness.monitor.check()
            async with trio.open_nursery() as nursery:

                def start(request_id, online=True, tokens=3, **keywords):
                    running = harness.registry.add(
                        fakes.create_run_request(
                            request_id, online, tokens, **keywords
                        )
                    )
                    nursery.start_soon(harness.runner.run, running)
                    return running

                await check(harness, start)
                nursery.cancel_scope.cancel()
            self.assertEqual(0, harness.upstream.open_streams)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def run_fault(self, tokens, fault, **keywords):
        """Returns the frames of a request during which a fault is injected."""
        frames = []

        async def check(harness, start):
            running = start('r', tokens=tokens, **keywords)
            await trio.sleep(fakes.TOKEN_INTERVAL_S * 1.5)
            fault(harness, running)
            await running.wait_ended()
            frames.extend(fakes.describe_frames(running.frames))

        self.run_harness(check)
        return frames

    def test_complete_answer(self):
        frames = self.run_fault(2, lambda harness, running: None)
        self.assertEqual(['t0', 't1', 'end'], frames)

    def test_crash_of_the_upstream(self):
        frames = self.run_fault(
            3, lambda harness, running: harness.upstream.crash()
        )
        self.assertEqual(['t0', 'UPSTREAM_LOST:ran'], frames)

    def test_crash_and_quick_restart(self):
        def restart(harness, running):
            harness.upstream.crash()
            harness.upstream.alive = True

        self.assertEqual(
            ['t0', 'UPSTREAM_LOST:ran'], self.run_fault(3, restart)
        )

    def test_crash_before_the_first_token_is_unknown(self):
        async def check(harness, start):
            running = start('r')
            await trio.sleep(fakes.TOKEN_INTERVAL_S / 2)
            harness.upstream.crash()
            await running.wait_ended()
            self.assertEqual(
                ['UPSTREAM_LOST:unknown'],
                fakes.describe_frames(running.frames),
            )

        self.run_harness(check)

    def test_silent_connection_is_replaced(self):
        def cut(harness, running):
            harness.upstream.cut_count += 1

        self.assertEqual(['t0', 't1', 't2', 'end'], self.run_fault(3, cut))

    def test_silent_engine(self):
        def freeze(harness, running):
            harness.upstream.frozen = True

        self.assertEqual(
            ['t0', 'UPSTREAM_SILENT:ran'], self.run_fault(3, freeze)
        )

    def test_one_slow_probe_does_not_refuse_requests(self):
        async def check(harness, start):
            harness.upstream.frozen = True
            reachable = []
            for _ in range(2):
                await harness.monitor.check()
                reachable.append(harness.monitor.reachable)
            harness.upstream.frozen = False
            await harness.monitor.check()
            reachable.append(harness.monitor.reachable)
            harness.upstream.crash()
            await harness.monitor.check()
            reachable.append(harness.monitor.reachable)
            self.assertEqual([True, False, True, False], reachable)

        self.run_harness(check)

    def test_deadline(self):
        frames = self.run_fault(
            9, lambda harness, running: None, deadline_ms=250
        )
        self.assertEqual(['t0', 't1', 'DEADLINE_EXCEEDED:ran'], frames)

    def test_stop_reasons(self):
        reasons = _running_request.StopReason
        for reason, expected in (
            (reasons.CANCELLED, 'REQUEST_CANCELLED:ran'),
            (reasons.ORPHANED, 'REQUEST_CANCELLED:ran'),
            (reasons.LEAVING, 'BATCH_YIELDED:ran'),
        ):
            frames = self.run_fault(
                9, lambda harness, running, reason=reason: running.stop(reason)
            )
            self.assertEqual(['t0', expected], frames)

    def test_request_to_unreachable_engine_is_not_run_nor_kept(self):
        async def check(harness, start):
            harness.upstream.crash()
            running = start('r')
            await running.wait_ended()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(
                ['UPSTREAM_UNREACHABLE:not_run'],
                fakes.describe_frames(running.frames),
            )
            self.assertIsNone(harness.registry.find('r'))
            self.assertFalse(harness.monitor.reachable)
            harness.upstream.alive = True
            await harness.monitor.check()
            self.assertTrue(harness.monitor.reachable)

        self.run_harness(check)

    def test_preemption_keeps_tokens(self):
        async def check(harness, start):
            batch = start('b', online=False, tokens=9)
            await trio.sleep(fakes.TOKEN_INTERVAL_S * 2.5)
            online = start('o')
            await batch.wait_ended()
            self.assertEqual(
                ['t0', 't1', 'BATCH_YIELDED:ran'],
                fakes.describe_frames(batch.frames),
            )
            self.assertEqual(['t0', 't1'], batch.collect_tokens())
            self.assertEqual(['b'], harness.upstream.cancelled)
            await online.wait_ended()
            resumed = start('b', online=False, resume_tokens=['t0', 't1'])
            await resumed.wait_ended()
            self.assertEqual(
                ['t2', 'end'], fakes.describe_frames(resumed.frames)
            )
            self.assertEqual(('b', 2), harness.upstream.started[-1])

        self.run_harness(check, slots=1)

    def test_tokens_go_on_only_at_the_version_that_wrote_them(self):
        cases = [
            # Version of the upstream, of the tokens, whether it goes on.
            ('v1', 'v1', True),
            ('v2', 'v1', False),
            ('v1', '', False),
            ('', 'v1', False),
            ('', '', True),
        ]
        for version, wrote, goes_on in cases:
            # The second run is refused before it is sent.
            for known, sent in ((False, 1), (True, 1 if goes_on else 0)):

                async def check(
                    harness,
                    start,
                    version=version,
                    wrote=wrote,
                    goes_on=goes_on,
                    known=known,
                    sent=sent,
                ):
                    harness.upstream.software_version = version
                    if known:
                        await start('a').wait_ended()
                    before = len(harness.upstream.started)
                    resumed = start(
                        'b', resume_tokens=['t0'], resume_version=wrote
                    )
                    await resumed.wait_ended()
                    self.assertEqual(
                        sent, len(harness.upstream.started) - before
                    )
                    if goes_on:
                        self.assertEqual(
                            ['t1', 't2', 'end'],
                            fakes.describe_frames(resumed.frames),
                        )
                        return
                    self.assertEqual(1, len(resumed.frames))
                    self.assertEqual(
                        results.ResultCode.STREAM_VERSION_UNAVAILABLE,
                        resumed.failure.code,
                    )
                    self.assertEqual(
                        known,
                        resumed.failure.run_state is results.RunState.NOT_RUN,
                    )

                self.run_harness(check)

    def test_version_of_a_process_that_ended_is_not_taken_for_the_next(self):
        async def check(harness, start):
            harness.upstream.software_version = 'v1'
            await start('a').wait_ended()
            harness.upstream.crash()
            harness.upstream.alive = True
            harness.upstream.software_version = 'v2'
            await harness.monitor.check()
            self.assertIsNone(harness.runner.get_software_version())
            resumed = start('b', resume_tokens=['t0'], resume_version='v2')
            await resumed.wait_ended()
            self.assertEqual(
                ['t1', 't2', 'end'], fakes.describe_frames(resumed.frames)
            )

        self.run_harness(check)

    def test_slot_is_released_after_a_fault_of_the_cancellation(self):
        async def check(harness, start):
            async def fail(request_id):
                raise RuntimeError('fault')

            harness.upstream.cancel = fail
            first = start('a', deadline_ms=150)
            await first.wait_ended()
            second = start('b', deadline_ms=5000)
            await second.wait_ended()
            self.assertEqual(
                ['t0', 't1', 't2', 'end'],
                fakes.describe_frames(second.frames),
            )

        self.run_harness(check, slots=1)

    def test_request_with_expired_lease_is_not_run(self):
        frames = []

        async def check(harness, start):
            running = start('r', online=False, may_start=lambda: False)
            await running.wait_ended()
            frames.extend(fakes.describe_frames(running.frames))
            self.assertEqual([], harness.upstream.started)

        self.run_harness(check)
        self.assertEqual(['OWNERSHIP_LOST:not_run'], frames)

    def test_later_attempt_does_not_attach_to_a_failed_run(self):
        async def check(harness, start):
            running = start('r')
            await trio.sleep(fakes.TOKEN_INTERVAL_S * 1.5)
            harness.upstream.crash()
            await running.wait_ended()
            request = fakes.create_run_request('r', attempt=1)
            self.assertIs(running, harness.registry.find_attachable(request))
            request = fakes.create_run_request('r', attempt=2)
            self.assertIsNone(harness.registry.find_attachable(request))

        self.run_harness(check)

    def test_ended_requests_expire(self):
        async def check(harness, start):
            running = start('r')
            await running.wait_ended()
            await trio.sleep(_request_registry.ENDED_RETENTION_S - 1)
            self.assertIs(running, harness.registry.find('r'))
            await trio.sleep(2)
            self.assertIsNone(harness.registry.find('r'))
            self.assertEqual(0, harness.registry.ended_bytes)

        self.run_harness(check)

    def test_attach_before_the_first_frame(self):
        for from_token, before, position in (
            (0, ['a', 'b'], 0),
            (1, ['b'], 0),
            (2, [], 0),
            (4, [], 2),
        ):
            running = fakes.create_running(resume_tokens=['a', 'b'])
            frames = running.list_frames_before_start(from_token)
            self.assertEqual(before, [frame.text for frame in frames])
            self.assertEqual(position, running.find_position(from_token))

    def test_frame_after_the_last_one_violates_an_invariant(self):
        async def main():
            running = fakes.create_running()
            running.append(relay.EndFrame())
            with testtools.ExpectedException(
                _invariant.InvariantError, 'one_terminal_frame'
            ):
                running.append(
                    relay.FailureFrame(
                        results.Failure(results.ResultCode.INTERNAL, '')
                    )
                )

        trio.run(main)
