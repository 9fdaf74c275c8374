"""Leases of items by sidecars."""

from collections.abc import Callable

import trio

from siskinmount import results


def create_lease_id(stream_name: str, epoch: int, number: int) -> str:
    """Returns a lease identifier that is unique across all owners.

    Args:
        stream_name: Name of the state stream.
        epoch: Epoch of the owner that grants the lease.
        number: Number of the lease among those of the epoch, ascending.
    """
    return f'{stream_name}:{epoch}:{number}'


class Lease:
    """Lease of one item by one sidecar process.

    Attributes:
        lease_id: Identifier of the lease.
        job_id: Identifier of the job.
        index: Position of the item in the job.
        vm: VM of the holder.
        incarnation: Incarnation of the holder.
        expires_at_s: When the lease expires, seconds on trio's clock.
        is_dispatched: Whether the item may have been sent to the holder.
    """

    __slots__ = (
        'lease_id',
        'job_id',
        'index',
        'vm',
        'incarnation',
        'expires_at_s',
        'is_dispatched',
    )

    def __init__(
        self,
        lease_id: str,
        job_id: str,
        index: int,
        vm: str,
        incarnation: int,
        expires_at_s: float,
    ) -> None:
        self.lease_id = lease_id
        self.job_id = job_id
        self.index = index
        self.vm = vm
        self.incarnation = incarnation
        self.expires_at_s = expires_at_s
        self.is_dispatched = False


class LeaseTable:
    """The leases of one owner, held only in memory."""

    __slots__ = (
        '_by_item',
        '_count_by_job',
        '_incarnations',
        '_returned',
        '_removed',
    )

    def __init__(self) -> None:
        self._by_item: dict[tuple[str, int], Lease] = {}
        self._count_by_job: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        # Grant order of the latest returned lease, by job and index.
        self._returned: dict[str, dict[int, tuple[int, int]]] = {}
        self._removed = trio.Event()

    def __len__(self) -> int:
        return len(self._by_item)

    def add(self, lease: Lease) -> None:
        """Adds a lease of an item that is not leased."""
        assert (lease.job_id, lease.index) not in self._by_item
        self._by_item[(lease.job_id, lease.index)] = lease
        count = self._count_by_job.get(lease.job_id, 0)
        self._count_by_job[lease.job_id] = count + 1

    def find(self, job_id: str, index: int) -> Lease | None:
        """Returns the lease of an item, or None."""
        return self._by_item.get((job_id, index))

    def remove(self, lease: Lease) -> bool:
        """Removes a lease; returns False if it was not in the table."""
        item_key = (lease.job_id, lease.index)
        if self._by_item.get(item_key) is not lease:
            return False
        del self._by_item[item_key]
        count = self._count_by_job[lease.job_id] - 1
        if count:
            self._count_by_job[lease.job_id] = count
        else:
            del self._count_by_job[lease.job_id]
        removed, self._removed = self._removed, trio.Event()
        removed.set()
        return True

    def record_returned(self, job_id: str, index: int, lease_id: str) -> None:
        """Records that the holder of a lease no longer works on its item."""
        order = _grant_order(lease_id)
        if order is None:
            return
        by_index = self._returned.setdefault(job_id, {})
        by_index[index] = max(order, by_index.get(index, order))

    def is_returned(self, job_id: str, index: int, lease_id: str) -> bool:
        """Whether a lease, or one of the item granted later, was returned."""
        returned = self._returned.get(job_id, {}).get(index)
        if returned is None:
            return False
        order = _grant_order(lease_id)
        return order is None or order <= returned

    def forget_returned_item(self, job_id: str, index: int) -> None:
        """Drops what is known of returned leases of an item that ends."""
        self._returned.get(job_id, {}).pop(index, None)

    def retain_returned(self, is_active: Callable[[str], bool]) -> None:
        """Drops what is known of returned leases of inactive jobs."""
        for job_id in list(self._returned):
            if not is_active(job_id):
                del self._returned[job_id]

    async def wait_removed(self) -> None:
        """Waits until any lease is removed."""
        await self._removed.wait()

    def count_of(self, job_id: str) -> int:
        """Returns how many items of a job are leased."""
        return self._count_by_job.get(job_id, 0)

    def all(self) -> list[Lease]:
        """Returns all leases."""
        return list(self._by_item.values())

    def register_incarnation(
        self, vm: str, incarnation: int
    ) -> list[Lease] | results.Failure:
        """Records the incarnation of a process that sent a request.

        Returns:
            The leases of earlier incarnations on the VM, which no longer run;
            or a `STALE_INCARNATION` failure if a later one is known.
        """
        newest = self._incarnations.get(vm, 0)
        if incarnation < newest:
            return results.Failure(
                results.ResultCode.STALE_INCARNATION,
                f'a later incarnation of {vm} is known',
            )
        if incarnation == newest:
            return []
        self._incarnations[vm] = incarnation
        return [
            lease
            for lease in self._by_item.values()
            if lease.vm == vm and lease.incarnation < incarnation
        ]


def _grant_order(lease_id: str) -> tuple[int, int] | None:
    """Returns epoch and number of a lease; None if the form is unknown."""
    try:
        _, epoch, number = lease_id.rsplit(':', 2)
        return int(epoch), int(number)
    except ValueError:
        return None
