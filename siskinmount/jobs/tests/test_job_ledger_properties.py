"""Invariants of jobs under any order of operations, losses and late appends."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount import results
from siskinmount.jobs.tests import scripted_log
from siskinmount.jobs.tests import test_job_ledger

_MEMBERS = 3
_QUOTA = 150
_OUTCOMES = strategies.sampled_from(
    [None, None, scripted_log.REFUSED, scripted_log.LOST, 'late']
)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['accept', 'list', 'list', 'list', 'end', 'late', 'restart']
        ),
        strategies.integers(0, _MEMBERS - 1),
        strategies.sampled_from(['a', 'b', 'c', 'd']),
        strategies.integers(0, 3),
        strategies.booleans(),
    ),
    max_size=24,
)


class _History:
    """Answers to callers, and results that each member has shown."""

    def __init__(self):
        self.accepted = set()
        self.refused = {}
        self.seen_results = {}


async def _do(step, members, log, history):
    """Performs one step and checks that listed results never change."""
    kind, number, job_id, item, _ = step
    member = members[number]
    if kind == 'accept':
        job = test_job_ledger.make_job(job_id, 4)
        outcome = await member.accept(job, quota=_QUOTA, time_s=1.0)
        if outcome is jobs.WriteOutcome.DONE:
            history.accepted.add(job_id)
            waiting = member.table.count_waiting_tokens('r')
            assert waiting <= _QUOTA, waiting
        elif isinstance(outcome, results.Failure):
            history.refused.setdefault(job_id, []).append(outcome.run_state)
    elif kind == 'list':
        operation = jobs.AppendResult(
            job_id,
            jobs.ItemResult(f'i{item}', jobs.ItemState.DONE, f'by {number}'),
            4096,
        )
        member.ledger.submit(operation)
        with trio.move_on_after(2):
            await operation.finished.wait()
    elif kind == 'end':
        await member.ledger.write(jobs.EndJob(job_id, trio.current_time() + 1))
    elif kind == 'late':
        log.apply_late()
    for known in members:
        for known_id, job in known.table.jobs.items():
            listed = [(r.item_id, r.output) for r in job.results]
            before = history.seen_results.get((id(known), known_id), [])
            assert listed[: len(before)] == before
            history.seen_results[(id(known), known_id)] = listed


class JobLedgerPropertiesTest(testtools.TestCase):

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=150, database=None
    )
    @hypothesis.given(_STEPS, strategies.lists(_OUTCOMES, max_size=40))
    def test_invariants_hold(self, steps, outcomes):
        async def main():
            log = scripted_log.ScriptedLog()
            log.outcomes = list(outcomes)
            members = [test_job_ledger.Member(log) for _ in range(_MEMBERS)]
            history = _History()
            async with trio.open_nursery() as nursery:
                for member in members:
                    nursery.start_soon(member.ledger.run)
                for step in steps:
                    if step[0] == 'restart':
                        members[step[1]] = test_job_ledger.Member(log)
                        nursery.start_soon(members[step[1]].ledger.run)
                        continue
                    if not step[4]:
                        await _do(step, members, log, history)
                        continue
                    with trio.move_on_after(0.05):
                        await _do(step, members, log, history)
                log.outcomes = []
                log.apply_late()
                await trio.sleep(10)
                nursery.cancel_scope.cancel()
            views = []
            for member in [*members, test_job_ledger.Member(log)]:
                await member.follower.sync()
                views.append(
                    {
                        job_id: [(r.item_id, r.output) for r in job.results]
                        for job_id, job in member.table.jobs.items()
                    }
                )
            return views, history

        views, history = trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        for view in views[1:]:
            self.assertEqual(views[0], view)
            self.assertEqual(list(views[0]), list(view))
        for listed in views[0].values():
            items = [item for item, _ in listed]
            self.assertEqual(len(set(items)), len(items))
        self.assertLessEqual(history.accepted, set(views[0]))
