"""All jobs of a state stream, built from its records."""

from collections.abc import Callable
from collections.abc import Iterable

from siskinmount import state
from siskinmount.batch import _job
from siskinmount.state import records_pb2


class JobTable:
    """State of all batch jobs of a stream, built by applying records.

    Attributes:
        kinds: Kinds of records that this table applies.
        jobs: Accepted jobs by identifier.
        on_begin_term: Called when this process becomes owner of the stream.
        on_item_returned: Called with job and index when a non-idempotent item
            was returned and may be dispatched again.
    """

    kinds = frozenset(
        {
            'item_texts',
            'job_submitted',
            'job_cancelled',
            'job_forgotten',
            'item_started',
            'item_returned',
            'item_attempt_failed',
            'item_ended',
            'item_results_moved',
            'job_entry',
            'job_entry_part',
            'job_handed_out',
        }
    )

    __slots__ = (
        'jobs',
        'on_begin_term',
        'on_item_returned',
        '_uploads',
        '_handlers',
    )

    def __init__(self) -> None:
        self.jobs: dict[str, _job.Job] = {}
        self.on_begin_term: Callable[[], None] | None = None
        self.on_item_returned: Callable[[_job.Job, int], None] | None = None
        # Texts of uploads whose job has not been submitted, by job and upload.
        self._uploads: dict[tuple[str, str], _job.TextIndex] = {}
        self._handlers = {
            'item_texts': self._apply_texts,
            'job_submitted': self._apply_submitted,
            'job_cancelled': self._apply_cancelled,
            'job_forgotten': self._apply_forgotten,
            'item_started': self._apply_started,
            'item_returned': self._apply_returned,
            'item_attempt_failed': self._apply_attempt_failed,
            'item_ended': self._apply_ended,
            'item_results_moved': self._apply_results_moved,
            'job_handed_out': self._apply_handed_out,
        }

    def apply(
        self, record: records_pb2.Record, position: state.Position
    ) -> None:
        """Applies a valid record."""
        kind = record.WhichOneof('kind')
        handler = self._handlers.get(kind or '')
        if handler is not None:
            handler(getattr(record, kind), position)

    def begin_term(self) -> None:
        """Drops uploads of earlier epochs, which can never be submitted."""
        self._uploads.clear()
        if self.on_begin_term is not None:
            self.on_begin_term()

    def describe(self) -> Iterable[records_pb2.Record]:
        """Yields records from which the current state can be restored."""
        for (job, upload), texts in self._uploads.items():
            yield records_pb2.Record(
                job_entry=records_pb2.JobEntry(
                    submitted=records_pb2.JobSubmitted(
                        job=job, upload=upload, item_count=texts.end_index
                    ),
                    text_first_indexes=texts.first_indexes,
                    text_offsets=texts.offsets,
                    text_positions=texts.positions,
                )
            )
        for job_state in self.jobs.values():
            yield from job_state.describe()

    def restore(self, record: records_pb2.Record) -> None:
        """Restores state from a record of a snapshot."""
        if record.WhichOneof('kind') == 'job_entry_part':
            part = record.job_entry_part
            self.jobs[part.job].restore_part(part)
            return
        entry = record.job_entry
        submitted = entry.submitted
        texts = _job.restore_text_index(entry, submitted.item_count)
        if not entry.accepted:
            self._uploads[(submitted.job, submitted.upload)] = texts
            return
        job = _job.Job(submitted, texts)
        job.is_cancelled = entry.cancelled
        job.finished_at_ms = entry.finished_at_ms
        job.handed_out_below = entry.handed_out_below
        self.jobs[job.job_id] = job

    def drop_upload(self, job_id: str, upload: str) -> None:
        """Drops an upload that was abandoned."""
        self._uploads.pop((job_id, upload), None)

    def _apply_texts(
        self, texts: records_pb2.ItemTexts, position: state.Position
    ) -> None:
        job = self.jobs.get(texts.job)
        if job is not None:
            if job.submitted.upload == texts.upload:
                job.texts.add(texts.first_index, len(texts.texts), position)
            return
        index = self._uploads.setdefault(
            (texts.job, texts.upload), _job.TextIndex()
        )
        index.add(texts.first_index, len(texts.texts), position)

    def _apply_submitted(
        self, submitted: records_pb2.JobSubmitted, position: state.Position
    ) -> None:
        """Accepts a job if all of its texts are in the stream."""
        texts = self._uploads.pop((submitted.job, submitted.upload), None)
        if submitted.job in self.jobs or texts is None:
            return
        if texts.end_index != submitted.item_count:
            return
        self.jobs[submitted.job] = _job.Job(submitted, texts)

    def _apply_cancelled(
        self, cancelled: records_pb2.JobCancelled, position: state.Position
    ) -> None:
        job = self.jobs.get(cancelled.job)
        if job is not None:
            job.cancel(cancelled.at_ms)

    def _apply_forgotten(
        self, forgotten: records_pb2.JobForgotten, position: state.Position
    ) -> None:
        self.jobs.pop(forgotten.job, None)

    def _apply_started(
        self, started: records_pb2.ItemStarted, position: state.Position
    ) -> None:
        job = self.jobs.get(started.job)
        if job is None or job.is_cancelled or not job.is_open(started.index):
            return
        job.started.setdefault(started.index, started)

    def _apply_handed_out(
        self, handed_out: records_pb2.JobHandedOut, position: state.Position
    ) -> None:
        job = self.jobs.get(handed_out.job)
        if job is not None:
            job.handed_out_below = max(
                job.handed_out_below, handed_out.below_index
            )

    def _apply_returned(
        self, returned: records_pb2.ItemReturned, position: state.Position
    ) -> None:
        job = self.jobs.get(returned.job)
        if job is None:
            return
        started = job.started.get(returned.index)
        if started is not None:
            if started.lease != returned.lease:
                return
            del job.started[returned.index]
            if returned.resume_tokens:
                job.stopped[returned.index] = returned
        if self.on_item_returned is not None:
            self.on_item_returned(job, returned.index)

    def _apply_attempt_failed(
        self, attempt: records_pb2.ItemAttemptFailed, position: state.Position
    ) -> None:
        job = self.jobs.get(attempt.job)
        if job is not None and job.is_open(attempt.index):
            job.attempts[attempt.index] = attempt

    def _apply_ended(
        self, ended: records_pb2.ItemEnded, position: state.Position
    ) -> None:
        job = self.jobs.get(ended.job)
        if job is not None:
            job.end_item(ended, position)

    def _apply_results_moved(
        self, moved: records_pb2.ItemResultsMoved, position: state.Position
    ) -> None:
        job = self.jobs.get(moved.job)
        if job is None:
            return
        for result in moved.results:
            job.move_result(result.index, position)
