"""What an entry builds from one state stream that it owns."""

import trio

from siskinmount import state


class EntryShard:
    """One state stream with its idempotency keys.

    Attributes:
        stream: The stream.
        keys: Idempotency keys of the stream.
    """

    __slots__ = ('stream', 'keys')

    def __init__(
        self,
        stream: state.StateStream,
        keys: state.KeyTable,
    ) -> None:
        self.stream = stream
        self.keys = keys

    async def run(self) -> None:
        """Runs what acts on the state while the stream is owned."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.keys.run)
