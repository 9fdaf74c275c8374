"""Where batch items come from in an arm."""

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
            task_status: Told once items are on offer.
        """

    async def read_progress(self) -> _batch_progress.BatchProgress:
        """Returns what has come so far."""
