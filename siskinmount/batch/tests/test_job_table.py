"""Tests of job state built from records."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import state
from siskinmount.batch import _job_item_queue
from siskinmount.batch import _job_table
from siskinmount.batch import _lease_table
from siskinmount.state import records_pb2

ITEM_COUNT = 6
DONE = records_pb2.ITEM_OUTCOME_DONE
UNKNOWN = records_pb2.ITEM_OUTCOME_UNKNOWN


def _texts(first_index, count, upload='u'):
    return records_pb2.Record(
        item_texts=records_pb2.ItemTexts(
            job='j',
            upload=upload,
            first_index=first_index,
            texts=[b'{}'] * count,
        )
    )


def _submitted(upload='u', item_count=ITEM_COUNT):
    return records_pb2.Record(
        job_submitted=records_pb2.JobSubmitted(
            job='j', upload=upload, caller='c', item_count=item_count
        )
    )


def _cancelled():
    return records_pb2.Record(
        job_cancelled=records_pb2.JobCancelled(job='j', at_ms=9)
    )


def _started(index, lease='l'):
    return records_pb2.Record(
        item_started=records_pb2.ItemStarted(job='j', index=index, lease=lease)
    )


def _returned(index, lease='l', tokens=()):
    return records_pb2.Record(
        item_returned=records_pb2.ItemReturned(
            job='j', index=index, lease=lease, resume_tokens=tokens
        )
    )


def _failed(index, failures):
    return records_pb2.Record(
        item_attempt_failed=records_pb2.ItemAttemptFailed(
            job='j', index=index, failures=failures
        )
    )


def _ended(index, outcome=DONE):
    return records_pb2.Record(
        item_ended=records_pb2.ItemEnded(
            job='j', index=index, outcome=outcome, at_ms=5
        )
    )


def _moved(index):
    return records_pb2.Record(
        item_results_moved=records_pb2.ItemResultsMoved(
            job='j', results=[records_pb2.ItemEnded(job='j', index=index)]
        )
    )


SUBMISSION = (_texts(0, 4), _texts(4, 2), _submitted())

RECORDS = (
    *SUBMISSION,
    _texts(0, 4),
    _texts(4, 2),
    _submitted(),
    _cancelled(),
    *(_started(index) for index in range(3)),
    *(_returned(index) for index in range(2)),
    _returned(2, tokens=['a', 'b']),
    *(_failed(index, 1) for index in range(3)),
    *(_ended(index) for index in range(ITEM_COUNT)),
    _ended(1, UNKNOWN),
    *(_moved(index) for index in range(3)),
    records_pb2.Record(job_forgotten=records_pb2.JobForgotten(job='j')),
)


def _apply(records, table=None, first_offset=1):
    table = table or _job_table.JobTable()
    for offset, record in enumerate(records, start=first_offset):
        table.apply(record, state.Position(offset, offset % 3))
    return table


class JobTableTest(testtools.TestCase):

    def test_first_end_of_an_item_counts(self):
        table = _apply((*SUBMISSION, _ended(2), _ended(2, UNKNOWN)))
        job = table.jobs['j']
        self.assertEqual(DONE, job.outcome_of(2))
        self.assertEqual([5, 1, 0, 0], job.counts)
        self.assertEqual(4, job.result_position(2).offset)

    def test_no_item_ends_after_cancellation(self):
        table = _apply((*SUBMISSION, _ended(0), _cancelled(), _ended(1)))
        job = table.jobs['j']
        self.assertEqual([5, 1, 0, 0], job.counts)
        self.assertFalse(job.is_active)

    def test_finished_job_cannot_be_cancelled(self):
        ends = [_ended(index) for index in range(ITEM_COUNT)]
        job = _apply((*SUBMISSION, *ends, _cancelled())).jobs['j']
        self.assertFalse(job.is_cancelled)
        self.assertEqual(5, job.finished_at_ms)

    def test_job_is_accepted_only_with_all_texts(self):
        for records, accepted in (
            (SUBMISSION, True),
            ((_texts(0, 4), _submitted()), False),
            ((_texts(4, 2), _submitted(item_count=2)), False),
            ((*SUBMISSION[:2], _submitted(upload='other')), False),
            ((_texts(0, 4), _texts(0, 4), _texts(4, 2), _submitted()), True),
        ):
            table = _apply(records)
            self.assertEqual(accepted, 'j' in table.jobs)

    def test_second_submission_changes_nothing(self):
        again = (_texts(0, 1, 'v'), _submitted('v', 1))
        job = _apply((*SUBMISSION, *again)).jobs['j']
        self.assertEqual(ITEM_COUNT, job.item_count)

    def test_started_item_is_not_dispatched_until_returned_by_its_lease(self):
        table = _apply((*SUBMISSION, _started(0, 'a'), _started(0, 'b')))
        job = table.jobs['j']
        leases = _lease_table.LeaseTable()
        self.assertEqual(1, _job_item_queue.JobItemQueue(job).take(leases, 0))
        _apply((_returned(0, 'b'),), table, 10)
        self.assertEqual(1, _job_item_queue.JobItemQueue(job).take(leases, 0))
        _apply((_returned(0, 'a'),), table, 11)
        self.assertEqual(0, _job_item_queue.JobItemQueue(job).take(leases, 0))

    def test_delayed_items_do_not_block_others(self):
        job = _apply(SUBMISSION).jobs['j']
        queue = _job_item_queue.JobItemQueue(job)
        leases = _lease_table.LeaseTable()
        taken = [queue.take(leases, 0) for _ in range(2)]
        queue.requeue(0, 100)
        taken += [queue.take(leases, now_ms) for now_ms in (0, 100, 100)]
        self.assertEqual([0, 1, 2, 0, 3], taken)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(RECORDS), max_size=40),
        strategies.integers(0, 40),
    )
    def test_snapshot_restores_the_same_state(self, records, cut):
        records = [*SUBMISSION[: cut % 4], *records]
        whole = _apply(records)
        first = _apply(records[:cut])
        second = _job_table.JobTable()
        for record in first.describe():
            encoded = record.SerializeToString()
            second.restore(records_pb2.Record.FromString(encoded))
        _apply(records[cut:], second, cut + 1)
        self.assertEqual(list(whole.describe()), list(second.describe()))
        for job_id, job in whole.jobs.items():
            self.assertEqual(job.counts, second.jobs[job_id].counts)
