"""Tests of one term of a state stream against an in-memory log."""

import testtools
import trio
import trio.testing

from siskinmount import results
from siskinmount import state
from siskinmount.backing_services.tests import fake_log
from siskinmount.state import records_pb2
from siskinmount.state.tests import stream_fixtures

NAME = 'state-0'


def _record(text):
    return records_pb2.Record(
        key_dropped=records_pb2.KeyDropped(caller='c', key=text)
    )


class StateStreamTest(testtools.TestCase):

    def run_with_log(self, check):
        async def main():
            log = fake_log.FakeLog()
            with trio.fail_after(3600):
                async with trio.open_nursery() as nursery:
                    await check(log, nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_commits_in_order_and_replays(self):
        async def check(log, nursery):
            first = await stream_fixtures.start_owner(log, nursery, 'vm-a')
            for text in ('one', 'two', 'three'):
                committed = await first.stream.commit(_record(text))
                self.assertIsInstance(committed, state.Committed)
            first.stream.resign()
            await first.ended.wait()
            self.assertIs(state.TermEnd.RELEASED, first.end)
            second = await stream_fixtures.start_owner(log, nursery, 'vm-b')
            self.assertEqual(['one', 'two', 'three'], second.texts)

        self.run_with_log(check)

    def test_groups_records_into_one_append(self):
        async def check(log, nursery):
            owner = await stream_fixtures.start_owner(log, nursery, 'vm-a')
            before = log.append_count
            async with trio.open_nursery() as committers:
                for number in range(50):
                    committers.start_soon(
                        owner.stream.commit, _record(str(number))
                    )
            self.assertEqual(50, len(owner.texts))
            self.assertTrue(log.append_count - before <= 2)

        self.run_with_log(check)

    def test_append_with_lost_answer_is_repeated_and_accepted_once(self):
        async def check(log, nursery):
            owner = await stream_fixtures.start_owner(log, nursery, 'vm-a')
            before = log.append_count
            log.answers_lost = 2
            committed = await owner.stream.commit(_record('once'))
            self.assertIsInstance(committed, state.Committed)
            self.assertEqual(before + 1, committed.position.offset)
            await trio.sleep(10)
            self.assertEqual(before + 3, log.append_count)
            self.assertEqual(['once'], owner.texts)

        self.run_with_log(check)

    def test_records_of_a_frozen_owner_are_rejected_after_another_claim(self):
        async def check(log, nursery):
            frozen = await stream_fixtures.start_owner(
                log, nursery, 'vm-a', is_live=lambda vm: True
            )
            view = stream_fixtures.FrozenView(log)
            frozen.stream._log = view
            view.freeze()
            outcomes = []

            async def commit_late():
                outcomes.append(await frozen.stream.commit(_record('late')))

            nursery.start_soon(commit_late)
            second = await stream_fixtures.start_owner(
                log, nursery, 'vm-b', is_live=lambda vm: vm != 'vm-a'
            )
            await second.stream.commit(_record('valid'))
            view.thaw()
            await frozen.ended.wait()
            await trio.sleep(10)
            self.assertIs(state.TermEnd.EPOCH_LOST, frozen.end)
            self.assertEqual(
                results.ResultCode.OWNERSHIP_LOST, outcomes[0].code
            )
            self.assertIs(results.RunState.NOT_RUN, outcomes[0].run_state)
            self.assertEqual(['valid'], second.texts)

        self.run_with_log(check)

    def test_one_of_several_claimers_becomes_owner(self):
        async def check(log, nursery):
            owners = [
                await stream_fixtures.start(log, nursery, f'vm-{number}')
                for number in range(3)
            ]
            await trio.sleep(60)
            owned = [owner for owner in owners if owner.stream.is_owned]
            self.assertEqual(1, len(owned))

        self.run_with_log(check)

    def test_outage_refuses_commits_and_keeps_queued_records(self):
        async def check(log, nursery):
            owner = await stream_fixtures.start_owner(log, nursery, 'vm-a')
            log.is_down = True
            pending = owner.stream.enqueue(_record('kept'))
            await trio.sleep(10)
            refused = await owner.stream.commit(_record('refused'))
            self.assertEqual(results.ResultCode.LOG_UNAVAILABLE, refused.code)
            self.assertIs(results.RunState.NOT_RUN, refused.run_state)
            self.assertIsNotNone(refused.retry_after_ms)
            log.is_down = False
            await pending.settled.wait()
            await trio.sleep(10)
            self.assertEqual(['kept'], owner.texts)

        self.run_with_log(check)

    def test_unanswered_commit_is_unknown_and_may_still_be_accepted(self):
        async def check(log, nursery):
            owner = await stream_fixtures.start_owner(log, nursery, 'vm-a')
            log.held = trio.Event()
            outcome = await owner.stream.commit(_record('slow'))
            self.assertIs(results.RunState.UNKNOWN, outcome.run_state)
            log.held.set()
            await trio.sleep(10)
            self.assertEqual(['slow'], owner.texts)

        self.run_with_log(check)

    def test_hanging_read_does_not_block_commits(self):
        async def check(log, nursery):
            view = stream_fixtures.SilentReadLog(log)
            owner = await stream_fixtures.start_owner(view, nursery, 'vm-a')
            for number in range(3):
                await trio.sleep(10)
                view.silence_next_read = True
                await trio.sleep(10)
                outcome = await owner.stream.commit(_record(str(number)))
                self.assertIsInstance(outcome, state.Committed)

        self.run_with_log(check)

    def test_replays_from_snapshot_after_expiry(self):
        async def check(log, nursery):
            limits = stream_fixtures.limits(snapshot_after_records=20)
            first = await stream_fixtures.start_owner(
                log, nursery, 'vm-a', limits
            )
            for number in range(100):
                await first.stream.commit(_record(str(number)))
            first.stream.resign()
            await first.ended.wait()
            log.expire_before(NAME, len(log.records(NAME)) - 45)
            second = await stream_fixtures.start_owner(
                log, nursery, 'vm-b', limits
            )
            self.assertEqual(
                [str(number) for number in range(100)], second.texts
            )

        self.run_with_log(check)

    def test_reader_behind_retention_ends_its_term(self):
        async def check(log, nursery):
            limits = stream_fixtures.limits(snapshot_after_records=20)
            owner = await stream_fixtures.start_owner(
                log, nursery, 'vm-a', limits
            )
            slow = await stream_fixtures.start(
                log,
                nursery,
                'vm-b',
                stream_fixtures.limits(claim_wait_ms=3_000_000),
                lambda vm: True,
            )
            await trio.sleep(1)
            view = stream_fixtures.FrozenView(log)
            slow.stream._log = view
            view.freeze()
            for number in range(100):
                await owner.stream.commit(_record(str(number)))
            log.expire_before(NAME, len(log.records(NAME)) - 45)
            view.thaw()
            await slow.ended.wait()
            self.assertIs(state.TermEnd.GAP, slow.end)

        self.run_with_log(check)
