"""Queue of reports that no entry has accepted yet."""

import itertools

import trio

from siskinmount import batch

MAX_REPORTS_PER_CALL = 8


class ReportQueue:
    """Keeps reports until an entry has accepted them.

    Reports for an entry that has left are moved to another entry, which
    forwards them to the owner of the job.
    """

    __slots__ = ('_reports_by_vm', '_changed')

    def __init__(self) -> None:
        self._reports_by_vm: dict[str, list[batch.ItemReport]] = {}
        self._changed = trio.Event()

    def __len__(self) -> int:
        return sum(len(reports) for reports in self._reports_by_vm.values())

    def add(self, vm: str, report: batch.ItemReport) -> None:
        """Adds a report for an entry."""
        self._reports_by_vm.setdefault(vm, []).append(report)
        self._notify()

    async def wait_next(self, vm: str) -> list[batch.ItemReport]:
        """Returns the oldest reports for an entry once there are any.

        They stay in the queue until `acknowledge` is called.
        """
        while not self._reports_by_vm.get(vm):
            await self._changed.wait()
        return self._reports_by_vm[vm][:MAX_REPORTS_PER_CALL]

    def acknowledge(
        self, vm: str, reports: list[batch.ItemReport], accepted: list[bool]
    ) -> None:
        """Removes the oldest reports that an entry has accepted.

        Args:
            vm: VM of the entry.
            reports: The oldest reports for the entry, as sent.
            accepted: Whether the entry has accepted each of them.
        """
        kept: list[batch.ItemReport] = []
        for report, is_accepted in itertools.zip_longest(
            reports, accepted[: len(reports)], fillvalue=False
        ):
            if not is_accepted:
                kept.append(report)
        waiting = self._reports_by_vm[vm][len(reports) :]
        # Reports that were not accepted go behind those not sent yet.
        self._reports_by_vm[vm] = waiting + kept
        self._notify()

    def move(self, from_vm: str, to_vm: str) -> None:
        """Moves the reports for one entry to another entry."""
        reports = self._reports_by_vm.pop(from_vm, [])
        if reports:
            self._reports_by_vm.setdefault(to_vm, []).extend(reports)
            self._notify()

    def list_vms(self) -> list[str]:
        """Returns the entries for which there are reports."""
        return [vm for vm, reports in self._reports_by_vm.items() if reports]

    async def wait_empty(self) -> None:
        """Returns once all reports are accepted."""
        while len(self):
            await self._changed.wait()

    def _notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()
