"""Compares replay from snapshots with replay of the whole stream."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import backing_services
from siskinmount.state import _replay
from siskinmount.state import _snapshot_writer
from siskinmount.state import _time_index
from siskinmount.state import records_pb2
from siskinmount.state.tests import stream_fixtures


def _new_replay():
    texts = stream_fixtures.TextList()
    time_index = _time_index.TimeIndex(1000)
    return _replay.Replay('state-0', [texts], time_index), texts


class _StreamBuilder:
    """Builds a stream as owners write it, with repeated and stale records."""

    def __init__(self):
        self.records = []
        self.anchors = []
        self.replay, self.texts = _new_replay()
        self._sequence = 0
        self._vm_number = 0
        self._snapshot = None
        self._snapshot_count = 0
        self.claim()

    def step(self, action, number):
        match action:
            case 'group':
                self.append(self.group())
            case 'copy':
                self.take(self.records[-1 - number % len(self.records)])
            case 'stale':
                envelope = self.group()
                envelope.epoch -= 1
                self.append(envelope)
            case 'claim':
                self.claim()
            case 'snapshot':
                self.write_snapshot()

    def claim(self):
        self._snapshot = None
        self._vm_number += 1
        self.append(
            records_pb2.Envelope(
                claim=records_pb2.Claim(previous_epoch=self.replay.filter.epoch)
            )
        )

    def group(self):
        return records_pb2.Envelope(
            epoch=self.replay.filter.epoch,
            group=records_pb2.Group(
                records=[
                    records_pb2.Record(
                        key_dropped=records_pb2.KeyDropped(
                            key=str(len(self.records))
                        )
                    )
                ]
            ),
        )

    def write_snapshot(self):
        """Begins a snapshot, or writes the next part of it."""
        if self._snapshot is None:
            self._snapshot_count += 1
            self._snapshot = _snapshot_writer.SnapshotWriter(
                self.replay, self._snapshot_count, 16
            )
            return
        envelope = self._snapshot.pop_next()
        envelope.epoch = self.replay.filter.epoch
        self.append(envelope)
        if self._snapshot.is_finished:
            self._snapshot = None

    def append(self, envelope):
        self._sequence += 1
        envelope.sequence = self._sequence
        envelope.writer_vm = f'vm-{self._vm_number}'
        envelope.writer_incarnation = 1
        envelope.written_at_ms = len(self.records) + 1
        self.take(envelope.SerializeToString())

    def take(self, data):
        self.records.append(data)
        self.replay.apply(backing_services.LogRecord(len(self.records), data))
        anchor = records_pb2.Anchor.FromString(
            self.replay.anchor.SerializeToString()
        )
        if anchor.replay_offset and anchor not in self.anchors:
            self.anchors.append(anchor)


class ReplayTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ('group',) * 3
                    + ('snapshot',) * 4
                    + ('copy',) * 2
                    + ('stale', 'claim')
                ),
                strategies.integers(0, 9),
            ),
            max_size=60,
        )
    )
    def test_replay_from_any_snapshot_gives_the_same_state(self, steps):
        builder = _StreamBuilder()
        for action, number in steps:
            builder.step(action, number)
        for anchor in builder.anchors:
            replay, texts = _new_replay()
            replay.start_at_snapshot(anchor)
            for offset in range(anchor.replay_offset, len(builder.records) + 1):
                record = backing_services.LogRecord(
                    offset, builder.records[offset - 1]
                )
                replay.apply(record)
            self.assertFalse(replay.is_restoring)
            self.assertEqual(builder.texts.texts, texts.texts)
            for name in ('epoch', 'sequence', 'owner_vm', 'is_released'):
                self.assertEqual(
                    getattr(builder.replay.filter, name),
                    getattr(replay.filter, name),
                )
            self.assertEqual(builder.replay.anchor, replay.anchor)
