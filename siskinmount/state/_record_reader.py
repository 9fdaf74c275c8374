"""Reads records of a stream on demand, for data not kept in memory."""

import collections

from google.protobuf import message

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import records_pb2

MAX_CACHED_BYTES = 8 * 1024 * 1024


class RecordReader:
    """Reads the records at an offset through a least-recently-used cache."""

    __slots__ = ('_log', '_stream', '_groups', '_sizes', '_cached_bytes')

    def __init__(self, log: backing_services.LogService, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._groups: collections.OrderedDict[int, records_pb2.Group] = (
            collections.OrderedDict()
        )
        self._sizes: dict[int, int] = {}
        self._cached_bytes = 0

    async def fetch(self, offset: int) -> records_pb2.Group | results.Failure:
        """Returns the records that were committed together at an offset."""
        cached = self._groups.get(offset)
        if cached is not None:
            self._groups.move_to_end(offset)
            return cached
        page = await self._log.read(self._stream, offset, limit=1)
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, backing_services.LogExpired) or not page.records:
            return results.Failure(
                results.ResultCode.LOG_RECORD_EXPIRED,
                f'the log no longer holds record {offset} of {self._stream}',
            )
        envelope = records_pb2.Envelope()
        data = page.records[0].data
        try:
            envelope.ParseFromString(data)
        except message.DecodeError as error:
            return results.Failure(
                results.ResultCode.LOG_RECORD_INVALID, str(error)
            )
        self._cache(offset, envelope.group, len(data))
        return envelope.group

    def _cache(
        self, offset: int, group: records_pb2.Group, size_bytes: int
    ) -> None:
        """Caches a group and evicts the least recently used ones."""
        if offset in self._groups:
            return
        self._groups[offset] = group
        self._sizes[offset] = size_bytes
        self._cached_bytes += size_bytes
        while self._cached_bytes > MAX_CACHED_BYTES and len(self._groups) > 1:
            evicted, _ = self._groups.popitem(last=False)
            self._cached_bytes -= self._sizes.pop(evicted)
