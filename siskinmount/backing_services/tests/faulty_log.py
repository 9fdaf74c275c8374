"""A log whose calls fail, lose responses or take effect late."""

import trio

from siskinmount import results


class FaultyLog:
    """Forwards calls to a `FakeLog`, injecting faults from a seeded generator.

    Each process of a test has its own instance.

    Attributes:
        fault_share: Probability that an append meets a fault.
    """

    def __init__(self, log, generator, fault_share=0.2):
        self.fault_share = fault_share
        self._log = log
        self._generator = generator
        self._delayed_appends = []
        self._running = trio.Event()
        self._running.set()

    def freeze(self):
        """Blocks all calls, including those in progress, until `thaw`."""
        if self._running.is_set():
            self._running = trio.Event()

    def thaw(self):
        self._running.set()

    def deliver_late(self):
        """Makes a delayed append take effect after its caller has given up."""
        if self._delayed_appends:
            position = self._generator.randrange(len(self._delayed_appends))
            stream, data = self._delayed_appends.pop(position)
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
            self._delayed_appends.append((stream, data))
        if fault in ('dropped', 'late'):
            return _no_answer()
        answer = await self._log.append(stream, data)
        await self._running.wait()
        return _no_answer() if fault == 'lost' else answer

    async def read(self, stream, from_offset, **options):
        await self._running.wait()
        if self._generator.random() < self.fault_share / 4:
            await trio.sleep(self._generator.uniform(0, 3))
            return _no_answer()
        options['limit'] = self._generator.randint(1, 20)
        page = await self._log.read(stream, from_offset, **options)
        await self._running.wait()
        return page

    async def stream_range(self, stream):
        await self._running.wait()
        return await self._log.stream_range(stream)


def _no_answer():
    return results.Failure(
        results.ResultCode.LOG_APPEND_UNKNOWN,
        'no answer',
        results.RunState.UNKNOWN,
        50,
    )
