"""What the parts of one owner of batch jobs share."""

from collections.abc import Callable

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount import state
from siskinmount.batch import _batch_limits
from siskinmount.batch import _job
from siskinmount.batch import _job_dispatch
from siskinmount.batch import _job_table
from siskinmount.batch import _lease_table
from siskinmount.state import records_pb2


class OwnerState:
    """The jobs of one stream and who works on them.

    Attributes:
        stream: The state stream.
        limits: Bounds and intervals.
        table: Jobs as the log tells them.
        leases: Items in the hands of sidecars.
        reader: Reads items and results from the log.
        dispatches: What may be handed out, by job.
        ending: Items whose end is on its way into the log.
        resume_tokens: Output of interrupted items.
        on_ready: Called when items may have become ready.
    """

    __slots__ = (
        'stream',
        'limits',
        'table',
        'leases',
        'reader',
        'dispatches',
        'ending',
        'resume_tokens',
        'on_ready',
        '_lease_count',
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
        self.dispatches: dict[str, _job_dispatch.JobDispatch] = {}
        self.ending: dict[tuple[str, int], state.PendingRecord] = {}
        self.resume_tokens = _ResumeTokens(limits.max_resume_tokens)
        self.on_ready = on_ready
        self._lease_count = 0
        self.table.on_begin_tenure = self._begin_tenure
        self.table.on_item_returned = self._on_item_returned
        stream.add_state_machine(self.table)

    def dispatch_of(self, job: _job.Job) -> _job_dispatch.JobDispatch:
        """Returns what may be handed out of a job."""
        dispatch = self.dispatches.get(job.job_id)
        if dispatch is None:
            dispatch = _job_dispatch.JobDispatch(job)
            self.dispatches[job.job_id] = dispatch
        return dispatch

    def new_lease_id(self) -> str:
        """Returns an identifier that no other lease of any owner has."""
        self._lease_count += 1
        return f'{self.stream.name}:{self.stream.epoch}:{self._lease_count}'

    def find_job(self, job_id: str, caller: str) -> _job.Job | results.Failure:
        """Returns a caller's own job."""
        if not self.stream.is_owned:
            return self.not_owner()
        job = self.table.jobs.get(job_id)
        if job is None or job.submitted.caller != caller:
            return results.Failure(
                results.ResultCode.NO_SUCH_JOB, f'there is no job {job_id!r}'
            )
        return job

    def not_owner(self) -> results.Failure:
        """Returns the failure of calls that need an owner."""
        return results.Failure(
            results.ResultCode.NOT_OWNER,
            f'{self.stream.name} is not owned by this process',
            retry_after_ms=self.stream.limits.claim_wait_ms,
        )

    def put_back(
        self, job: _job.Job, index: int, not_before_ms: int = 0
    ) -> None:
        """Makes an item available again."""
        self.dispatch_of(job).put_back(index, not_before_ms)
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
        """Queues the record that ends an item, once, and ends its lease."""
        pending = self.ending.get((job.job_id, index))
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
        self.ending[(job.job_id, index)] = queued
        self.resume_tokens.pop(job.job_id, index)
        lease = self.leases.find(job.job_id, index)
        if lease is not None:
            self.leases.remove(lease)
        return queued

    def record_loss(
        self, job: _job.Job, index: int
    ) -> state.PendingRecord | results.Failure:
        """Notes an attempt that was lost with its upstream or its lease."""
        before = job.attempts.get(index)
        losses = 1 + (before.losses if before else 0)
        if losses >= self.limits.max_losses:
            return self.end_item(
                job,
                index,
                records_pb2.ITEM_OUTCOME_FAILED,
                code=results.ResultCode.ITEM_FAILED,
                reason=f'{losses} attempts were lost with their upstreams',
            )
        failures = before.failures if before else 0
        return self._retry_later(job, index, failures, losses)

    def record_failure(
        self,
        job: _job.Job,
        index: int,
        code: results.ResultCode,
        reason: str,
    ) -> state.PendingRecord | results.Failure:
        """Notes an attempt that failed by the item's own fault."""
        before = job.attempts.get(index)
        failures = 1 + (before.failures if before else 0)
        if failures >= max(1, job.submitted.max_attempts):
            return self.end_item(
                job,
                index,
                records_pb2.ITEM_OUTCOME_FAILED,
                code=code,
                reason=f'{failures} attempts failed; the last: {reason}',
            )
        losses = before.losses if before else 0
        return self._retry_later(job, index, failures, losses)

    def lapse(self, lease: _lease_table.Lease) -> None:
        """Ends a lease whose holder is lost."""
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
        if not lease.is_handed_out:
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
    ) -> state.PendingRecord | results.Failure | None:
        """Takes back an item that was not sent, or stopped and can go on.

        The start of a non-idempotent item may be in the log or on its way, so
        that item is available again only when its return has followed it, with
        the output from which it goes on: it is never begun a second time.
        """
        if job.submitted.idempotent:
            if resume_tokens:
                self.resume_tokens.put(job.job_id, lease.index, resume_tokens)
            self.leases.remove(lease)
            self.put_back(job, lease.index)
            return None
        return self.stream.enqueue(
            records_pb2.Record(
                item_returned=records_pb2.ItemReturned(
                    job=job.job_id,
                    index=lease.index,
                    lease=lease.lease_id,
                    resume_tokens=resume_tokens or [],
                )
            )
        )

    def drop_settled(self) -> None:
        """Forgets ends that are in the log, and ends that it refused."""
        for (job_id, index), pending in list(self.ending.items()):
            if pending.outcome is None:
                continue
            del self.ending[(job_id, index)]
            job = self.table.jobs.get(job_id)
            if isinstance(pending.outcome, state.Committed) or job is None:
                continue
            self.end_item(
                job,
                index,
                records_pb2.ITEM_OUTCOME_FAILED,
                code=results.ResultCode.BODY_TOO_LARGE,
                reason='the log refused the result',
            )

    def note_sidecar(self, vm: str, incarnation: int) -> results.Failure | None:
        """Notes that a sidecar has spoken; its predecessors are gone.

        Returns:
            A failure if this process is not the owner, or the sidecar not the
            newest on its VM.
        """
        if not self.stream.is_owned:
            return self.not_owner()
        gone = self.leases.note_incarnation(vm, incarnation)
        if isinstance(gone, results.Failure):
            return gone
        for lease in gone:
            self.lapse(lease)
        return None

    def _retry_later(
        self, job: _job.Job, index: int, failures: int, losses: int
    ) -> state.PendingRecord | results.Failure:
        """Records an attempt and puts the item back for a later time."""
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
        self.put_back(job, index, retry_at_ms)
        return queued

    def _begin_tenure(self) -> None:
        """Takes over what the stream's last owner had handed out."""
        expires_at_s = trio.current_time() + self.limits.lease_ms / 1000
        for job in self.table.jobs.values():
            if not job.is_active:
                continue
            self.dispatches[job.job_id] = _job_dispatch.JobDispatch(
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
                lease.is_handed_out = True
                self.leases.add(lease)

    def _on_item_returned(self, job: _job.Job, index: int) -> None:
        """Makes a non-idempotent item that was not sent available again."""
        lease = self.leases.find(job.job_id, index)
        if lease is not None:
            self.leases.remove(lease)
        self.put_back(job, index)


class _ResumeTokens:
    """Output so far of items that were interrupted, within a bound."""

    __slots__ = ('_max_tokens', '_tokens_by_item', '_token_count')

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._tokens_by_item: dict[tuple[str, int], list[str]] = {}
        self._token_count = 0

    def put(self, job_id: str, index: int, tokens: list[str]) -> None:
        """Keeps an item's tokens if there is room for them."""
        self.pop(job_id, index)
        if self._token_count + len(tokens) > self._max_tokens:
            return
        self._tokens_by_item[(job_id, index)] = tokens
        self._token_count += len(tokens)

    def get(self, job_id: str, index: int) -> list[str]:
        """Returns an item's tokens."""
        return self._tokens_by_item.get((job_id, index), [])

    def pop(self, job_id: str, index: int) -> None:
        """Forgets an item's tokens."""
        tokens = self._tokens_by_item.pop((job_id, index), None)
        if tokens is not None:
            self._token_count -= len(tokens)


async def wait_settled(
    pending: list[state.PendingRecord], timeout_ms: int
) -> None:
    """Waits until all records are settled, or the time is up."""
    with trio.move_on_after(timeout_ms / 1000):
        for record in pending:
            await record.settled.wait()
