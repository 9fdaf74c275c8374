"""Views of several members of one log of jobs against a view loaded afresh."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount.jobs.tests import test_job_ledger
from siskinmount.keyed_log.tests import unsteady_log

_MEMBERS = 3
_JOB_IDS = ('a', 'b')
#: Small, so that jobs and results take several records and several calls.
_MAX_RECORD_BYTES = 700
_MAX_CALL_BYTES = 600
_DELAYS_S = strategies.sampled_from([0, 0.004, 0.03, 0.2, 0.7, 1.4])


def _list_faults(kinds):
    return strategies.lists(
        strategies.builds(
            unsteady_log.Fault, strategies.sampled_from(kinds), _DELAYS_S
        ),
        max_size=24,
    )


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['accept', 'accept', 'list', 'list', 'list', 'list', 'end']
            + ['drop', 'drop', 'drop history', 'drop history', 'restart']
        ),
        strategies.integers(0, _MEMBERS - 1),
        strategies.sampled_from(_JOB_IDS),
        strategies.integers(0, 2),
        strategies.sampled_from([1, 300, 600, 900]),
        strategies.sampled_from([0, 0, 0.002, 0.005, 0.05, 0.2, 0.4]),
    ),
    min_size=8,
    max_size=40,
)


class _Member:
    """A follower, a table and a ledger, and the operations submitted."""

    def __init__(self, log, number, dropped):
        self.number = number
        self.dropped = dropped
        self.table = jobs.create_job_table()
        self.follower = keyed_log.create_log_follower(
            'jobs', log, self.table.apply_record
        )
        self.ledger = jobs.create_job_ledger(
            log, self.follower, self.table, _MAX_CALL_BYTES
        )
        self.operations = []
        self.scope = trio.CancelScope()

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.follower.run)
                nursery.start_soon(self.ledger.run)

    def submit(self, operation):
        self.operations.append(operation)
        self.ledger.submit(operation)

    def perform(self, step):
        """Submits the operation of a step."""
        kind, _, job_id, item, size, _ = step
        deadline_s = trio.current_time() + 4
        if kind == 'accept':
            # Each member stamps the job by its own clock.
            job = test_job_ledger.make_job(job_id, 3, body=b'b' * (size // 3))
            job.accepted_at_ms = 1000 + self.number
            self.submit(jobs.AcceptJob(job, 0, _MAX_RECORD_BYTES, deadline_s))
        elif kind == 'list':
            output = f'{self.number}' * size
            result = jobs.ItemResult(f'i{item}', jobs.ItemState.DONE, output)
            self.submit(jobs.AppendResult(job_id, result, _MAX_RECORD_BYTES))
        elif kind == 'end':
            self.submit(jobs.EndJob(job_id, deadline_s))
        elif kind == 'drop':
            if job_id in self.table.jobs:
                self.dropped.add(job_id)
                self.submit(jobs.EndJob(job_id, deadline_s))
                self.submit(jobs.DropJob(job_id))


def _describe(table):
    """Returns what a table holds of each job, in the order of jobs."""
    rows = []
    for job in table.jobs.values():
        rows.append(
            (
                job.job_id,
                job.offset,
                job.accepted_at_ms,
                [(item.item_id, item.body) for item in job.items],
                [(found.item_id, found.output) for found in job.results],
                list(job.open_items),
                job.is_ended,
            )
        )
    return rows


class JobViewsPropertiesTest(testtools.TestCase):

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=100, database=None
    )
    @hypothesis.given(
        _STEPS,
        _list_faults([None, None, None, 'refused', 'lost', 'late']),
        _list_faults([None, None, None, 'refused', 'lost']),
        _list_faults([None, None, None, None, 'refused', 'lost']),
        strategies.sampled_from([1, 2, 3, 100]),
    )
    def test_members_agree_with_a_fresh_load(
        self, steps, append_faults, read_faults, page_faults, page_keys
    ):
        async def main():
            async with trio.open_nursery() as nursery:
                log = unsteady_log.UnsteadyLog(nursery)
                for job_id in _JOB_IDS:
                    first = _Member(log, 0, set())
                    nursery.start_soon(first.run)
                    first.perform(('accept', 0, job_id, 0, 900, 0))
                await trio.sleep(1)
                log.append_faults = list(append_faults)
                log.read_faults = list(read_faults)
                log.page_faults = list(page_faults)
                log.page_keys = page_keys
                members = []
                dropped = set()
                for number in range(_MEMBERS):
                    members.append(_Member(log, number, dropped))
                    nursery.start_soon(members[number].run)
                for step in steps:
                    number = step[1]
                    if step[0] == 'drop history':
                        log.drop_history(len(log.records) - step[3])
                    elif step[0] == 'restart':
                        members[number].scope.cancel()
                        members[number] = _Member(log, number, dropped)
                        nursery.start_soon(members[number].run)
                    else:
                        members[number].perform(step)
                    await trio.sleep(step[5])
                await trio.sleep(5)
                log.clear_faults()
                await trio.sleep(30)
                fresh = _Member(log, _MEMBERS, dropped)
                await fresh.follower.sync()
                self._check(log, members, fresh)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _check(self, log, members, fresh):
        expected = _describe(fresh.table)
        for key in log.list_newest_values():
            kind, job_id = key.partition('#')[0].split('/')[:2]
            if kind != 'job' and '#' not in key:
                self.assertIn(job_id, fresh.table.jobs, key)
        for member in members:
            self.assertEqual(len(log.records), member.follower.next_offset)
            self.assertEqual(expected, _describe(member.table))
            for operation in member.operations:
                self.assertIsNotNone(operation.outcome, operation)
                if operation.outcome is not jobs.WriteOutcome.DONE:
                    continue
                if operation.job_id in fresh.dropped:
                    continue
                job = fresh.table.jobs[operation.job_id]
                if isinstance(operation, jobs.AppendResult):
                    self.assertNotIn(operation.result.item_id, job.open_items)
                elif isinstance(operation, jobs.EndJob):
                    self.assertTrue(job.is_ended)
        for job in fresh.table.jobs.values():
            listed = [found.item_id for found in job.results]
            self.assertEqual(len(set(listed)), len(listed))
