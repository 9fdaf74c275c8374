"""State of one batch job, built from records of the log."""

import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator

from siskinmount import state
from siskinmount.state import records_pb2

OPEN = 0
_OPEN_BYTE = b'\x00'
_ITEMS_PER_PART = 16_384


class Job:
    """State of a job: per item only the outcome and the position of its record.

    Attributes:
        submitted: The record that submitted the job.
        is_cancelled: Whether the job was cancelled.
        finished_at_ms: When the last item ended or the job was cancelled,
            milliseconds since the Unix epoch; 0 before.
        counts: Number of items by outcome, `OPEN` included.
        handed_out_below: Index from which on no item has been dispatched,
            according to the log.
        attempts: Latest failed attempt of each open item that has one, by
            index.
        started: Start records of non-idempotent items that were dispatched
            and are open, by index.
        stopped: Records of non-idempotent items that were stopped and are
            open, with the output from which the items resume, by index.
    """

    __slots__ = (
        'submitted',
        'is_cancelled',
        'finished_at_ms',
        'counts',
        'handed_out_below',
        'attempts',
        'started',
        'stopped',
        '_outcomes',
        '_result_offsets',
        '_result_positions',
        '_oldest_result_offset',
        '_texts',
    )

    def __init__(
        self, submitted: records_pb2.JobSubmitted, texts: 'TextIndex'
    ) -> None:
        self.submitted = submitted
        self.is_cancelled = False
        self.finished_at_ms = 0
        self.counts = [submitted.item_count, 0, 0, 0]
        self.handed_out_below = 0
        self.attempts: dict[int, records_pb2.ItemAttemptFailed] = {}
        self.started: dict[int, records_pb2.ItemStarted] = {}
        self.stopped: dict[int, records_pb2.ItemReturned] = {}
        self._outcomes = bytearray(submitted.item_count)
        self._result_offsets = array.array('Q', bytes(8 * submitted.item_count))
        self._result_positions = array.array(
            'I', bytes(4 * submitted.item_count)
        )
        # Lower bound of the offsets of the results; 0 if there are none.
        self._oldest_result_offset = 0
        self._texts = texts

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.submitted.job

    @property
    def item_count(self) -> int:
        """Number of items."""
        return self.submitted.item_count

    @property
    def open_count(self) -> int:
        """Number of items that have not ended."""
        return self.counts[OPEN]

    @property
    def is_active(self) -> bool:
        """Whether items may still be dispatched."""
        return not self.is_cancelled and self.counts[OPEN] > 0

    @property
    def texts(self) -> 'TextIndex':
        """Positions of the items' texts in the log."""
        return self._texts

    def is_open(self, index: int) -> bool:
        """Whether an item exists and has not ended."""
        return index < self.item_count and self._outcomes[index] == OPEN

    def outcome_of(self, index: int) -> int:
        """Returns an item's `records_pb2.ItemOutcome`, or `OPEN`."""
        return self._outcomes[index]

    def result_position(self, index: int) -> state.Position:
        """Returns the position of the record that ended an item."""
        return state.Position(
            self._result_offsets[index], self._result_positions[index]
        )

    def next_open(self, from_index: int) -> int | None:
        """Returns the first open item at or after an index."""
        index = self._outcomes.find(_OPEN_BYTE, from_index)
        return None if index < 0 else index

    def ended_after(self, after: int) -> Iterator[int]:
        """Yields the indexes above `after` of items that have ended."""
        for index in range(after + 1, self.item_count):
            if self._outcomes[index] != OPEN:
                yield index

    def end_item(
        self, ended: records_pb2.ItemEnded, position: state.Position
    ) -> bool:
        """Ends an item; returns False if the item or the job has ended."""
        index = ended.index
        if self.is_cancelled or not self.is_open(index):
            return False
        self._outcomes[index] = ended.outcome
        self.counts[OPEN] -= 1
        self.counts[ended.outcome] += 1
        self._set_result_position(index, position)
        self.attempts.pop(index, None)
        self.started.pop(index, None)
        self.stopped.pop(index, None)
        if not self.counts[OPEN]:
            self.finished_at_ms = ended.at_ms
        return True

    def move_result(self, index: int, position: state.Position) -> None:
        """Updates the position of a result that was written again."""
        if index < self.item_count and self._outcomes[index] != OPEN:
            self._set_result_position(index, position)

    def cancel(self, at_ms: int) -> None:
        """Cancels the job unless it has ended."""
        if not self.is_active:
            return
        self.is_cancelled = True
        self.finished_at_ms = at_ms
        self.attempts.clear()
        self.started.clear()
        self.stopped.clear()

    def results_before(self, offset: int) -> Iterator[int]:
        """Yields the indexes of items whose results are before an offset."""
        if not 0 < self._oldest_result_offset < offset:
            return
        for index in range(self.item_count):
            if 0 < self._result_offsets[index] < offset:
                yield index
        held = [result for result in self._result_offsets if result]
        self._oldest_result_offset = min(held, default=0)

    def describe(self) -> Iterable[records_pb2.Record]:
        """Yields records from which this job can be restored."""
        yield records_pb2.Record(
            job_entry=records_pb2.JobEntry(
                submitted=self.submitted,
                cancelled=self.is_cancelled,
                finished_at_ms=self.finished_at_ms,
                handed_out_below=self.handed_out_below,
                accepted=True,
                text_first_indexes=self._texts.first_indexes,
                text_offsets=self._texts.offsets,
                text_positions=self._texts.positions,
            )
        )
        for first in range(0, self.item_count, _ITEMS_PER_PART):
            yield records_pb2.Record(
                job_entry_part=self._describe_part(
                    first, min(first + _ITEMS_PER_PART, self.item_count)
                )
            )

    def restore_part(self, part: records_pb2.JobEntryPart) -> None:
        """Restores a range of items from a snapshot."""
        first = part.first_index
        end = first + len(part.outcomes)
        self._outcomes[first:end] = part.outcomes
        self._result_offsets[first:end] = array.array('Q', part.result_offsets)
        self._result_positions[first:end] = array.array(
            'I', part.result_positions
        )
        self._oldest_result_offset = 1
        for attempt in part.attempts:
            self.attempts[attempt.index] = attempt
        for started in part.started:
            self.started[started.index] = started
        for stopped in part.stopped:
            self.stopped[stopped.index] = stopped
        for outcome in range(1, len(self.counts)):
            count = part.outcomes.count(outcome)
            self.counts[outcome] += count
            self.counts[OPEN] -= count

    def _set_result_position(
        self, index: int, position: state.Position
    ) -> None:
        self._result_offsets[index] = position.offset
        self._result_positions[index] = position.index
        if not self._oldest_result_offset:
            self._oldest_result_offset = position.offset

    def _describe_part(self, first: int, end: int) -> records_pb2.JobEntryPart:
        return records_pb2.JobEntryPart(
            job=self.job_id,
            first_index=first,
            outcomes=bytes(self._outcomes[first:end]),
            result_offsets=self._result_offsets[first:end].tobytes(),
            result_positions=self._result_positions[first:end].tobytes(),
            attempts=[
                attempt
                for index, attempt in self.attempts.items()
                if first <= index < end
            ],
            started=[
                started
                for index, started in self.started.items()
                if first <= index < end
            ],
            stopped=[
                stopped
                for index, stopped in self.stopped.items()
                if first <= index < end
            ],
        )


class TextIndex:
    """Positions of the texts of a job's items, one per chunk of items.

    Attributes:
        first_indexes: Index of the first item of each chunk, ascending.
        offsets: Log offset of the record with each chunk.
        positions: Position of that record among those committed together.
        end_index: Index after the last item.
        oldest_needed_offset: Lower bound of the offsets of chunks that still
            contain open items.
    """

    __slots__ = (
        'first_indexes',
        'offsets',
        'positions',
        'end_index',
        'oldest_needed_offset',
    )

    def __init__(self) -> None:
        self.oldest_needed_offset = 0
        self.first_indexes = array.array('I')
        self.offsets = array.array('Q')
        self.positions = array.array('I')
        self.end_index = 0

    def add(
        self, first_index: int, count: int, position: state.Position
    ) -> None:
        """Adds the next chunk, or updates the position of a rewritten one."""
        if first_index == self.end_index:
            self.first_indexes.append(first_index)
            self.offsets.append(position.offset)
            self.positions.append(position.index)
            self.end_index += count
            return
        chunk = self.chunk_of(first_index)
        if chunk is None or self.first_indexes[chunk] != first_index:
            return
        self.offsets[chunk] = position.offset
        self.positions[chunk] = position.index

    def chunk_of(self, index: int) -> int | None:
        """Returns the number of the chunk that contains an item."""
        if not 0 <= index < self.end_index:
            return None
        return bisect.bisect_right(self.first_indexes, index) - 1

    def chunk_range(self, chunk: int) -> range:
        """Returns the indexes of a chunk's items."""
        end = self.end_index
        if chunk + 1 < len(self.first_indexes):
            end = self.first_indexes[chunk + 1]
        return range(self.first_indexes[chunk], end)

    def position_of(self, chunk: int) -> state.Position:
        """Returns the position of a chunk in the log."""
        return state.Position(self.offsets[chunk], self.positions[chunk])


def restore_text_index(
    entry: records_pb2.JobEntry, end_index: int
) -> TextIndex:
    """Restores the text index of a job from a snapshot."""
    texts = TextIndex()
    texts.first_indexes.extend(entry.text_first_indexes)
    texts.offsets.extend(entry.text_offsets)
    texts.positions.extend(entry.text_positions)
    texts.end_index = end_index
    return texts
