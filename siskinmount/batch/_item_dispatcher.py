"""Dispatches items to sidecars that pull them."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from siskinmount import relay
from siskinmount import results
from siskinmount import state
from siskinmount.batch import _crash_tracker
from siskinmount.batch import _fair_scheduler
from siskinmount.batch import _job
from siskinmount.batch import _job_item_queue
from siskinmount.batch import _lease_table
from siskinmount.batch import _owner_state
from siskinmount.batch import _pull_messages
from siskinmount.state import records_pb2

# Items between two checkpoints of how far a job has been dispatched.
CHECKPOINT_STRIDE_ITEMS = 256


def item_fingerprint(service: str, text: bytes) -> str:
    """Returns a digest of an item's service and content."""
    return relay.create_fingerprint(service, orjson.loads(text))


class ItemDispatcher:
    """Selects items, leases them, and reads their texts from the log."""

    __slots__ = (
        '_state',
        '_weight_of',
        '_crash_tracker',
        '_schedulers',
        '_rates',
    )

    def __init__(
        self,
        owner_state: _owner_state.OwnerState,
        weight_of: Callable[[str], int],
        crash_tracker: _crash_tracker.CrashTracker,
    ) -> None:
        self._state = owner_state
        self._weight_of = weight_of
        self._crash_tracker = crash_tracker
        self._schedulers: dict[str, _fair_scheduler.FairScheduler] = {}
        self._rates: dict[str, _fair_scheduler.ItemRate] = {}

    async def pull(
        self, request: _pull_messages.PullRequest
    ) -> _pull_messages.PullReply | results.Failure:
        """Leases up to `credit` items that are ready now."""
        owner = self._state
        failure = owner.register_sidecar(request.vm, request.incarnation)
        if failure is not None:
            return failure
        if owner.stream.is_buffer_full or not owner.check_current():
            return _pull_messages.PullReply([])
        reserved = self._reserve(request)
        try:
            items = await self._prepare(reserved)
        finally:
            for job, lease in reserved:
                held = owner.leases.find(job.job_id, lease.index)
                if held is lease and not lease.is_dispatched:
                    owner.return_item(job, lease)
        return _pull_messages.PullReply(items)

    def rate_per_s(self, service: str) -> float:
        """Returns how many items of a service end per second here."""
        rate = self._rates.get(service)
        return rate.per_s if rate is not None else 0.0

    def record_ended(self, service: str, count: int) -> None:
        """Adds the number of items that ended since the last call."""
        now_s = trio.current_time()
        rate = self._rates.get(service)
        if rate is None:
            self._rates[service] = _fair_scheduler.ItemRate(now_s)
            return
        rate.record(count, now_s)

    def has_ready(self, service: str) -> bool:
        """Whether items of a service can be dispatched now."""
        now_ms = self._state.stream.now_ms()
        return any(
            job.submitted.service == service
            and job.is_active
            and self._state.queue_of(job).has_ready(now_ms)
            for job in self._state.table.jobs.values()
        )

    def _reserve(
        self, request: _pull_messages.PullRequest
    ) -> list[tuple[_job.Job, _lease_table.Lease]]:
        """Leases items in the order given by the fair scheduler."""
        owner = self._state
        now_ms = owner.stream.now_ms()
        rate_per_s = self.rate_per_s(request.service)
        scheduler = self._schedulers.get(request.service)
        if scheduler is None:
            scheduler = _fair_scheduler.FairScheduler(self._weight_of)
            self._schedulers[request.service] = scheduler
        waiting = scheduler.group_by_caller(
            [
                owner.queue_of(job)
                for job in owner.table.jobs.values()
                if job.is_active and job.submitted.service == request.service
            ],
            rate_per_s,
        )
        scheduler.remove_absent(set(waiting))
        reserved: list[tuple[_job.Job, _lease_table.Lease]] = []
        while waiting and len(reserved) < request.credit:
            caller = scheduler.next_caller(list(waiting))
            queue = waiting[caller][0]
            index = queue.take(owner.leases, now_ms)
            if index is None:
                del waiting[caller][0]
                if not waiting[caller]:
                    del waiting[caller]
                continue
            job = queue.job
            if (job.job_id, index) in owner.pending_ends:
                continue
            self._checkpoint_handed_out(queue, index)
            reserved.append((job, self._lease(request, job, index)))
            scheduler.record_served(caller, self.is_at_risk(job))
        return reserved

    def _checkpoint_handed_out(
        self, queue: _job_item_queue.JobItemQueue, index: int
    ) -> None:
        """Writes a checkpoint of how far a job is dispatched, once per stride.

        A new owner dispatches the items beyond the checkpoint at once. A lost
        checkpoint only causes repeated work on idempotent items, so this does
        not wait for the commit.
        """
        job = queue.job
        if index < queue.checkpointed_below or not job.submitted.idempotent:
            return
        queue.checkpointed_below = index + CHECKPOINT_STRIDE_ITEMS
        self._state.stream.enqueue(
            records_pb2.Record(
                job_handed_out=records_pb2.JobHandedOut(
                    job=job.job_id, below_index=queue.checkpointed_below
                )
            )
        )

    def is_at_risk(self, job: _job.Job) -> bool:
        """Whether a job will miss its due time at the current rate."""
        if not job.is_active:
            return False
        latest_ms = _fair_scheduler.latest_start_ms(
            job.submitted.due_at_ms,
            job.open_count,
            self.rate_per_s(job.submitted.service),
        )
        return latest_ms < self._state.stream.now_ms()

    def _lease(
        self, request: _pull_messages.PullRequest, job: _job.Job, index: int
    ) -> _lease_table.Lease:
        """Leases an item to the process that pulls."""
        owner = self._state
        lease = _lease_table.Lease(
            owner.create_lease_id(),
            job.job_id,
            index,
            request.vm,
            request.incarnation,
            trio.current_time() + owner.limits.lease_ms / 1000,
        )
        owner.leases.add(lease)
        return lease

    async def _prepare(
        self, reserved: list[tuple[_job.Job, _lease_table.Lease]]
    ) -> list[_pull_messages.PulledItem]:
        """Reads the texts and records the start of non-idempotent items.

        Returns:
            The items that may be dispatched.
        """
        ready: list[
            tuple[_job.Job, _lease_table.Lease, _pull_messages.PulledItem]
        ] = []
        for job, lease in reserved:
            item = await self._load(job, lease)
            if item is not None:
                ready.append((job, lease, item))
        await self._record_starts(
            [lease for job, lease, _ in ready if not job.submitted.idempotent]
        )
        items: list[_pull_messages.PulledItem] = []
        for job, lease, item in ready:
            if not self._may_dispatch(job, lease):
                continue
            lease.is_dispatched = True
            items.append(item)
        return items

    def _may_dispatch(self, job: _job.Job, lease: _lease_table.Lease) -> bool:
        """Returns whether a leased item may be dispatched.

        A non-idempotent item may be dispatched only if this process still owns
        the stream and has read back the start record of this lease.
        """
        owner = self._state
        if owner.leases.find(job.job_id, lease.index) is not lease:
            return False
        if not job.is_active or not job.is_open(lease.index):
            return False
        if job.submitted.idempotent:
            return True
        started = job.started.get(lease.index)
        return (
            owner.stream.is_owned
            and started is not None
            and started.lease == lease.lease_id
        )

    async def _load(
        self, job: _job.Job, lease: _lease_table.Lease
    ) -> _pull_messages.PulledItem | None:
        """Reads an item's text; ends the item if it cannot run at all."""
        owner = self._state
        text = await read_text(owner, job, lease.index)
        if isinstance(text, results.Failure):
            if text.code is results.ResultCode.LOG_RECORD_EXPIRED:
                self._end_failed(job, lease, text)
            return None
        service = job.submitted.service
        fingerprint = item_fingerprint(service, text)
        attempt = job.attempts.get(lease.index)
        body: dict[str, Any] = orjson.loads(text)
        tokens = owner.resume_tokens.get(job.job_id, lease.index)
        version = owner.resume_tokens.get_version(job.job_id, lease.index)
        stopped = job.stopped.get(lease.index)
        if stopped is not None:
            tokens = list(stopped.resume_tokens)
            version = stopped.resume_version
        if tokens:
            body['resume_tokens'] = tokens
            body['resume_version'] = version
        return _pull_messages.PulledItem(
            job=job.job_id,
            index=lease.index,
            attempt=1 + (attempt.failures + attempt.losses if attempt else 0),
            lease=lease.lease_id,
            lease_ms=owner.limits.lease_ms,
            idempotent=job.submitted.idempotent,
            fingerprint=fingerprint,
            body=body,
            solo=self._crash_tracker.is_suspect(fingerprint),
        )

    def _end_failed(
        self,
        job: _job.Job,
        lease: _lease_table.Lease,
        failure: results.Failure,
    ) -> None:
        """Ends an item that cannot be run as failed."""
        self._state.end_item(
            job,
            lease.index,
            records_pb2.ITEM_OUTCOME_FAILED,
            code=failure.code,
            reason=failure.reason,
        )

    async def _record_starts(self, leases: list[_lease_table.Lease]) -> None:
        """Records that non-idempotent items are about to be dispatched."""
        stream = self._state.stream
        if not leases or stream.is_log_failing:
            return
        pending: list[state.PendingRecord] = []
        for lease in leases:
            queued = stream.enqueue(
                records_pb2.Record(
                    item_started=records_pb2.ItemStarted(
                        job=lease.job_id,
                        index=lease.index,
                        lease=lease.lease_id,
                        vm=lease.vm,
                        incarnation=lease.incarnation,
                    )
                )
            )
            if isinstance(queued, state.PendingRecord):
                pending.append(queued)
        await _owner_state.wait_settled(
            pending, stream.limits.commit_timeout_ms
        )


async def read_text(
    owner: _owner_state.OwnerState, job: _job.Job, index: int
) -> bytes | results.Failure:
    """Reads an item's text from the log."""
    chunk = job.texts.chunk_of(index)
    assert chunk is not None
    position = job.texts.position_of(chunk)
    group = await owner.reader.fetch(position.offset)
    if isinstance(group, results.Failure):
        return group
    texts = group.records[position.index].item_texts
    text = texts.texts[index - texts.first_index]
    if not text:
        return results.Failure(
            results.ResultCode.LOG_RECORD_EXPIRED,
            f'the text of item {index} is no longer stored',
        )
    return text
