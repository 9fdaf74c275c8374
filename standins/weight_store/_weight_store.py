"""The weight store's HTTP interface."""

import trio

from standins import faults as faults_module

CHUNK_BYTES = 64 * 1024
RETRY_AFTER_S = 1


class WeightStore:
    """Streams weights at a limited rate to a limited number of readers.

    Attributes:
        read_count: Number of started reads.
        refused_count: Number of reads refused over the reader limit.
    """

    __slots__ = (
        'read_count',
        'refused_count',
        '_size_bytes',
        '_bytes_per_s',
        '_max_readers',
        '_reader_count',
    )

    def __init__(
        self, size_bytes: int, bytes_per_s: int, max_readers: int
    ) -> None:
        self.read_count = 0
        self.refused_count = 0
        self._size_bytes = size_bytes
        self._bytes_per_s = bytes_per_s
        self._max_readers = max_readers
        self._reader_count = 0

    async def handle(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Answers one request."""
        head = exchange.head
        if head.path == '/control/counts':
            counts = {'reads': self.read_count, 'refused': self.refused_count}
            await exchange.send_json(200, counts)
            return
        parts = head.path.strip('/').split('/')
        if head.method != 'GET' or len(parts) != 3 or parts[0] != 'weights':
            await exchange.send_json(404, {'error': 'no such path'})
            return
        if self._reader_count >= self._max_readers:
            self.refused_count += 1
            retry_after = str(RETRY_AFTER_S).encode('ascii')
            await exchange.send_json(
                429,
                {'error': 'readers'},
                [(b'retry-after', retry_after)],
            )
            return
        self.read_count += 1
        self._reader_count += 1
        try:
            await self._stream_weights(exchange)
        finally:
            self._reader_count -= 1

    async def _stream_weights(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Sends the weights at this reader's share of the rate."""
        content_type = (b'content-type', b'application/octet-stream')
        await exchange.start_stream(200, [content_type])
        left_bytes = self._size_bytes
        while left_bytes:
            chunk_bytes = min(CHUNK_BYTES, left_bytes)
            await exchange.send_chunk(bytes(chunk_bytes))
            left_bytes -= chunk_bytes
            share_bytes_per_s = self._bytes_per_s / self._reader_count
            await trio.sleep(chunk_bytes / share_bytes_per_s)
        await exchange.finish()


def create_weight_store(
    *,
    size_bytes: int = 4 * 1024 * 1024,
    bytes_per_s: int = 16 * 1024 * 1024,
    max_readers: int = 2,
) -> WeightStore:
    """Creates a store.

    Args:
        size_bytes: Size of each model's weights.
        bytes_per_s: Total rate, shared by all readers.
        max_readers: Limit on concurrent readers; further ones are refused.
    """
    return WeightStore(size_bytes, bytes_per_s, max_readers)
