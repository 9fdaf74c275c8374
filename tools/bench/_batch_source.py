"""Where batch items come from in an arm."""

from typing import Protocol

from tools.bench import _batch_progress


class BatchSource(Protocol):
    """Keeps the engines supplied with batch items."""

    async def run(self) -> None:
        """Supplies items until cancelled."""

    async def read_progress(self) -> _batch_progress.BatchProgress:
        """Returns what has come so far."""
