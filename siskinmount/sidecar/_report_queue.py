"""Reports that no entry has settled yet."""

import trio

from siskinmount.sidecar import _batch_item

MAX_REPORTS_PER_CALL = 64


class ReportQueue:
    """Keeps reports until an entry has answered them.

    Reports of an entry that is gone are taken over by the others, which hand
    them to the owner of the job.
    """

    __slots__ = ('_reports_by_vm', '_changed')

    def __init__(self) -> None:
        self._reports_by_vm: dict[str, list[_batch_item.ItemReport]] = {}
        self._changed = trio.Event()

    def __len__(self) -> int:
        return sum(len(reports) for reports in self._reports_by_vm.values())

    def add(self, vm: str, report: _batch_item.ItemReport) -> None:
        """Adds a report for an entry."""
        self._reports_by_vm.setdefault(vm, []).append(report)
        self._notify()

    async def wait_next(self, vm: str) -> list[_batch_item.ItemReport]:
        """Returns the oldest reports for an entry once there are any.

        They stay in the queue until `settle` is called.
        """
        while not self._reports_by_vm.get(vm):
            await self._changed.wait()
        return self._reports_by_vm[vm][:MAX_REPORTS_PER_CALL]

    def settle(self, vm: str, count: int) -> None:
        """Removes the oldest reports, which the entry has answered."""
        del self._reports_by_vm[vm][:count]
        self._notify()

    def move(self, from_vm: str, to_vm: str) -> None:
        """Gives the reports of one entry to another."""
        reports = self._reports_by_vm.pop(from_vm, [])
        if reports:
            self._reports_by_vm.setdefault(to_vm, []).extend(reports)
            self._notify()

    def list_vms(self) -> list[str]:
        """Returns the entries for which there are reports."""
        return [vm for vm, reports in self._reports_by_vm.items() if reports]

    async def wait_empty(self) -> None:
        """Returns once all reports are settled."""
        while len(self):
            await self._changed.wait()

    def _notify(self) -> None:
        """Wakes all that wait."""
        self._changed.set()
        self._changed = trio.Event()
