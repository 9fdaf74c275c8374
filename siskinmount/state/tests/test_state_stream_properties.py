"""Randomised runs of several claimers of one stream over a faulty log."""

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
from siskinmount.state import records_pb2
from siskinmount.state.tests import stream_fixtures

PROCESS_COUNT = 3
STEPS = 60


class _Process:
    """Repeatedly claims the stream and commits numbered records."""

    def __init__(self, run, number):
        self.view = faulty_log.FaultyLog(run.log, run.generator)
        self.writer = stream_fixtures.new_writer(f'vm-{number}')
        self.term = None
        self._run = run

    async def run(self):
        while True:
            stream = state.create_state_stream(
                'state-0',
                self.view,
                self.writer,
                self._run.limits,
                lambda vm: self._run.generator.random() < 0.98,
                stream_fixtures.clock_ms,
            )
            state_machine = stream_fixtures.TextList()
            stream.add_state_machine(state_machine)
            self.term = stream_fixtures.OwnershipTerm(stream, state_machine)
            await self.term.run()
            await trio.sleep(self._run.generator.uniform(0, 2))

    async def commit(self, text):
        record = records_pb2.Record(
            key_dropped=records_pb2.KeyDropped(caller='c', key=text)
        )
        outcome = await self.term.stream.commit(record)
        if isinstance(outcome, state.Committed):
            self._run.committed.add(text)
        elif outcome.run_state is results.RunState.NOT_RUN:
            self._run.refused.add(text)


class _Run:
    """One randomised run."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.log = fake_log.FakeLog()
        self.committed = set()
        self.refused = set()
        self.limits = stream_fixtures.limits(
            snapshot_after_records=15, claim_wait_ms=4000
        )

    async def main(self):
        async with trio.open_nursery() as nursery:
            processes = [
                _Process(self, number) for number in range(PROCESS_COUNT)
            ]
            for process in processes:
                nursery.start_soon(process.run)
            await trio.sleep(1)
            for step in range(STEPS):
                await self._step(step, processes, nursery)
            for process in processes:
                process.view.thaw()
                process.view.fault_share = 0
                process.view.deliver_late()
            self.log.is_down = False
            await trio.sleep(60)
            nursery.cancel_scope.cancel()

    async def _step(self, step, processes, nursery):
        process = self.generator.choice(processes)
        action = self.generator.choice(
            ('commit',) * 6
            + ('freeze', 'thaw', 'outage', 'resign', 'expire', 'late')
        )
        if action == 'commit':
            owners = [
                owner for owner in processes if owner.term.stream.is_owned
            ]
            for number in range(9):
                committer = self.generator.choice(owners or processes)
                nursery.start_soon(committer.commit, f'{step}.{number}')
        elif action == 'freeze':
            process.view.freeze()
        elif action == 'thaw':
            process.view.thaw()
        elif action == 'outage':
            self.log.is_down = not self.log.is_down
        elif action == 'resign':
            process.term.stream.resign()
        elif action == 'late':
            process.view.deliver_late()
        elif action == 'expire':
            self.expire()
        await trio.sleep(self.generator.uniform(0, 1.5))

    def expire(self):
        """Expires the records before the newest complete snapshot."""
        anchors = [0]
        for data in self.log.records('state-0'):
            envelope = records_pb2.Envelope.FromString(data)
            anchors.append(envelope.anchor.replay_offset)
        if max(anchors) > 1:
            self.log.expire_before('state-0', max(anchors))


class StateStreamPropertiesTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.integers(0, 1 << 32))
    def test_reported_commit_outcomes_match_the_replayed_state(self, seed):
        run = _Run(seed)
        seeded_run.run(seed, run.main)
        texts = trio.run(
            self.replay,
            run.log,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        self.assertEqual(len(texts), len(set(texts)))
        self.assertEqual(set(), run.committed - set(texts))
        self.assertEqual(set(), run.refused & set(texts))

    async def replay(self, log):
        """Returns the texts that a newly started process replays."""
        async with trio.open_nursery() as nursery:
            reader = await stream_fixtures.start_owner(log, nursery, 'vm-r')
            nursery.cancel_scope.cancel()
        return reader.texts
