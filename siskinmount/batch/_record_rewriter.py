"""Rewrites item texts and results before their log records expire."""

from siskinmount import results
from siskinmount import state
from siskinmount.batch import _job
from siskinmount.batch import _job_results
from siskinmount.batch import _owner_state
from siskinmount.state import records_pb2

RESULTS_PER_RECORD = 256


async def rewrite_expiring(owner: _owner_state.OwnerState) -> int:
    """Rewrites the records that are still needed and close to expiry.

    Returns:
        Number of records written.
    """
    stream = owner.stream
    limit_ms = stream.now_ms() - stream.limits.carry_after_ms
    before_offset = max(
        stream.time_index.first_offset_after(limit_ms), stream.ageing_below
    )
    if before_offset == 0:
        return 0
    written_count = 0
    for job in list(owner.table.jobs.values()):
        if not stream.is_owned or stream.is_log_failing:
            break
        if job.is_active:
            written_count += await _rewrite_texts(owner, job, before_offset)
        written_count += await _rewrite_results(owner, job, before_offset)
    stream.time_index.drop_before(limit_ms - stream.limits.retention_ms)
    return written_count


async def _rewrite_texts(
    owner: _owner_state.OwnerState, job: _job.Job, before_offset: int
) -> int:
    """Rewrites the texts of open items.

    Texts of ended items are left empty in the new records.
    """
    if job.texts.oldest_needed_offset >= before_offset:
        return 0
    written_count = 0
    oldest_needed_offset = owner.stream.next_offset
    for chunk in range(len(job.texts.first_indexes)):
        position = job.texts.position_of(chunk)
        indexes = job.texts.chunk_range(chunk)
        if not any(job.is_open(index) for index in indexes):
            continue
        if position.offset >= before_offset:
            oldest_needed_offset = min(oldest_needed_offset, position.offset)
            continue
        group = await owner.reader.fetch(position.offset)
        if isinstance(group, results.Failure):
            continue
        old = group.records[position.index].item_texts
        record = records_pb2.Record(
            item_texts=records_pb2.ItemTexts(
                job=old.job,
                upload=old.upload,
                first_index=old.first_index,
                texts=[
                    text if job.is_open(index) else b''
                    for index, text in zip(indexes, old.texts, strict=True)
                ],
            )
        )
        if not isinstance(await owner.stream.commit(record), state.Committed):
            return written_count
        written_count += 1
    job.texts.oldest_needed_offset = oldest_needed_offset
    return written_count


async def _rewrite_results(
    owner: _owner_state.OwnerState, job: _job.Job, before_offset: int
) -> int:
    """Rewrites the results of ended items, several per record."""
    written_count = 0
    moved: list[records_pb2.ItemEnded] = []
    for index in job.results_before(before_offset):
        ended = await _job_results.read_item_ended(owner, job, index)
        if isinstance(ended, results.Failure):
            continue
        moved.append(ended)
        if len(moved) < RESULTS_PER_RECORD:
            continue
        if not await _write_results(owner, job, moved):
            return written_count
        written_count += 1
        moved = []
    if moved and await _write_results(owner, job, moved):
        written_count += 1
    return written_count


async def _write_results(
    owner: _owner_state.OwnerState,
    job: _job.Job,
    moved: list[records_pb2.ItemEnded],
) -> bool:
    """Writes results in one record; returns False if that fails."""
    record = records_pb2.Record(
        item_results_moved=records_pb2.ItemResultsMoved(
            job=job.job_id, results=moved
        )
    )
    return isinstance(await owner.stream.commit(record), state.Committed)
