"""Replays the records of a stream into state machines."""

import logging

from google.protobuf import message

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import _epoch_filter
from siskinmount.state import _state_machine
from siskinmount.state import _time_index
from siskinmount.state import records_pb2

_LOGGER = logging.getLogger(__name__)


class Replay:
    """Applies a stream's records to its state machines.

    Attributes:
        filter: Decides which records are accepted.
        anchor: Newest complete snapshot; `replay_offset` is 0 if there is none.
        next_offset: First offset that has not been read.
        anchor_written_at_ms: When the newest snapshot was written, or the
            oldest record read if there is no snapshot; 0 if nothing was read.
        records_since_anchor: Log records read since the newest snapshot.
        bytes_since_anchor: Bytes of these records.
        time_index: Offsets by the time at which records were written.
    """

    __slots__ = (
        'filter',
        'anchor',
        'anchor_written_at_ms',
        'next_offset',
        'records_since_anchor',
        'bytes_since_anchor',
        'time_index',
        '_stream',
        '_state_machines_by_kind',
        '_chunks_by_snapshot',
        '_deferred_groups',
        '_is_restoring',
    )

    def __init__(
        self,
        stream: str,
        state_machines: list[_state_machine.StateMachine],
        time_index: _time_index.TimeIndex,
    ) -> None:
        self.filter = _epoch_filter.EpochFilter()
        self.anchor = records_pb2.Anchor()
        self.anchor_written_at_ms = 0
        self.next_offset = 1
        self.records_since_anchor = 0
        self.bytes_since_anchor = 0
        self.time_index = time_index
        self._stream = stream
        self._state_machines_by_kind = {
            kind: state_machine
            for state_machine in [*state_machines, time_index]
            for kind in state_machine.kinds
        }
        self._chunks_by_snapshot: dict[
            int, list[records_pb2.SnapshotChunk | None]
        ] = {}
        self._deferred_groups: list[tuple[int, records_pb2.Envelope]] = []
        self._is_restoring = False

    @property
    def is_restoring(self) -> bool:
        """Whether the end of the snapshot has not been read yet."""
        return self._is_restoring

    def start_at_snapshot(self, anchor: records_pb2.Anchor) -> None:
        """Starts replay at a complete snapshot."""
        self.filter.resume_at(anchor)
        self.anchor.CopyFrom(anchor)
        self.next_offset = anchor.replay_offset
        self._is_restoring = True

    def start_after_expiry(self, first_offset: int) -> None:
        """Starts replay at the oldest record, without the expired state."""
        self.filter.is_epoch_known = False
        self.next_offset = first_offset

    def apply(
        self, record: backing_services.LogRecord
    ) -> _epoch_filter.FilterDecision | results.Failure:
        """Applies the log record with the next offset."""
        self.next_offset = record.offset + 1
        self.records_since_anchor += 1
        self.bytes_since_anchor += len(record.data)
        envelope = records_pb2.Envelope()
        try:
            envelope.ParseFromString(record.data)
        except message.DecodeError as error:
            return self._invalid(record.offset, str(error))
        body = envelope.WhichOneof('body')
        if body is None:
            return self._invalid(record.offset, 'the record has no body')
        decision = self.filter.evaluate(envelope, record.offset)
        if decision is _epoch_filter.FilterDecision.CLAIM:
            self._chunks_by_snapshot.clear()
        if decision not in (
            _epoch_filter.FilterDecision.ACCEPTED,
            _epoch_filter.FilterDecision.CLAIM,
        ):
            return decision
        self.time_index.add(record.offset, envelope.written_at_ms)
        if not self.anchor_written_at_ms:
            self.anchor_written_at_ms = envelope.written_at_ms
        if body == 'group':
            self._handle_group(record.offset, envelope)
        elif body == 'snapshot_chunk':
            self._handle_chunk(envelope.snapshot_chunk)
        elif body == 'snapshot_end':
            self._handle_snapshot_end(envelope)
        return decision

    def describe(self) -> list[records_pb2.Record]:
        """Returns snapshot records that restore the current state."""
        state_machines = {
            id(state_machine): state_machine
            for state_machine in self._state_machines_by_kind.values()
        }
        described: list[records_pb2.Record] = []
        for state_machine in state_machines.values():
            described.extend(state_machine.describe())
        return described

    def _invalid(self, offset: int, reason: str) -> results.Failure:
        """Logs a record that cannot be decoded; it is never accepted."""
        _LOGGER.error(
            'log_record_invalid',
            extra={
                'code': int(results.ResultCode.LOG_RECORD_INVALID),
                'stream': self._stream,
                'offset': offset,
                'reason': reason,
            },
        )
        return results.Failure(results.ResultCode.LOG_RECORD_INVALID, reason)

    def _handle_group(
        self, offset: int, envelope: records_pb2.Envelope
    ) -> None:
        if self._is_restoring:
            self._deferred_groups.append((offset, envelope))
            return
        self._apply_group(offset, envelope)

    def _apply_group(self, offset: int, envelope: records_pb2.Envelope) -> None:
        """Applies the records of a group in order."""
        for index, record in enumerate(envelope.group.records):
            state_machine = self._state_machines_by_kind.get(
                record.WhichOneof('kind') or ''
            )
            if state_machine is None:
                continue
            position = _state_machine.Position(offset, index)
            state_machine.apply(record, position)

    def _handle_chunk(self, chunk: records_pb2.SnapshotChunk) -> None:
        """Registers a chunk; its content is kept only while restoring."""
        if chunk.snapshot not in self._chunks_by_snapshot:
            self._chunks_by_snapshot.clear()
        chunks = self._chunks_by_snapshot.setdefault(chunk.snapshot, [])
        if chunk.chunk != len(chunks):
            del self._chunks_by_snapshot[chunk.snapshot]
            return
        chunks.append(chunk if self._is_restoring else None)

    def _handle_snapshot_end(self, envelope: records_pb2.Envelope) -> None:
        """Updates the anchor if a snapshot is complete, restoring if needed."""
        end = envelope.snapshot_end
        chunks = self._chunks_by_snapshot.pop(end.snapshot, [])
        if len(chunks) != end.chunk_count:
            return
        if self._is_restoring:
            if end.through_offset + 1 != self.anchor.replay_offset:
                return
            self._restore(chunks)
        self.records_since_anchor = self.next_offset - end.through_offset
        self.bytes_since_anchor = 0
        self.anchor_written_at_ms = envelope.written_at_ms
        self.anchor.replay_offset = end.through_offset + 1
        self.anchor.epoch = envelope.epoch
        self.anchor.sequence = end.through_sequence
        self.anchor.owner_vm = envelope.writer_vm
        self.anchor.owner_incarnation = envelope.writer_incarnation

    def _restore(self, chunks: list[records_pb2.SnapshotChunk | None]) -> None:
        """Restores the state machines, then applies the deferred groups."""
        for chunk in chunks:
            if chunk is None:
                continue
            for record in chunk.records:
                state_machine = self._state_machines_by_kind.get(
                    record.WhichOneof('kind') or ''
                )
                if state_machine is not None:
                    state_machine.restore(record)
        self._is_restoring = False
        deferred, self._deferred_groups = self._deferred_groups, []
        for offset, envelope in deferred:
            self._apply_group(offset, envelope)
