"""What an entry builds from one state stream that it owns."""

import trio

from siskinmount import batch
from siskinmount import state


class EntryShard:
    """One state stream with its idempotency keys and batch jobs.

    Attributes:
        stream: The stream.
        keys: Idempotency keys of the stream.
        jobs: Batch jobs of the stream.
    """

    __slots__ = ('stream', 'keys', 'jobs')

    def __init__(
        self,
        stream: state.StateStream,
        keys: state.KeyTable,
        jobs: batch.BatchOwner,
    ) -> None:
        self.stream = stream
        self.keys = keys
        self.jobs = jobs

    async def run(self) -> None:
        """Runs what acts on the state while the stream is owned."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.keys.run)
            nursery.start_soon(self.jobs.run)
