"""An in-memory log service with outages, lost responses and retention."""

import trio
import trio.lowlevel

from siskinmount import backing_services
from siskinmount import results


class FakeLog:
    """Implements `backing_services.LogService`.

    Attributes:
        is_down: Whether every call fails without effect.
        answers_lost: Number of next appends that take effect but whose response
            is lost.
        appends_dropped: Number of next appends that fail without effect, in a
            way that the client cannot tell from a lost response.
        append_count: Number of appends that took effect.
        held: Event that appends wait for before they take effect, or None.
    """

    def __init__(self):
        self.is_down = False
        self.answers_lost = 0
        self.appends_dropped = 0
        self.append_count = 0
        self.appended_bytes = 0
        self.held = None
        self._streams = {}
        self._first_offsets = {}
        self._appended = trio.Event()

    async def append(self, stream, data):
        await trio.lowlevel.checkpoint()
        if self.held is not None:
            await self.held.wait()
        if self.is_down:
            return _unavailable(results.RunState.NOT_RUN)
        if self.appends_dropped > 0:
            self.appends_dropped -= 1
            return _unavailable(results.RunState.UNKNOWN)
        offset = self.append_now(stream, data)
        if self.answers_lost > 0:
            self.answers_lost -= 1
            return _unavailable(results.RunState.UNKNOWN)
        return backing_services.Appended(offset)

    def append_now(self, stream, data):
        records = self._streams.setdefault(stream, [])
        records.append(data)
        self.append_count += 1
        self.appended_bytes += len(data)
        appended, self._appended = self._appended, trio.Event()
        appended.set()
        return len(records)

    async def read(
        self, stream, from_offset, *, limit=1000, max_bytes=1 << 20, wait_ms=0
    ):
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return _unavailable(results.RunState.NOT_RUN)
        records = self._streams.setdefault(stream, [])
        if from_offset > len(records) and wait_ms:
            with trio.move_on_after(wait_ms / 1000):
                while from_offset > len(records):
                    await self._appended.wait()
            if self.is_down:
                return _unavailable(results.RunState.NOT_RUN)
        first_offset = self._first_offsets.get(stream, 1)
        if from_offset < first_offset:
            return backing_services.LogExpired(first_offset)
        page = []
        size = 0
        for offset in range(from_offset, len(records) + 1):
            data = records[offset - 1]
            size += len(data)
            if len(page) >= limit or (page and size > max_bytes):
                break
            page.append(backing_services.LogRecord(offset, data))
        return backing_services.LogPage(first_offset, len(records) + 1, page)

    async def stream_range(self, stream):
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return _unavailable(results.RunState.NOT_RUN)
        return backing_services.StreamRange(
            self._first_offsets.get(stream, 1),
            len(self._streams.get(stream, [])) + 1,
        )

    def expire_before(self, stream, first_offset):
        """Expires the records before an offset."""
        self._first_offsets[stream] = first_offset

    def records(self, stream):
        return list(self._streams.get(stream, []))


def _unavailable(run_state):
    code = results.ResultCode.LOG_UNAVAILABLE
    if run_state is results.RunState.UNKNOWN:
        code = results.ResultCode.LOG_APPEND_UNKNOWN
    return results.Failure(code, 'the log is down', run_state, 100)
