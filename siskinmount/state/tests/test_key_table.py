"""Tests of idempotency keys against an in-memory log."""

import random

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import results
from siskinmount import state
from siskinmount.backing_services.tests import fake_log
from siskinmount.backing_services.tests import faulty_log
from siskinmount.backing_services.tests import seeded_run
from siskinmount.state.tests import stream_fixtures


class _Owner:
    """A stream with a key table that runs in a task."""

    def __init__(self, log, writer):
        self.stream = state.create_state_stream(
            'state-0',
            log,
            writer,
            stream_fixtures.limits(
                snapshot_after_records=10, claim_wait_ms=2000
            ),
            lambda vm: True,
            stream_fixtures.clock_ms,
        )
        self.keys = state.create_key_table(self.stream, 3_600_000)
        self.ended = trio.Event()

    async def run(self):
        await self.stream.run()
        self.ended.set()


async def _start(log, nursery, vm='vm-a'):
    owner = _Owner(log, stream_fixtures.new_writer(vm))
    nursery.start_soon(owner.run)
    assert await owner.stream.wait_owned()
    return owner


class KeyTableTest(testtools.TestCase):

    def run_with_log(self, check):
        async def main():
            log = fake_log.FakeLog()
            async with trio.open_nursery() as nursery:
                await check(log, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_outcome_survives_a_change_of_owner(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            started = await owner.keys.begin('k', 'c', 'f')
            again = await owner.keys.begin('k', 'c', 'f')
            self.assertIsInstance(again, state.InProgress)
            await owner.keys.finish('k', 'c', started.attempt, b'booked')
            owner.stream.resign()
            await owner.ended.wait()
            successor = await _start(log, nursery, 'vm-b')
            known = await successor.keys.begin('k', 'c', 'f')
            self.assertEqual(b'booked', known.outcome)

        self.run_with_log(check)

    def test_outcome_stays_unknown_after_a_crash_before_it_is_recorded(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            started = await owner.keys.begin('k', 'c', 'f')
            self.assertIsInstance(started, state.Started)
            owner.stream.resign()
            await owner.ended.wait()
            for vm in ('vm-b', 'vm-c'):
                successor = await _start(log, nursery, vm)
                for _ in range(2):
                    answer = await successor.keys.begin('k', 'c', 'f')
                    self.assertIsInstance(answer, state.UnknownOutcome)
                successor.stream.resign()
                await successor.ended.wait()

        self.run_with_log(check)

    def test_remote_holder_finishes_at_the_next_owner(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            started = await owner.keys.begin('k', 'c', 'f', 'vm-x/7')
            lost = await owner.keys.begin('k2', 'c', 'f', 'vm-y/8')
            self.assertIsInstance(lost, state.Started)
            owner.stream.resign()
            await owner.ended.wait()
            successor = await _start(log, nursery, 'vm-b')
            successor.keys.drop_holder('vm-y/8')
            running = await successor.keys.begin('k', 'c', 'f')
            self.assertIsInstance(running, state.InProgress)
            unknown = await successor.keys.begin('k2', 'c', 'f')
            self.assertIsInstance(unknown, state.UnknownOutcome)
            await successor.keys.finish('k', 'c', started.attempt, b'late')
            known = await successor.keys.begin('k', 'c', 'f')
            self.assertEqual(b'late', known.outcome)

        self.run_with_log(check)

    def test_key_belongs_to_caller_and_content(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            await owner.keys.begin('k', 'c', 'f')
            other = await owner.keys.begin('k', 'other', 'g')
            self.assertIsInstance(other, state.Started)
            reused = await owner.keys.begin('k', 'c', 'g')
            self.assertEqual(
                results.ResultCode.IDEMPOTENCY_KEY_REUSED, reused.code
            )
            self.assertIs(results.RunState.NOT_RUN, reused.run_state)

        self.run_with_log(check)

    def test_abandoned_key_is_free_again(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            started = await owner.keys.begin('k', 'c', 'f')
            await owner.keys.abandon('k', 'c', started.attempt)
            again = await owner.keys.begin('k', 'c', 'f')
            self.assertIsInstance(again, state.Started)

        self.run_with_log(check)

    def test_intent_committed_after_its_failure_releases_the_key(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            log.held = trio.Event()
            refused = await owner.keys.begin('k', 'c', 'f')
            self.assertEqual(
                results.ResultCode.LOG_APPEND_UNKNOWN, refused.code
            )
            self.assertIs(results.RunState.NOT_RUN, refused.run_state)
            log.held.set()
            await trio.sleep(10)
            again = await owner.keys.begin('k', 'c', 'f')
            self.assertIsInstance(again, state.Started)

        self.run_with_log(check)

    def test_resend_while_an_intent_is_in_flight_is_not_run_or_started(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            log.held = trio.Event()
            answers = []

            async def begin():
                answers.append(await owner.keys.begin('k', 'c', 'f'))

            await begin()
            nursery.start_soon(begin)
            await trio.sleep(1)
            log.held.set()
            await trio.sleep(10)
            await begin()
            for answer in answers[:2]:
                self.assertIs(results.RunState.NOT_RUN, answer.run_state)
            self.assertIsInstance(answers[2], state.Started)

        self.run_with_log(check)

    def test_keys_are_dropped_after_their_retention(self):
        async def check(log, nursery):
            owner = await _start(log, nursery)
            nursery.start_soon(owner.keys.run)
            started = await owner.keys.begin('k', 'c', 'f')
            await owner.keys.finish('k', 'c', started.attempt, b'x')
            await trio.sleep(3000)
            self.assertEqual(1, len(owner.keys))
            await trio.sleep(1000)
            self.assertEqual(0, len(owner.keys))

        self.run_with_log(check)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(strategies.integers(0, 1 << 32))
    def test_requests_run_at_most_once(self, seed):
        run = _ResendRun(seed)
        seeded_run.run(seed, run.main)
        for key, effects in run.effects.items():
            self.assertTrue(len(effects) <= 1, (key, effects))
        for key, outcome in run.known:
            self.assertEqual([outcome], run.effects[key])


class _ResendRun:
    """Callers resend requests while owners freeze and the log fails."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.log = fake_log.FakeLog()
        self.effects = {}
        self.known = []
        self.owners = {}

    async def main(self):
        views = [
            faulty_log.FaultyLog(self.log, self.generator, 0.1)
            for _ in range(2)
        ]
        async with trio.open_nursery() as nursery:
            for number, view in enumerate(views):
                nursery.start_soon(self.run_owner, number, view)
            await trio.sleep(1)
            for step in range(60):
                view = self.generator.choice(views)
                for _ in range(4):
                    nursery.start_soon(self.send, f'key-{step // 6}')
                match self.generator.randrange(8):
                    case 0:
                        view.freeze()
                    case 1 | 2:
                        view.thaw()
                    case 3:
                        view.deliver_late()
                    case 4:
                        self.owners[views.index(view)].stream.resign()
                await trio.sleep(self.generator.uniform(0, 1))
            nursery.cancel_scope.cancel()

    async def run_owner(self, number, view):
        while True:
            writer = stream_fixtures.new_writer(f'vm-{number}')
            self.owners[number] = _Owner(view, writer)
            await self.owners[number].run()
            await trio.sleep(self.generator.uniform(0, 1))

    async def send(self, key):
        owner = self.generator.choice(list(self.owners.values()))
        answer = await owner.keys.begin(key, 'c', 'f')
        if isinstance(answer, state.KnownOutcome):
            self.known.append((key, answer.outcome))
        if not isinstance(answer, state.Started):
            return
        outcome = answer.attempt.encode()
        self.effects.setdefault(key, []).append(outcome)
        await trio.sleep(self.generator.uniform(0, 2))
        await owner.keys.finish(key, 'c', answer.attempt, outcome)
