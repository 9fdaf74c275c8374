"""Splits a snapshot of a stream's state into chunks."""

import collections

from siskinmount.state import _replay
from siskinmount.state import records_pb2


class SnapshotWriter:
    """The envelopes of one snapshot that are still to be appended.

    The snapshot holds the state as of one offset, although other records may
    be committed between its chunks.
    """

    __slots__ = ('_remaining',)

    def __init__(
        self, replay: _replay.Replay, number: int, chunk_bytes: int
    ) -> None:
        """Captures the current state.

        Args:
            replay: Holds the state.
            number: Number of the snapshot, unique within the epoch.
            chunk_bytes: Most bytes in one chunk.
        """
        self._remaining: collections.deque[
            records_pb2.SnapshotChunk | records_pb2.SnapshotEnd
        ] = collections.deque()
        chunk = records_pb2.SnapshotChunk(snapshot=number, chunk=0)
        size_bytes = 0
        for record in replay.describe():
            record_bytes = record.ByteSize()
            if chunk.records and size_bytes + record_bytes > chunk_bytes:
                self._remaining.append(chunk)
                chunk = records_pb2.SnapshotChunk(
                    snapshot=number, chunk=chunk.chunk + 1
                )
                size_bytes = 0
            chunk.records.append(record)
            size_bytes += record_bytes
        self._remaining.append(chunk)
        self._remaining.append(
            records_pb2.SnapshotEnd(
                snapshot=number,
                chunk_count=chunk.chunk + 1,
                through_offset=replay.next_offset - 1,
                through_sequence=replay.filter.sequence,
            )
        )

    @property
    def is_finished(self) -> bool:
        """Whether all envelopes have been taken."""
        return not self._remaining

    def pop_next(self) -> records_pb2.Envelope:
        """Removes and returns the envelope of the next chunk or the end."""
        body = self._remaining.popleft()
        if isinstance(body, records_pb2.SnapshotEnd):
            return records_pb2.Envelope(snapshot_end=body)
        return records_pb2.Envelope(snapshot_chunk=body)
