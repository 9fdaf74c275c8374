"""The jobs of one state stream, while this process owns it."""

from collections.abc import Callable

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount import state
from siskinmount.batch import _batch_limits
from siskinmount.batch import _carry_forward
from siskinmount.batch import _crash_evidence
from siskinmount.batch import _item_handout
from siskinmount.batch import _item_reports
from siskinmount.batch import _job
from siskinmount.batch import _job_messages
from siskinmount.batch import _job_results
from siskinmount.batch import _job_upload
from siskinmount.batch import _owner_state
from siskinmount.batch import _pull_messages
from siskinmount.batch import _report_messages
from siskinmount.state import records_pb2

SWEEP_INTERVAL_MS = 1000
CARRY_CHECK_INTERVAL_MS = 1000


class BatchOwner:
    """Takes jobs, hands out their items and keeps their results."""

    __slots__ = ('_state', '_handout', '_reports', '_ended_counts')

    def __init__(
        self,
        owner_state: _owner_state.OwnerState,
        weight_of: Callable[[str], int],
        evidence: _crash_evidence.CrashEvidence,
    ) -> None:
        self._state = owner_state
        self._handout = _item_handout.ItemHandout(
            owner_state, weight_of, evidence
        )
        self._reports = _item_reports.ItemReports(owner_state, evidence)
        # Items of each service that had ended at the last sweep.
        self._ended_counts: dict[str, int] = {}

    @property
    def wasted_tokens(self) -> int:
        """Tokens that were generated here and could not be used."""
        return self._reports.wasted_tokens

    def open_upload(
        self, request: _job_messages.JobRequest
    ) -> _job_upload.JobUpload | results.Failure:
        """Begins the submission of a job, or of one that exists already."""
        owner = self._state
        if not owner.stream.is_owned:
            return owner.not_owner()
        open_count = sum(job.open_count for job in owner.table.jobs.values())
        if open_count >= owner.limits.max_open_items:
            return results.Failure(
                results.ResultCode.BACKLOG_FULL,
                'too many batch items wait already',
                retry_after_ms=owner.limits.max_retry_ms,
            )
        return _job_upload.JobUpload(owner, request)

    async def submit(
        self, request: _job_messages.JobRequest, bodies: list[bytes]
    ) -> _job_messages.JobStatus | results.Failure:
        """Submits a job whose items are at hand."""
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
        """Submits the job of an upload."""
        job = await upload.finish()
        if isinstance(job, results.Failure):
            return job
        return self._describe(job)

    def status(
        self, job_id: str, caller: str
    ) -> _job_messages.JobStatus | results.Failure:
        """Returns where a caller's job stands."""
        job = self._state.find_job(job_id, caller)
        if isinstance(job, results.Failure):
            return job
        return self._describe(job)

    def statuses(self) -> list[_job_messages.JobStatus]:
        """Returns where all jobs stand."""
        return [self._describe(job) for job in self._state.table.jobs.values()]

    async def cancel(
        self, job_id: str, caller: str
    ) -> _job_messages.JobStatus | results.Failure:
        """Cancels a caller's job; a job that has ended stays as it is.

        The answer waits a while for the sidecars that hold items of the job,
        so that none starts after it.
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
            await self._wait_told(job)
        return self._describe(job)

    async def results_page(
        self, job_id: str, caller: str, after: int = -1, limit: int = 1000
    ) -> _job_messages.ResultsPage | results.Failure:
        """Returns results of a caller's job, by rising index."""
        job = self._state.find_job(job_id, caller)
        if isinstance(job, results.Failure):
            return job
        return await _job_results.read_page(self._state, job, after, limit)

    async def pull(
        self, request: _pull_messages.PullRequest
    ) -> _pull_messages.PullReply | results.Failure:
        """Leases items to a sidecar; returns at once if there are none."""
        return await self._handout.pull(request)

    async def report(
        self, request: _report_messages.ReportRequest
    ) -> _report_messages.ReportReply | results.Failure:
        """Takes a sidecar's reports on items of this stream."""
        return await self._reports.report(request)

    def renew(
        self, request: _report_messages.RenewRequest
    ) -> _report_messages.RenewReply | results.Failure:
        """Renews a sidecar's leases of items of this stream."""
        return self._reports.renew(request)

    def waiting_counts(self) -> dict[str, int]:
        """Returns how many items of each service wait for an upstream."""
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
        """Whether items of a service can be handed out now."""
        return self._handout.has_ready(service)

    def drop_holder(self, vm: str, incarnation: int) -> None:
        """Ends the leases of a process that is known to be lost."""
        for lease in self._state.leases.all():
            if lease.vm == vm and lease.incarnation <= incarnation:
                self._state.lapse(lease)

    async def run(self) -> None:
        """Looks after jobs and leases for as long as the stream is owned."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._carry_forward)
            nursery.start_soon(self._include_inherited)

    async def _wait_told(self, job: _job.Job) -> None:
        """Waits until no sidecar holds an item of a cancelled job."""
        owner = self._state
        with trio.move_on_after(owner.limits.cancel_wait_ms / 1000):
            while owner.leases.count_of(job.job_id):
                await owner.leases.wait_removed()

    def _describe(self, job: _job.Job) -> _job_messages.JobStatus:
        return _job_results.describe_status(
            self._state, job, self._handout.is_at_risk(job)
        )

    async def _include_inherited(self) -> None:
        """Hands out inherited items once sidecars had time to renew."""
        await trio.sleep(self._state.limits.adoption_ms / 1000)
        for dispatch in self._state.dispatches.values():
            dispatch.include_inherited()
        self._state.on_ready()

    async def _sweep(self) -> None:
        """Ends leases that have lapsed and forgets jobs past retention."""
        while self._state.stream.is_owned:
            await trio.sleep(SWEEP_INTERVAL_MS / 1000)
            self._drop_ended_dispatches()
            now_s = trio.current_time()
            for lease in self._state.leases.all():
                if lease.expires_at_s <= now_s:
                    self._state.lapse(lease)
            self._state.drop_settled()
            self._forget_expired_jobs()
            self._measure_rates()
            self._state.on_ready()

    async def _carry_forward(self) -> None:
        """Keeps what is needed from expiring with the log's records."""
        while self._state.stream.is_owned:
            await trio.sleep(CARRY_CHECK_INTERVAL_MS / 1000)
            await _carry_forward.carry_forward(self._state)

    def _drop_ended_dispatches(self) -> None:
        owner = self._state
        for job_id in list(owner.dispatches):
            job = owner.table.jobs.get(job_id)
            if job is None or not job.is_active:
                del owner.dispatches[job_id]

    def _forget_expired_jobs(self) -> None:
        """Drops jobs whose results are past their retention."""
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
        """Measures how fast the items of each service end."""
        counts: dict[str, int] = {}
        for job in self._state.table.jobs.values():
            ended_count = job.item_count - job.open_count
            service = job.submitted.service
            counts[service] = counts.get(service, 0) + ended_count
        for service, count in counts.items():
            before = self._ended_counts.get(service, count)
            self._handout.note_ended(service, max(0, count - before))
        self._ended_counts = counts


def create_batch_owner(
    stream: state.StateStream,
    log: backing_services.LogService,
    *,
    limits: _batch_limits.BatchLimits | None = None,
    weight_of: Callable[[str], int] | None = None,
    evidence: _crash_evidence.CrashEvidence | None = None,
    on_ready: Callable[[], None] | None = None,
) -> BatchOwner:
    """Creates the jobs of a stream and adds them to it.

    Args:
        stream: The state stream, not running yet.
        log: The platform's log, from which items and results are read.
        limits: Bounds and intervals.
        weight_of: Returns a caller's share relative to others.
        evidence: What is known of requests that make upstreams die.
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
        evidence or _crash_evidence.NoCrashEvidence(),
    )
