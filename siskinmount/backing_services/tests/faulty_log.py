"""One process's view of a log: calls fail, answers get lost, appends lag."""

import trio

from siskinmount import results


class FaultyLog:
    """Passes calls on to a `FakeLog`, with faults from a seeded generator.

    Attributes:
        fault_share: Share of appends that meet a fault.
    """

    def __init__(self, log, generator, fault_share=0.2):
        self.fault_share = fault_share
        self._log = log
        self._generator = generator
        self._in_transit = []
        self._running = trio.Event()
        self._running.set()

    def freeze(self):
        """Makes all calls wait, those under way included."""
        if self._running.is_set():
            self._running = trio.Event()

    def thaw(self):
        self._running.set()

    def deliver_late(self):
        """Lets an append take effect long after its caller gave it up."""
        if self._in_transit:
            position = self._generator.randrange(len(self._in_transit))
            stream, data = self._in_transit.pop(position)
            self._log.append_now(stream, data)

    async def append(self, stream, data):
        await self._running.wait()
        await trio.sleep(self._generator.uniform(0, 0.02))
        fault = None
        if self._generator.random() < self.fault_share:
            fault = self._generator.choice(('lost', 'dropped', 'late', 'slow'))
        if fault == 'slow':
            await trio.sleep(self._generator.uniform(0, 8))
        if fault == 'late':
            self._in_transit.append((stream, data))
        if fault in ('dropped', 'late'):
            return _unknown()
        answer = await self._log.append(stream, data)
        await self._running.wait()
        return _unknown() if fault == 'lost' else answer

    async def read(self, stream, from_offset, **options):
        await self._running.wait()
        if self._generator.random() < self.fault_share / 4:
            await trio.sleep(self._generator.uniform(0, 3))
            return _unknown()
        options['limit'] = self._generator.randint(1, 20)
        page = await self._log.read(stream, from_offset, **options)
        await self._running.wait()
        return page

    async def stream_range(self, stream):
        await self._running.wait()
        return await self._log.stream_range(stream)


def _unknown():
    return results.Failure(
        results.ResultCode.LOG_APPEND_UNKNOWN,
        'no answer',
        results.RunState.UNKNOWN,
        50,
    )
