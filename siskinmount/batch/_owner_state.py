"""State shared by the parts of a batch owner."""

from collections.abc import Callable
import logging

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount import state
from siskinmount.batch import _batch_limits
from siskinmount.batch import _job
from siskinmount.batch import _job_item_queue
from siskinmount.batch import _job_table
from siskinmount.batch import _lease_table
from siskinmount.batch import _pause_detector
from siskinmount.state import records_pb2

_LOGGER = logging.getLogger(__name__)


class OwnerState:
    """The jobs of one stream, their leases and their queues.

    Attributes:
        stream: The state stream.
        limits: Limits and intervals.
        table: Jobs, built from the records of the stream.
        leases: Leases of items by sidecars.
        reader: Reads items and results from the log.
        queues: Items that can be dispatched, by job.
        pending_ends: Queued records that end items, by job and index.
        resume_tokens: Partial output of interrupted idempotent items.
        on_ready: Called when items may have become ready.
    """

    __slots__ = (
        'stream',
        'limits',
        'table',
        'leases',
        'reader',
        'queues',
        'pending_ends',
        'resume_tokens',
        'on_ready',
        '_lease_count',
        '_pauses',
    )

    def __init__(
        self,
        stream: state.StateStream,
        log: backing_services.LogService,
        limits: _batch_limits.BatchLimits,
        on_ready: Callable[[], None],
    ) -> None:
        self.stream = stream
        self.limits = limits
        self.table = _job_table.JobTable()
        self.leases = _lease_table.LeaseTable()
        self.reader = state.RecordReader(log, stream.name)
        self.queues: dict[str, _job_item_queue.JobItemQueue] = {}
        self.pending_ends: dict[tuple[str, int], state.PendingRecord] = {}
        self.resume_tokens = _ResumeTokens(limits.max_resume_tokens)
        self.on_ready = on_ready
        self._lease_count = 0
        self._pauses = _pause_detector.create_pause_detector()
        self.table.on_begin_term = self._begin_term
        self.table.on_item_returned = self._on_item_returned
        stream.add_state_machine(self.table)

    def check_current(self) -> bool:
        """Returns whether the log was read to its end since the last pause.

        Another process may have taken the stream over during a pause, and may
        have cancelled jobs. Notices pauses by the time between calls, so the
        sweep calls it every second; after one, a read of the log begins.
        """
        if self._pauses.tick():
            _LOGGER.warning(
                'owner_was_paused', extra={'stream': self.stream.name}
            )
            self.stream.read_at_once()
        return self.stream.confirmed_at_s >= self._pauses.ended_at_s

    def queue_of(self, job: _job.Job) -> _job_item_queue.JobItemQueue:
        """Returns the queue of a job's items, creating it if needed."""
        queue = self.queues.get(job.job_id)
        if queue is None:
            queue = _job_item_queue.JobItemQueue(job)
            self.queues[job.job_id] = queue
        return queue

    def create_lease_id(self) -> str:
        """Returns a lease identifier that is unique across all owners."""
        self._lease_count += 1
        return _lease_table.create_lease_id(
            self.stream.name, self.stream.epoch, self._lease_count
        )

    def find_job(self, job_id: str, caller: str) -> _job.Job | results.Failure:
        """Returns a job if it belongs to the caller."""
        if not self.stream.is_owned:
            return self.not_owner_failure()
        job = self.table.jobs.get(job_id)
        if job is None or job.submitted.caller != caller:
            return results.Failure(
                results.ResultCode.NO_SUCH_JOB, f'there is no job {job_id!r}'
            )
        return job

    def is_job_active(self, job_id: str) -> bool:
        """Whether a job exists and items of it may still be dispatched."""
        job = self.table.jobs.get(job_id)
        return job is not None and job.is_active

    def not_owner_failure(self) -> results.Failure:
        """Returns the failure for calls that need an owned stream."""
        return results.Failure(
            results.ResultCode.NOT_OWNER,
            f'{self.stream.name} is not owned by this process',
            retry_after_ms=self.stream.limits.claim_wait_ms,
        )

    def requeue(
        self, job: _job.Job, index: int, not_before_ms: int = 0
    ) -> None:
        """Makes an item available again."""
        self.queue_of(job).requeue(index, not_before_ms)
        self.on_ready()

    def end_item(
        self,
        job: _job.Job,
        index: int,
        outcome: int,
        output: bytes = b'',
        code: results.ResultCode = results.ResultCode.OK,
        reason: str = '',
    ) -> state.PendingRecord | results.Failure:
        """Queues the record that ends an item and removes its lease.

        If such a record is queued already, returns that one.
        """
        pending = self.pending_ends.get((job.job_id, index))
        if pending is not None:
            return pending
        queued = self.stream.enqueue(
            records_pb2.Record(
                item_ended=records_pb2.ItemEnded(
                    job=job.job_id,
                    index=index,
                    outcome=outcome,
                    output=output,
                    code=int(code),
                    reason=reason,
                    at_ms=self.stream.now_ms(),
                )
            )
        )
        if isinstance(queued, results.Failure):
            return queued
        self.pending_ends[(job.job_id, index)] = queued
        self.resume_tokens.pop(job.job_id, index)
        self.leases.forget_returned_item(job.job_id, index)
        lease = self.leases.find(job.job_id, index)
        if lease is not None:
            self.leases.remove(lease)
        return queued

    def record_loss(
        self, job: _job.Job, index: int
    ) -> state.PendingRecord | results.Failure:
        """Records an attempt that was lost with its upstream or lease.

        The item remains open however many are lost, as that says nothing of it.
        """
        before = job.attempts.get(index)
        losses = 1 + (before.losses if before else 0)
        failures = before.failures if before else 0
        return self._schedule_retry(job, index, failures, losses)

    def record_failure(
        self,
        job: _job.Job,
        index: int,
        code: results.ResultCode,
        reason: str,
    ) -> state.PendingRecord | results.Failure:
        """Records an attempt that failed because of the item itself."""
        before = job.attempts.get(index)
        failures = 1 + (before.failures if before else 0)
        if failures >= max(1, job.submitted.max_attempts):
            return self.end_item(
                job,
                index,
                records_pb2.ITEM_OUTCOME_FAILED,
                code=code,
                reason=f'{failures} attempts failed; last failure: {reason}',
            )
        losses = before.losses if before else 0
        return self._schedule_retry(job, index, failures, losses)

    def expire_lease(self, lease: _lease_table.Lease) -> None:
        """Ends a lease that expired or whose holder is lost.

        An idempotent item is retried. A non-idempotent item ends as unknown if
        it may have been sent to the holder.
        """
        job = self.table.jobs.get(lease.job_id)
        if job is None or not job.is_active or not job.is_open(lease.index):
            self.leases.remove(lease)
            return
        if job.submitted.idempotent:
            if not isinstance(
                self.record_loss(job, lease.index), results.Failure
            ):
                self.leases.remove(lease)
            return
        if not lease.is_dispatched:
            self.return_item(job, lease)
            return
        self.end_item(
            job,
            lease.index,
            records_pb2.ITEM_OUTCOME_UNKNOWN,
            code=results.ResultCode.OUTCOME_UNKNOWN,
            reason='the item may have run; its upstream was lost',
        )

    def return_item(
        self,
        job: _job.Job,
        lease: _lease_table.Lease,
        resume_tokens: list[str] | None = None,
        resume_version: str = '',
    ) -> state.PendingRecord | results.Failure | None:
        """Returns an item that was not sent, or was stopped and can resume.

        The start record of a non-idempotent item may be in the log or queued.
        The item becomes available again only after its return record has been
        read back, with the output from which to resume, so that it never
        starts twice.
        """
        if job.submitted.idempotent:
            if resume_tokens:
                self.resume_tokens.put(
                    job.job_id, lease.index, resume_tokens, resume_version
                )
            self.leases.remove(lease)
            self.requeue(job, lease.index)
            return None
        return self.stream.enqueue(
            records_pb2.Record(
                item_returned=records_pb2.ItemReturned(
                    job=job.job_id,
                    index=lease.index,
                    lease=lease.lease_id,
                    resume_tokens=resume_tokens or [],
                    resume_version=resume_version,
                )
            )
        )

    def remove_settled_ends(self) -> None:
        """Drops settled end records; ends an item as failed if refused."""
        for (job_id, index), pending in list(self.pending_ends.items()):
            if pending.outcome is None:
                continue
            del self.pending_ends[(job_id, index)]
            job = self.table.jobs.get(job_id)
            if isinstance(pending.outcome, state.Committed) or job is None:
                continue
            self.end_item(
                job,
                index,
                records_pb2.ITEM_OUTCOME_FAILED,
                code=results.ResultCode.BODY_TOO_LARGE,
                reason='the log refused the record with the result',
            )

    def register_sidecar(
        self, vm: str, incarnation: int
    ) -> results.Failure | None:
        """Registers a sidecar and expires the leases of earlier incarnations.

        Returns:
            A failure if this process is not the owner, or if a later
            incarnation of the sidecar is known.
        """
        if not self.stream.is_owned:
            return self.not_owner_failure()
        gone = self.leases.register_incarnation(vm, incarnation)
        if isinstance(gone, results.Failure):
            return gone
        for lease in gone:
            self.expire_lease(lease)
        return None

    def _schedule_retry(
        self, job: _job.Job, index: int, failures: int, losses: int
    ) -> state.PendingRecord | results.Failure:
        """Records an attempt and requeues the item after a backoff."""
        pause_ms = min(
            self.limits.max_retry_ms,
            self.limits.first_retry_ms * 2 ** (failures + losses - 1),
        )
        retry_at_ms = self.stream.now_ms() + pause_ms
        queued = self.stream.enqueue(
            records_pb2.Record(
                item_attempt_failed=records_pb2.ItemAttemptFailed(
                    job=job.job_id,
                    index=index,
                    failures=failures,
                    losses=losses,
                    retry_at_ms=retry_at_ms,
                )
            )
        )
        if isinstance(queued, results.Failure):
            return queued
        lease = self.leases.find(job.job_id, index)
        if lease is not None:
            self.leases.remove(lease)
        self.requeue(job, index, retry_at_ms)
        return queued

    def _begin_term(self) -> None:
        """Sets up queues, and leases of items that had been started."""
        expires_at_s = trio.current_time() + self.limits.lease_ms / 1000
        for job in self.table.jobs.values():
            if not job.is_active:
                continue
            self.queues[job.job_id] = _job_item_queue.JobItemQueue(
                job, is_inherited=job.submitted.idempotent
            )
            for started in job.started.values():
                lease = _lease_table.Lease(
                    started.lease,
                    job.job_id,
                    started.index,
                    started.vm,
                    started.incarnation,
                    expires_at_s,
                )
                lease.is_dispatched = True
                self.leases.add(lease)

    def _on_item_returned(self, job: _job.Job, index: int) -> None:
        """Makes a returned non-idempotent item available again."""
        lease = self.leases.find(job.job_id, index)
        if lease is not None:
            self.leases.remove(lease)
        self.requeue(job, index)


class _ResumeTokens:
    """Partial output of interrupted items, up to a number of tokens."""

    __slots__ = (
        '_max_tokens',
        '_tokens_by_item',
        '_version_by_item',
        '_token_count',
    )

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._tokens_by_item: dict[tuple[str, int], list[str]] = {}
        self._version_by_item: dict[tuple[str, int], str] = {}
        self._token_count = 0

    def put(
        self, job_id: str, index: int, tokens: list[str], version: str
    ) -> None:
        """Stores an item's tokens unless that would exceed the limit.

        Args:
            job_id: Id of the job.
            index: Index of the item.
            tokens: The tokens.
            version: Software version that wrote them; empty if unknown.
        """
        self.pop(job_id, index)
        if self._token_count + len(tokens) > self._max_tokens:
            return
        self._tokens_by_item[(job_id, index)] = tokens
        self._version_by_item[(job_id, index)] = version
        self._token_count += len(tokens)

    def get(self, job_id: str, index: int) -> list[str]:
        """Returns an item's tokens, empty if none are stored."""
        return self._tokens_by_item.get((job_id, index), [])

    def get_version(self, job_id: str, index: int) -> str:
        """Returns the software version that wrote an item's tokens."""
        return self._version_by_item.get((job_id, index), '')

    def pop(self, job_id: str, index: int) -> None:
        """Removes an item's tokens."""
        self._version_by_item.pop((job_id, index), None)
        tokens = self._tokens_by_item.pop((job_id, index), None)
        if tokens is not None:
            self._token_count -= len(tokens)


async def wait_settled(
    pending: list[state.PendingRecord], timeout_ms: int
) -> None:
    """Waits until all records are settled or the timeout has passed."""
    with trio.move_on_after(timeout_ms / 1000):
        for record in pending:
            await record.settled.wait()
