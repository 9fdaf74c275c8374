"""Tests of a request's way through gate and upstream, on a mock clock."""

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


class Bench:
    """A runner with all that it needs."""

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
            note_gap=lambda gap_s, count: None,
        )


class RequestRunnerTest(testtools.TestCase):

    def run_bench(self, check, slots=2):
        async def main():
            bench = Bench(slots)
            await bench.monitor.check()
            async with trio.open_nursery() as nursery:

                def start(request_id, online=True, tokens=3, **keywords):
                    running = bench.registry.add(
                        fakes.create_run_request(
                            request_id, online, tokens, **keywords
                        )
                    )
                    nursery.start_soon(bench.runner.run, running)
                    return running

                await check(bench, start)
                nursery.cancel_scope.cancel()
            self.assertEqual(0, bench.upstream.open_streams)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def run_fault(self, tokens, fault, **keywords):
        """Returns the frames of a request to which a fault happens."""
        frames = []

        async def check(bench, start):
            running = start('r', tokens=tokens, **keywords)
            await trio.sleep(fakes.TOKEN_S * 1.5)
            fault(bench, running)
            await running.wait_ended()
            frames.extend(fakes.describe_frames(running.frames))

        self.run_bench(check)
        return frames

    def test_whole_answer(self):
        frames = self.run_fault(2, lambda bench, running: None)
        self.assertEqual(['t0', 't1', 'end'], frames)

    def test_death_of_the_process(self):
        frames = self.run_fault(3, lambda bench, running: bench.upstream.die())
        self.assertEqual(['t0', 'UPSTREAM_LOST:ran'], frames)

    def test_death_and_quick_restart(self):
        def restart(bench, running):
            bench.upstream.die()
            bench.upstream.alive = True

        self.assertEqual(
            ['t0', 'UPSTREAM_LOST:ran'], self.run_fault(3, restart)
        )

    def test_death_before_the_first_token_is_unknown(self):
        async def check(bench, start):
            running = start('r')
            await trio.sleep(fakes.TOKEN_S / 2)
            bench.upstream.die()
            await running.wait_ended()
            self.assertEqual(
                ['UPSTREAM_LOST:unknown'],
                fakes.describe_frames(running.frames),
            )

        self.run_bench(check)

    def test_silent_connection_is_replaced(self):
        def cut(bench, running):
            bench.upstream.cuts += 1

        self.assertEqual(['t0', 't1', 't2', 'end'], self.run_fault(3, cut))

    def test_silent_engine(self):
        def freeze(bench, running):
            bench.upstream.frozen = True

        self.assertEqual(
            ['t0', 'UPSTREAM_SILENT:ran'], self.run_fault(3, freeze)
        )

    def test_one_slow_probe_does_not_refuse_requests(self):
        async def check(bench, start):
            bench.upstream.frozen = True
            reachable = []
            for _ in range(2):
                await bench.monitor.check()
                reachable.append(bench.monitor.reachable)
            bench.upstream.frozen = False
            await bench.monitor.check()
            reachable.append(bench.monitor.reachable)
            bench.upstream.die()
            await bench.monitor.check()
            reachable.append(bench.monitor.reachable)
            self.assertEqual([True, False, True, False], reachable)

        self.run_bench(check)

    def test_deadline(self):
        frames = self.run_fault(9, lambda bench, running: None, deadline_ms=250)
        self.assertEqual(['t0', 't1', 'DEADLINE_EXCEEDED:ran'], frames)

    def test_stop_reasons(self):
        reasons = _running_request.StopReason
        for reason, expected in (
            (reasons.CANCELLED, 'REQUEST_CANCELLED:ran'),
            (reasons.ORPHANED, 'REQUEST_CANCELLED:ran'),
            (reasons.LEAVING, 'BATCH_YIELDED:ran'),
        ):
            frames = self.run_fault(
                9, lambda bench, running, reason=reason: running.stop(reason)
            )
            self.assertEqual(['t0', expected], frames)

    def test_unreachable_engine_is_not_run_and_forgotten(self):
        async def check(bench, start):
            bench.upstream.die()
            running = start('r')
            await running.wait_ended()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(
                ['UPSTREAM_UNREACHABLE:not_run'],
                fakes.describe_frames(running.frames),
            )
            self.assertIsNone(bench.registry.find('r'))
            self.assertFalse(bench.monitor.reachable)
            bench.upstream.alive = True
            await bench.monitor.check()
            self.assertTrue(bench.monitor.reachable)

        self.run_bench(check)

    def test_preemption_keeps_tokens(self):
        async def check(bench, start):
            batch = start('b', online=False, tokens=9)
            await trio.sleep(fakes.TOKEN_S * 2.5)
            online = start('o')
            await batch.wait_ended()
            self.assertEqual(
                ['t0', 't1', 'BATCH_YIELDED:ran'],
                fakes.describe_frames(batch.frames),
            )
            self.assertEqual(['t0', 't1'], batch.collect_tokens())
            self.assertEqual(['b'], bench.upstream.cancelled)
            await online.wait_ended()
            resumed = start('b', online=False, resume_tokens=['t0', 't1'])
            await resumed.wait_ended()
            self.assertEqual(
                ['t2', 'end'], fakes.describe_frames(resumed.frames)
            )
            self.assertEqual(('b', 2), bench.upstream.started[-1])

        self.run_bench(check, slots=1)

    def test_lapsed_lease_is_not_run(self):
        frames = []

        async def check(bench, start):
            running = start('r', online=False, may_start=lambda: False)
            await running.wait_ended()
            frames.extend(fakes.describe_frames(running.frames))
            self.assertEqual([], bench.upstream.started)

        self.run_bench(check)
        self.assertEqual(['OWNERSHIP_LOST:not_run'], frames)

    def test_failed_run_is_no_answer_for_a_later_attempt(self):
        async def check(bench, start):
            running = start('r')
            await trio.sleep(fakes.TOKEN_S * 1.5)
            bench.upstream.die()
            await running.wait_ended()
            request = fakes.create_run_request('r', attempt=1)
            self.assertIs(running, bench.registry.find_attachable(request))
            request = fakes.create_run_request('r', attempt=2)
            self.assertIsNone(bench.registry.find_attachable(request))

        self.run_bench(check)

    def test_ended_requests_expire(self):
        async def check(bench, start):
            running = start('r')
            await running.wait_ended()
            await trio.sleep(_request_registry.KEEP_ENDED_S - 1)
            self.assertIs(running, bench.registry.find('r'))
            await trio.sleep(2)
            self.assertIsNone(bench.registry.find('r'))
            self.assertEqual(0, bench.registry.ended_bytes)

        self.run_bench(check)

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

    def test_frame_after_the_end_breaks_an_invariant(self):
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
