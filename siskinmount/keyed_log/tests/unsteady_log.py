"""An in-memory keyed log with scripted delays, losses and expired history."""

import trio

from siskinmount import keyed_log
from siskinmount import results

_REFUSED = results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'refused')
_LOST = results.Failure(
    results.ResultCode.LOG_APPEND_UNKNOWN, 'lost', results.RunState.UNKNOWN
)
#: How long the client waits for an answer, beside the wait for a record.
_TIMEOUT_S = 1.5
_MAX_PAGE_RECORDS = 8


class Fault:
    """What happens to one call, or to one page of the newest records.

    Attributes:
        kind: None for an answer, 'refused' for a failure without effect, 'lost'
            for an effect or a read without an answer, 'late' for an append that
            is not answered and takes effect after the delay.
        delay_s: Delay of the effect if late, else of the answer.
    """

    def __init__(self, kind, delay_s):
        self.kind = kind
        self.delay_s = delay_s

    def __repr__(self):
        return f'Fault({self.kind!r}, {self.delay_s})'


class UnsteadyLog:
    """Implements `keyed_log.KeyedLog`.

    Attributes:
        records: All records that were ever appended.
        first_offset: Offset of the first record that `read` returns.
        append_faults: Faults of the next appends.
        read_faults: Faults of the next reads.
        page_faults: Faults of the next pages of newest records.
        page_keys: Number of keys in such a page.
    """

    def __init__(self, nursery):
        self.records = []
        self.first_offset = 0
        self.append_faults = []
        self.read_faults = []
        self.page_faults = []
        self.page_keys = 2
        self._nursery = nursery
        self._grown = trio.Event()

    def clear_faults(self):
        """Makes all further calls succeed at once."""
        self.append_faults = []
        self.read_faults = []
        self.page_faults = []

    def drop_history(self, offset):
        """Expires the records before an offset."""
        self.first_offset = max(
            self.first_offset, min(offset, len(self.records))
        )

    def put(self, key, value):
        """Appends a record at once, as another writer."""
        self._apply([keyed_log.KeyedRecord(key, value)], None)

    async def append(self, records, at_offset):
        """Implements `KeyedLog.append`."""
        fault = _take(self.append_faults)
        await trio.sleep(0.001)
        if fault.kind == 'refused':
            await trio.sleep(fault.delay_s)
            return _REFUSED
        if fault.kind == 'late':
            self._nursery.start_soon(
                self._append_late, records, at_offset, fault.delay_s
            )
            await trio.sleep(_TIMEOUT_S)
            return _LOST
        offset = self._apply(records, at_offset)
        if fault.kind == 'lost':
            await trio.sleep(_TIMEOUT_S)
            return _LOST
        await trio.sleep(fault.delay_s)
        if offset is None:
            return keyed_log.AppendRefusal.END_MOVED
        return offset

    async def read(self, from_offset, wait_ms):
        """Implements `KeyedLog.read`."""
        fault = _take(self.read_faults)
        await trio.sleep(0.001)
        if fault.kind == 'refused':
            return _REFUSED
        if fault.kind is not None:
            await trio.sleep(wait_ms / 1000 + _TIMEOUT_S)
            return _REFUSED
        with trio.move_on_after(wait_ms / 1000):
            while from_offset >= len(self.records):
                await self._grown.wait()
        if from_offset < self.first_offset:
            answer = keyed_log.OffsetExpired(self.first_offset)
        else:
            answer = keyed_log.LogPage(
                self.records[from_offset : from_offset + _MAX_PAGE_RECORDS],
                len(self.records),
            )
        await trio.sleep(fault.delay_s)
        return answer

    async def read_newest(self):
        """Implements `KeyedLog.read_newest`; its pages are no snapshot."""
        end_offset = None
        records = []
        after = ''
        while True:
            fault = _take(self.page_faults)
            await trio.sleep(0.001)
            if fault.kind == 'refused':
                return _REFUSED
            if fault.kind is not None:
                await trio.sleep(_TIMEOUT_S)
                return _REFUSED
            if end_offset is None:
                end_offset = len(self.records)
            keys = sorted(
                key for key in self.list_newest_values() if key > after
            )
            for key in keys[: self.page_keys]:
                records.append(self._find_newest(key))
                after = key
            await trio.sleep(fault.delay_s)
            if len(keys) <= self.page_keys:
                return keyed_log.LogPage(records, end_offset)

    def list_newest_values(self):
        """Returns the newest value of each key."""
        values = {}
        for record in self.records:
            values[record.key] = record.value
        return {key: value for key, value in values.items() if value}

    def _find_newest(self, key):
        for record in reversed(self.records):
            if record.key == key:
                return record
        raise AssertionError(f'no record of {key}')

    async def _append_late(self, records, at_offset, delay_s):
        await trio.sleep(delay_s)
        self._apply(records, at_offset)

    def _apply(self, records, at_offset):
        """Appends if the condition holds; returns the first offset or None."""
        offset = len(self.records)
        if at_offset is not None and at_offset != offset:
            return None
        for index, record in enumerate(records):
            self.records.append(
                keyed_log.KeyedRecord(record.key, record.value, offset + index)
            )
        self._grown.set()
        self._grown = trio.Event()
        return offset


def _take(faults):
    return faults.pop(0) if faults else Fault(None, 0)
