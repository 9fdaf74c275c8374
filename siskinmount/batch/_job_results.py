"""Reads results of jobs from the log and describes their status."""

from siskinmount import results
from siskinmount.batch import _job
from siskinmount.batch import _job_messages
from siskinmount.batch import _owner_state
from siskinmount.state import records_pb2

_ITEM_STATES = {
    records_pb2.ITEM_OUTCOME_DONE: _job_messages.ItemState.DONE,
    records_pb2.ITEM_OUTCOME_FAILED: _job_messages.ItemState.FAILED,
    records_pb2.ITEM_OUTCOME_UNKNOWN: _job_messages.ItemState.UNKNOWN,
}


def job_state(job: _job.Job) -> _job_messages.JobState:
    """Returns the state of a job."""
    if job.is_cancelled:
        return _job_messages.JobState.CANCELLED
    if job.open_count:
        return _job_messages.JobState.RUNNING
    return _job_messages.JobState.FINISHED


async def read_page(
    owner: _owner_state.OwnerState, job: _job.Job, after: int, limit: int
) -> _job_messages.ResultsPage | results.Failure:
    """Reads results of ended items above an index.

    Args:
        owner: The owner of the job.
        job: The job.
        after: Index after which to start; -1 for the first page.
        limit: Maximum number of results to return.
    """
    page: list[_job_messages.ItemResult] = []
    size_bytes = 0
    for index in job.ended_after(after):
        if len(page) >= limit or size_bytes >= owner.limits.max_page_bytes:
            return _job_messages.ResultsPage(
                page, page[-1].index if page else after, True, job_state(job)
            )
        ended = await read_item_ended(owner, job, index)
        if isinstance(ended, results.Failure):
            return ended
        page.append(
            _job_messages.ItemResult(
                index,
                _ITEM_STATES[ended.outcome],
                ended.output,
                ended.code,
                ended.reason,
            )
        )
        size_bytes += len(ended.output)
    next_after = page[-1].index if page else after
    return _job_messages.ResultsPage(page, next_after, False, job_state(job))


async def read_item_ended(
    owner: _owner_state.OwnerState, job: _job.Job, index: int
) -> records_pb2.ItemEnded | results.Failure:
    """Reads the record that ended an item."""
    position = job.result_position(index)
    group = await owner.reader.fetch(position.offset)
    if isinstance(group, results.Failure):
        return group
    record = group.records[position.index]
    if record.WhichOneof('kind') == 'item_ended':
        return record.item_ended
    for ended in record.item_results_moved.results:
        if ended.index == index:
            return ended
    return results.Failure(
        results.ResultCode.INTERNAL,
        f'no result of item {index} in the record at {position}',
    )


def describe_status(
    owner: _owner_state.OwnerState, job: _job.Job, is_at_risk: bool
) -> _job_messages.JobStatus:
    """Returns the status of a job."""
    submitted = job.submitted
    return _job_messages.JobStatus(
        job=job.job_id,
        caller=submitted.caller,
        service=submitted.service,
        state=job_state(job),
        item_count=job.item_count,
        done_count=job.counts[records_pb2.ITEM_OUTCOME_DONE],
        failed_count=job.counts[records_pb2.ITEM_OUTCOME_FAILED],
        unknown_count=job.counts[records_pb2.ITEM_OUTCOME_UNKNOWN],
        in_flight_count=owner.leases.count_of(job.job_id),
        submitted_at_ms=submitted.submitted_at_ms,
        due_at_ms=submitted.due_at_ms,
        finished_at_ms=job.finished_at_ms,
        at_risk=is_at_risk,
    )
