"""Batch jobs of one state stream while this process owns it."""

from collections.abc import Callable

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount import state
from siskinmount.batch import _batch_limits
from siskinmount.batch import _crash_tracker
from siskinmount.batch import _item_dispatcher
from siskinmount.batch import _item_reports
from siskinmount.batch import _job
from siskinmount.batch import _job_messages
from siskinmount.batch import _job_results
from siskinmount.batch import _job_upload
from siskinmount.batch import _owner_state
from siskinmount.batch import _pull_messages
from siskinmount.batch import _record_rewriter
from siskinmount.batch import _report_messages
from siskinmount.state import records_pb2

SWEEP_INTERVAL_MS = 1000
REWRITE_CHECK_INTERVAL_MS = 1000


class BatchOwner:
    """Accepts jobs, dispatches their items and stores their results."""

    __slots__ = ('_state', '_dispatcher', '_reports', '_ended_counts')

    def __init__(
        self,
        owner_state: _owner_state.OwnerState,
        weight_of: Callable[[str], int],
        crash_tracker: _crash_tracker.CrashTracker,
    ) -> None:
        self._state = owner_state
        self._dispatcher = _item_dispatcher.ItemDispatcher(
            owner_state, weight_of, crash_tracker
        )
        self._reports = _item_reports.ItemReports(owner_state, crash_tracker)
        # Ended items of each service as of the last sweep.
        self._ended_counts: dict[str, int] = {}

    @property
    def wasted_tokens(self) -> int:
        """Number of reported tokens that were generated and discarded."""
        return self._reports.wasted_tokens

    def open_upload(
        self, request: _job_messages.JobRequest
    ) -> _job_upload.JobUpload | results.Failure:
        """Starts the submission of a job, which may exist already."""
        owner = self._state
        if not owner.stream.is_owned:
            return owner.not_owner_failure()
        open_count = sum(job.open_count for job in owner.table.jobs.values())
        if open_count >= owner.limits.max_open_items:
            return results.Failure(
                results.ResultCode.BACKLOG_FULL,
                'too many open batch items',
                retry_after_ms=owner.limits.max_retry_ms,
            )
        return _job_upload.JobUpload(owner, request)

    async def submit(
        self, request: _job_messages.JobRequest, bodies: list[bytes]
    ) -> _job_messages.JobStatus | results.Failure:
        """Submits a job with all its items."""
        upload = self.open_upload(request)
        if isinstance(upload, results.Failure):
            return upload
        for body in bodies:
            failure = await upload.add(body)
            if failure is not None:
                upload.give_up()
                return failure
        return await self.finish_upload(upload)

    async def finish_upload(
        self, upload: _job_upload.JobUpload
    ) -> _job_messages.JobStatus | results.Failure:
        """Completes an upload and submits its job."""
        job = await upload.finish()
        if isinstance(job, results.Failure):
            return job
        return self._describe(job)

    def status(
        self, job_id: str, caller: str
    ) -> _job_messages.JobStatus | results.Failure:
        """Returns the status of a caller's job."""
        job = self._state.find_job(job_id, caller)
        if isinstance(job, results.Failure):
            return job
        return self._describe(job)

    def statuses(self) -> list[_job_messages.JobStatus]:
        """Returns the status of each job."""
        return [self._describe(job) for job in self._state.table.jobs.values()]

    async def cancel(
        self, job_id: str, caller: str
    ) -> _job_messages.JobStatus | results.Failure:
        """Cancels a caller's job; has no effect on a job that has ended.

        Waits up to `cancel_wait_ms` for the sidecars that hold items of the
        job, so that no item starts after the answer.
        """
        owner = self._state
        job = owner.find_job(job_id, caller)
        if isinstance(job, results.Failure):
            return job
        if job.is_active:
            committed = await owner.stream.commit(
                records_pb2.Record(
                    job_cancelled=records_pb2.JobCancelled(
                        job=job_id, at_ms=owner.stream.now_ms()
                    )
                )
            )
            if isinstance(committed, results.Failure):
                return committed
            await self._wait_leases_removed(job)
        return self._describe(job)

    async def results_page(
        self, job_id: str, caller: str, after: int = -1, limit: int = 1000
    ) -> _job_messages.ResultsPage | results.Failure:
        """Returns results of a caller's job, ordered by index."""
        job = self._state.find_job(job_id, caller)
        if isinstance(job, results.Failure):
            return job
        return await _job_results.read_page(self._state, job, after, limit)

    async def pull(
        self, request: _pull_messages.PullRequest
    ) -> _pull_messages.PullReply | results.Failure:
        """Leases items to a sidecar without waiting for items."""
        return await self._dispatcher.pull(request)

    async def report(
        self, request: _report_messages.ReportRequest
    ) -> _report_messages.ReportReply | results.Failure:
        """Processes a sidecar's reports on items of this stream."""
        return await self._reports.report(request)

    def renew(
        self, request: _report_messages.RenewRequest
    ) -> _report_messages.RenewReply | results.Failure:
        """Renews a sidecar's leases of items of this stream."""
        return self._reports.renew(request)

    def waiting_counts(self) -> dict[str, int]:
        """Returns the number of unleased open items of each service."""
        counts: dict[str, int] = {}
        for job in self._state.table.jobs.values():
            if not job.is_active:
                continue
            service = job.submitted.service
            leased_count = self._state.leases.count_of(job.job_id)
            waiting_count = max(0, job.open_count - leased_count)
            counts[service] = counts.get(service, 0) + waiting_count
        return counts

    def has_ready(self, service: str) -> bool:
        """Whether items of a service can be dispatched now."""
        return self._dispatcher.has_ready(service)

    def drop_holder(self, vm: str, incarnation: int) -> None:
        """Expires the leases of a process that is known to be lost.

        Leases of earlier incarnations on the same VM expire too.
        """
        for lease in self._state.leases.all():
            if lease.vm == vm and lease.incarnation <= incarnation:
                self._state.expire_lease(lease)

    async def run(self) -> None:
        """Runs the background tasks while the stream is owned."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._rewrite_expiring)
            nursery.start_soon(self._include_inherited)

    async def _wait_leases_removed(self, job: _job.Job) -> None:
        """Waits up to `cancel_wait_ms` until no item of a job is leased."""
        owner = self._state
        with trio.move_on_after(owner.limits.cancel_wait_ms / 1000):
            while owner.leases.count_of(job.job_id):
                await owner.leases.wait_removed()

    def _describe(self, job: _job.Job) -> _job_messages.JobStatus:
        return _job_results.describe_status(
            self._state, job, self._dispatcher.is_at_risk(job)
        )

    async def _include_inherited(self) -> None:
        """Dispatches inherited items once sidecars had time to renew."""
        await trio.sleep(self._state.limits.adoption_ms / 1000)
        for queue in self._state.queues.values():
            queue.include_inherited()
        self._state.on_ready()

    async def _sweep(self) -> None:
        """Periodically expires leases and deletes jobs past retention."""
        self._state.check_current()
        while self._state.stream.is_owned:
            await trio.sleep(SWEEP_INTERVAL_MS / 1000)
            self._state.check_current()
            self._drop_inactive_jobs()
            now_s = trio.current_time()
            for lease in self._state.leases.all():
                if lease.expires_at_s <= now_s:
                    self._state.expire_lease(lease)
            self._state.remove_settled_ends()
            self._delete_expired_jobs()
            self._measure_rates()
            self._state.on_ready()

    async def _rewrite_expiring(self) -> None:
        """Periodically rewrites records that would expire from the log."""
        while self._state.stream.is_owned:
            await trio.sleep(REWRITE_CHECK_INTERVAL_MS / 1000)
            await _record_rewriter.rewrite_expiring(self._state)

    def _drop_inactive_jobs(self) -> None:
        """Drops queues and returned leases of jobs without open items."""
        owner = self._state
        for job_id in list(owner.queues):
            job = owner.table.jobs.get(job_id)
            if job is None or not job.is_active:
                del owner.queues[job_id]
        owner.leases.retain_returned(owner.is_job_active)

    def _delete_expired_jobs(self) -> None:
        """Queues the deletion of jobs past their result retention."""
        owner = self._state
        now_ms = owner.stream.now_ms()
        for job in owner.table.jobs.values():
            if job.is_active:
                continue
            if job.finished_at_ms + job.submitted.result_retention_ms > now_ms:
                continue
            owner.stream.enqueue(
                records_pb2.Record(
                    job_forgotten=records_pb2.JobForgotten(job=job.job_id)
                )
            )

    def _measure_rates(self) -> None:
        """Updates the rate at which the items of each service end."""
        counts: dict[str, int] = {}
        for job in self._state.table.jobs.values():
            ended_count = job.item_count - job.open_count
            service = job.submitted.service
            counts[service] = counts.get(service, 0) + ended_count
        for service, count in counts.items():
            before = self._ended_counts.get(service, count)
            self._dispatcher.record_ended(service, max(0, count - before))
        self._ended_counts = counts


def create_batch_owner(
    stream: state.StateStream,
    log: backing_services.LogService,
    *,
    limits: _batch_limits.BatchLimits | None = None,
    weight_of: Callable[[str], int] | None = None,
    crash_tracker: _crash_tracker.CrashTracker | None = None,
    on_ready: Callable[[], None] | None = None,
) -> BatchOwner:
    """Creates the batch owner of a stream and registers its job table.

    Args:
        stream: The state stream, before it runs.
        log: The platform's log, from which items and results are read.
        limits: Limits and intervals.
        weight_of: Returns a caller's share relative to others.
        crash_tracker: Requests that are known to crash upstreams.
        on_ready: Called when items may have become ready.
    """
    owner_state = _owner_state.OwnerState(
        stream,
        log,
        limits or _batch_limits.BatchLimits(),
        on_ready or (lambda: None),
    )
    return BatchOwner(
        owner_state,
        weight_of or (lambda caller: 1),
        crash_tracker or _crash_tracker.NoCrashTracker(),
    )
