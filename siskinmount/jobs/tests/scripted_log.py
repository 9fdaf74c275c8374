"""An in-memory keyed log with scripted append failures."""

import trio

from siskinmount import keyed_log
from siskinmount import results

REFUSED = results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'refused')
LOST = results.Failure(
    results.ResultCode.LOG_APPEND_UNKNOWN, 'lost', results.RunState.UNKNOWN
)


class ScriptedLog:
    """Implements `keyed_log.KeyedLog`.

    Attributes:
        records: All records.
        outcomes: Outcomes of the next appends: None for success, `REFUSED` for
            a failure without effect, `LOST` for a failure after the effect, and
            'late' for a failure whose effect comes with `apply_late`.
        late: Records and condition of the late appends.
    """

    def __init__(self):
        self.records = []
        self.outcomes = []
        self.late = []
        self.first_offset = 0
        self.grown = trio.Event()

    async def append(self, records, at_offset):
        await trio.lowlevel.checkpoint()
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome is REFUSED:
            return REFUSED
        if outcome == 'late':
            self.late.append((records, at_offset))
            return LOST
        offset = self.apply(records, at_offset)
        if outcome is LOST:
            return LOST
        if offset is None:
            return keyed_log.AppendRefusal.END_MOVED
        return offset

    def apply(self, records, at_offset):
        """Appends if the condition holds; returns the first offset or None."""
        offset = len(self.records)
        if at_offset is not None and at_offset != offset:
            return None
        for index, record in enumerate(records):
            self.records.append(
                keyed_log.KeyedRecord(record.key, record.value, offset + index)
            )
        self.grown.set()
        self.grown = trio.Event()
        return offset

    def apply_late(self):
        """Applies the late appends whose condition still holds."""
        for records, at_offset in self.late:
            self.apply(records, at_offset)
        self.late.clear()

    async def read(self, from_offset, wait_ms):
        await trio.lowlevel.checkpoint()
        with trio.move_on_after(wait_ms / 1000):
            while from_offset >= len(self.records):
                await self.grown.wait()
        if from_offset < self.first_offset:
            return keyed_log.OffsetExpired(self.first_offset)
        return keyed_log.LogPage(self.records[from_offset:], len(self.records))

    async def read_newest(self):
        await trio.lowlevel.checkpoint()
        newest = {}
        for record in self.records:
            newest[record.key] = record
        kept = [record for record in newest.values() if record.value]
        return keyed_log.LogPage(
            sorted(kept, key=lambda record: record.key), len(self.records)
        )
