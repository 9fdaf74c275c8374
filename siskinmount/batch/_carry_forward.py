"""Writes item texts and results again before the log drops them."""

from siskinmount import results
from siskinmount import state
from siskinmount.batch import _job
from siskinmount.batch import _job_results
from siskinmount.batch import _owner_state
from siskinmount.state import records_pb2

RESULTS_PER_RECORD = 256


async def carry_forward(owner: _owner_state.OwnerState) -> int:
    """Writes again what is still needed and has aged.

    Returns:
        How many records were written.
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
            written_count += await _carry_texts(owner, job, before_offset)
        written_count += await _carry_results(owner, job, before_offset)
    stream.time_index.drop_before(limit_ms - stream.limits.retention_ms)
    return written_count


async def _carry_texts(
    owner: _owner_state.OwnerState, job: _job.Job, before_offset: int
) -> int:
    """Writes the texts of open items again."""
    if job.texts.oldest_needed >= before_offset:
        return 0
    written_count = 0
    oldest_needed = owner.stream.next_offset
    for chunk in range(len(job.texts.first_indexes)):
        position = job.texts.position_of(chunk)
        indexes = job.texts.chunk_range(chunk)
        if not any(job.is_open(index) for index in indexes):
            continue
        if position.offset >= before_offset:
            oldest_needed = min(oldest_needed, position.offset)
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
    job.texts.oldest_needed = oldest_needed
    return written_count


async def _carry_results(
    owner: _owner_state.OwnerState, job: _job.Job, before_offset: int
) -> int:
    """Writes the ends of items again."""
    written_count = 0
    moved: list[records_pb2.ItemEnded] = []
    for index in job.results_before(before_offset):
        ended = await _job_results.read_end(owner, job, index)
        if isinstance(ended, results.Failure):
            continue
        moved.append(ended)
        if len(moved) < RESULTS_PER_RECORD:
            continue
        if not await _write_moved(owner, job, moved):
            return written_count
        written_count += 1
        moved = []
    if moved and await _write_moved(owner, job, moved):
        written_count += 1
    return written_count


async def _write_moved(
    owner: _owner_state.OwnerState,
    job: _job.Job,
    moved: list[records_pb2.ItemEnded],
) -> bool:
    """Writes ends of items again; False if that failed."""
    record = records_pb2.Record(
        item_results_moved=records_pb2.ItemResultsMoved(
            job=job.job_id, results=moved
        )
    )
    return isinstance(await owner.stream.commit(record), state.Committed)
