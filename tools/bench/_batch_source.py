"""Interface of the sources of batch items."""

from typing import Protocol

import trio

from tools.bench import _batch_progress


class BatchSource(Protocol):
    """Keeps the engines supplied with batch items."""

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Supplies items until cancelled.

        Args:
            task_status: Notified once items are available.
        """

    async def read_progress(self) -> _batch_progress.BatchProgress:
        """Returns the counts of batch work so far."""
