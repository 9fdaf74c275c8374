"""Property tests with random arrivals, cancellations and upstream faults."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _gate_load
from siskinmount.sidecar import _running_request
from siskinmount.sidecar.tests import fakes
from siskinmount.sidecar.tests import test_request_runner

SLOTS = 3
IDS = [f'r{number}' for number in range(10)]


class Arrival:

    def __init__(self, request_id, online, solo, prompt_tokens):
        self.request_id = request_id
        self.online = online
        self.solo = solo
        self.prompt = 'x' * 4 * prompt_tokens


class Wait:

    def __init__(self, duration_s):
        self.duration_s = duration_s


class Cancel:

    def __init__(self, request_id):
        self.request_id = request_id


class Fault:

    def __init__(self, kind):
        self.kind = kind


arrivals = strategies.builds(
    Arrival,
    strategies.sampled_from(IDS),
    strategies.booleans(),
    strategies.sampled_from([False] * 7 + [True]),
    strategies.sampled_from([1, 10, 5000]),
)
waits = strategies.builds(Wait, strategies.sampled_from([0.05, 0.3, 0.3, 3.0]))
actions = strategies.one_of(
    arrivals,
    arrivals,
    arrivals,
    waits,
    waits,
    strategies.builds(Cancel, strategies.sampled_from(IDS)),
    strategies.builds(
        Fault, strategies.sampled_from(['crash', 'down', 'cut', 'bound'])
    ),
)


class Run:
    """Applies actions and checks the invariants after each."""

    def __init__(self, case, nursery, policy):
        self.case = case
        self.nursery = nursery
        self.policy = policy
        self.bench = test_request_runner.RunnerHarness(SLOTS, policy)
        self.runs = []

    async def carry_out(self, action):
        bench = self.bench
        if isinstance(action, Wait):
            await trio.sleep(action.duration_s)
        elif isinstance(action, Arrival):
            self.add_arrival(action)
        elif isinstance(action, Cancel):
            running = bench.registry.find(action.request_id)
            if running is not None:
                running.stop(_running_request.StopReason.CANCELLED)
        elif action.kind == 'crash':
            bench.upstream.crash()
            bench.upstream.alive = True
        elif action.kind == 'down':
            bench.upstream.crash()
            await trio.sleep(0.2)
            bench.upstream.alive = True
        elif action.kind == 'cut':
            bench.upstream.cut_count += 1
        else:
            bench.gate.load.batch_slots_beside_online = 1
        await trio.testing.wait_all_tasks_blocked()
        self.check()

    def add_arrival(self, action):
        known = self.bench.registry.find(action.request_id)
        attempt = 1
        if known is not None:
            attempt = known.request.attempt + 1
        request = fakes.create_run_request(
            action.request_id,
            action.online,
            9,
            solo=action.solo,
            prompt=action.prompt,
            attempt=attempt,
        )
        if self.bench.registry.find_attachable(request) is not None:
            return
        running = self.bench.registry.add(request)
        self.runs.append(running)
        self.nursery.start_soon(self.bench.runner.run, running)

    def check(self):
        tickets = self.bench.gate._running
        running = [
            ticket
            for ticket in tickets
            if ticket.state is _gate_load.TicketState.RUNNING
        ]
        if self.policy is not configuration.GatePolicy.PASS_THROUGH:
            self.case.assertLessEqual(len(running), SLOTS)
        if any(ticket.solo for ticket in tickets):
            self.case.assertEqual(1, len(tickets))
        waiting = self.bench.gate._waiting
        shares_slots = self.policy is not configuration.GatePolicy.STATIC_SPLIT
        online_waits = shares_slots and any(t.online for t in waiting)
        if online_waits and len(tickets) < SLOTS:
            solos = [ticket.solo for ticket in (*tickets, *waiting)]
            self.case.assertIn(True, solos, 'an online request waits idly')
        active = [run.request.request_id for run in self.runs if not run.ended]
        self.case.assertEqual(len(set(active)), len(active))

    def check_end(self):
        gate = self.bench.gate
        self.case.assertEqual(0, gate.count_running())
        self.case.assertEqual(0, gate.count_waiting())
        self.case.assertEqual(0, self.bench.upstream.open_streams)
        for run in self.runs:
            self.check_answer(run)

    def check_answer(self, run):
        """Checks that an answer is complete or its failure's run state true."""
        last = run.frames[-1]
        texts = [
            frame.text
            for frame in run.frames
            if isinstance(frame, relay.TokenFrame)
        ]
        self.case.assertEqual([f't{n}' for n in range(len(texts))], texts)
        if isinstance(last, relay.EndFrame):
            self.case.assertEqual(9, len(texts))
            return
        started = [
            start[0]
            for start in self.bench.upstream.started
            if start[0] == run.request.request_id
        ]
        if last.failure.run_state is results.RunState.NOT_RUN:
            self.case.assertFalse(run.sent_to_upstream)
        else:
            self.case.assertNotEqual([], started)


class GatePropertiesTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(actions, min_size=20, max_size=60),
        strategies.sampled_from(list(configuration.GatePolicy)),
    )
    def test_every_request_ends_once(self, steps, policy):
        async def main():
            async with trio.open_nursery() as nursery:
                run = Run(self, nursery, policy)
                await run.bench.monitor.check()
                for step in steps:
                    await run.carry_out(step)
                run.bench.gate.close()
            run.check_end()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
