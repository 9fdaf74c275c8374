"""Batch service of one entry, with forwarding to other stream owners."""

from typing import Protocol

import trio

from siskinmount import results
from siskinmount import state
from siskinmount.batch import _batch_owner
from siskinmount.batch import _batch_shard
from siskinmount.batch import _pull_messages
from siskinmount.batch import _report_messages

# Interval at which a waiting pull checks for items whose retry delay has ended.
READY_POLL_MS = 500
MAX_CREDIT = 1024
MAX_WAIT_MS = 10_000


class OwnerClient(Protocol):
    """Sends requests to the owners of streams on other entries."""

    async def report(
        self, vm: str, request: _report_messages.ReportRequest
    ) -> _report_messages.ReportReply | results.Failure:
        """Forwards reports to the entry on a VM."""
        ...

    async def renew(
        self, vm: str, request: _report_messages.RenewRequest
    ) -> _report_messages.RenewReply | results.Failure:
        """Forwards a renewal to the entry on a VM."""
        ...


class BatchService:
    """Serves sidecars for all streams, whichever entry owns them."""

    __slots__ = (
        '_manager',
        '_own_vm',
        '_owner_client',
        '_ready',
        '_next_shard',
    )

    def __init__(
        self,
        manager: state.OwnershipManager[_batch_shard.BatchShard],
        own_vm: str,
        owner_client: OwnerClient | None,
    ) -> None:
        self._manager = manager
        self._own_vm = own_vm
        self._owner_client = owner_client
        self._ready = trio.Event()
        self._next_shard = 0

    def notify_ready(self) -> None:
        """Wakes waiting pulls; used as `on_ready` of all shards."""
        ready, self._ready = self._ready, trio.Event()
        ready.set()

    def find_owner(
        self, job_id: str
    ) -> _batch_owner.BatchOwner | results.Failure:
        """Returns the owner of a job if this entry owns its stream."""
        shard = self._manager.find_shard(self.stream_of(job_id))
        if isinstance(shard, results.Failure):
            return shard
        return shard.batch

    def stream_of(self, job_id: str) -> str:
        """Returns the stream that a job belongs to."""
        return state.stream_of(job_id, len(self._manager.stream_names))

    def waiting_counts(self) -> dict[str, int]:
        """Returns the number of unleased open items of each service."""
        counts: dict[str, int] = {}
        for shard in self._manager.owned_shards():
            for service, count in shard.batch.waiting_counts().items():
                counts[service] = counts.get(service, 0) + count
        return counts

    def drop_holder(self, vm: str, incarnation: int) -> None:
        """Expires the leases of a sidecar that is known to be lost."""
        for shard in self._manager.owned_shards():
            shard.batch.drop_holder(vm, incarnation)

    async def pull(
        self, request: _pull_messages.PullRequest
    ) -> _pull_messages.PullReply | results.Failure:
        """Leases items to a sidecar; waits up to `wait_ms` for the first."""
        credit = min(request.credit, MAX_CREDIT)
        wait_ms = min(request.wait_ms, MAX_WAIT_MS)
        deadline_s = trio.current_time() + wait_ms / 1000
        while True:
            ready = self._ready
            items = await self._pull_once(request, credit)
            if isinstance(items, results.Failure):
                return items
            remaining_s = deadline_s - trio.current_time()
            if items or remaining_s <= 0:
                return _pull_messages.PullReply(items)
            with trio.move_on_after(min(remaining_s, READY_POLL_MS / 1000)):
                await ready.wait()

    async def report(
        self, request: _report_messages.ReportRequest
    ) -> _report_messages.ReportReply:
        """Processes reports, or forwards them to the owners of their streams.

        Reports whose owner cannot be reached are not accepted.
        """
        accepted = [False] * len(request.reports)
        cancelled: list[_report_messages.ItemName] = []
        by_stream: dict[str, list[int]] = {}
        for position, report in enumerate(request.reports):
            stream = self.stream_of(report.job)
            by_stream.setdefault(stream, []).append(position)
        async with trio.open_nursery() as nursery:
            for stream, positions in by_stream.items():
                nursery.start_soon(
                    self._report_to_stream,
                    stream,
                    request,
                    positions,
                    accepted,
                    cancelled,
                )
        return _report_messages.ReportReply(accepted, cancelled)

    async def renew(
        self, request: _report_messages.RenewRequest
    ) -> _report_messages.RenewReply:
        """Renews leases, or forwards them to the owners of their streams."""
        renewed = _report_messages.RenewReply([], [])
        by_stream: dict[str, list[_report_messages.LeaseName]] = {}
        for lease in request.leases:
            stream = self.stream_of(lease.job)
            by_stream.setdefault(stream, []).append(lease)
        async with trio.open_nursery() as nursery:
            for stream, leases in by_stream.items():
                nursery.start_soon(
                    self._renew_in_stream,
                    stream,
                    _report_messages.RenewRequest(
                        request.vm, request.incarnation, leases
                    ),
                    renewed,
                )
        return renewed

    async def _pull_once(
        self, request: _pull_messages.PullRequest, credit: int
    ) -> list[_pull_messages.PulledItem] | results.Failure:
        """Pulls from the owned streams round-robin until the credit is used."""
        shards = self._manager.owned_shards()
        items: list[_pull_messages.PulledItem] = []
        for number in range(len(shards)):
            if len(items) >= credit:
                break
            shard = shards[(self._next_shard + number) % len(shards)]
            if not shard.batch.has_ready(request.service):
                continue
            reply = await shard.batch.pull(
                _pull_messages.PullRequest(
                    request.vm,
                    request.incarnation,
                    request.service,
                    credit - len(items),
                )
            )
            if isinstance(reply, _pull_messages.PullReply):
                items.extend(reply.items)
            elif reply.code is results.ResultCode.STALE_INCARNATION:
                return items or reply
        self._next_shard += 1
        return items

    async def _report_to_stream(
        self,
        stream: str,
        request: _report_messages.ReportRequest,
        positions: list[int],
        accepted: list[bool],
        cancelled: list[_report_messages.ItemName],
    ) -> None:
        """Sends the reports of one stream to its owner."""
        part = _report_messages.ReportRequest(
            request.vm,
            request.incarnation,
            [request.reports[position] for position in positions],
        )
        shard = self._manager.find_shard(stream)
        reply: _report_messages.ReportReply | results.Failure
        if not isinstance(shard, results.Failure):
            reply = await shard.batch.report(part)
        else:
            reply = await self._forward_report(stream, part, shard)
        if isinstance(reply, results.Failure):
            return
        for position, is_accepted in zip(
            positions, reply.accepted, strict=False
        ):
            accepted[position] = is_accepted
        cancelled.extend(reply.cancelled)

    async def _renew_in_stream(
        self,
        stream: str,
        request: _report_messages.RenewRequest,
        renewed: _report_messages.RenewReply,
    ) -> None:
        """Sends the renewals of one stream to its owner."""
        shard = self._manager.find_shard(stream)
        reply: _report_messages.RenewReply | results.Failure
        if not isinstance(shard, results.Failure):
            reply = shard.batch.renew(request)
        else:
            reply = await self._forward_renewal(stream, request, shard)
        if isinstance(reply, results.Failure):
            for lease in request.leases:
                renewed.unconfirmed.append(
                    _report_messages.ItemName(lease.job, lease.index)
                )
            return
        renewed.cancelled.extend(reply.cancelled)
        renewed.unconfirmed.extend(reply.unconfirmed)

    async def _forward_report(
        self,
        stream: str,
        request: _report_messages.ReportRequest,
        failure: results.Failure,
    ) -> _report_messages.ReportReply | results.Failure:
        owner_vm = self._manager.owner_vm(stream)
        if owner_vm in (None, self._own_vm) or self._owner_client is None:
            return failure
        return await self._owner_client.report(owner_vm, request)

    async def _forward_renewal(
        self,
        stream: str,
        request: _report_messages.RenewRequest,
        failure: results.Failure,
    ) -> _report_messages.RenewReply | results.Failure:
        owner_vm = self._manager.owner_vm(stream)
        if owner_vm in (None, self._own_vm) or self._owner_client is None:
            return failure
        return await self._owner_client.renew(owner_vm, request)


def create_batch_service(
    manager: state.OwnershipManager[_batch_shard.BatchShard],
    own_vm: str,
    owner_client: OwnerClient | None = None,
) -> BatchService:
    """Creates the batch service of one entry.

    Args:
        manager: Manages the streams that this entry owns.
        own_vm: Name of this VM.
        owner_client: Forwards requests to the owners of other streams; without
            it, reports and renewals for these streams are not accepted. Leave
            it out for requests that another entry has already forwarded.
    """
    return BatchService(manager, own_vm, owner_client)
