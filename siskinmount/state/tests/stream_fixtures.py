"""Helpers for tests of state streams."""

import itertools

import trio

from siskinmount import state
from siskinmount.state import records_pb2

_INCARNATIONS = itertools.count(1)


class TextList:
    """A state machine that keeps the keys of applied records in order."""

    kinds = frozenset({'key_dropped', 'key_entry'})

    def __init__(self):
        self.texts = []

    def apply(self, record, position):
        self.texts.append(record.key_dropped.key)

    def begin_term(self):
        pass

    def describe(self):
        for text in self.texts:
            yield records_pb2.Record(
                key_entry=records_pb2.KeyEntry(
                    intent=records_pb2.KeyIntent(key=text)
                )
            )

    def restore(self, record):
        self.texts.append(record.key_entry.intent.key)


class OwnershipTerm:
    """A stream that runs in a task, and how its term ended."""

    def __init__(self, stream, state_machine):
        self.stream = stream
        self.state_machine = state_machine
        self.ended = trio.Event()
        self.end = None

    @property
    def texts(self):
        return self.state_machine.texts

    async def run(self):
        self.end = await self.stream.run()
        self.ended.set()


class FrozenView:
    """The log as seen by one process; calls block while the view is frozen."""

    def __init__(self, log):
        self._log = log
        self._running = trio.Event()
        self._running.set()

    def freeze(self):
        if self._running.is_set():
            self._running = trio.Event()

    def thaw(self):
        self._running.set()

    async def append(self, stream, data):
        await self._running.wait()
        return await self._log.append(stream, data)

    async def read(self, stream, from_offset, **options):
        await self._running.wait()
        page = await self._log.read(stream, from_offset, **options)
        await self._running.wait()
        return page

    async def stream_range(self, stream):
        await self._running.wait()
        return await self._log.stream_range(stream)


class SilentReadLog:
    """A log of which a read can be made to hang, as on a dead connection."""

    def __init__(self, log):
        self.silence_next_read = False
        self._log = log
        self.append = log.append
        self.stream_range = log.stream_range

    async def read(self, stream, from_offset, **options):
        if self.silence_next_read:
            self.silence_next_read = False
            await trio.sleep_forever()
        return await self._log.read(stream, from_offset, **options)


def limits(**changes):
    return state.StreamLimits(**{'min_append_interval_ms': 1, **changes})


def clock_ms():
    return 1_700_000_000_000 + int(trio.current_time() * 1000)


def new_writer(vm):
    return state.Writer(vm, next(_INCARNATIONS))


async def start(log, nursery, vm, stream_limits=None, is_live=None):
    stream = state.create_state_stream(
        'state-0',
        log,
        new_writer(vm),
        stream_limits or limits(),
        is_live or (lambda vm: False),
        clock_ms,
    )
    state_machine = TextList()
    stream.add_state_machine(state_machine)
    term = OwnershipTerm(stream, state_machine)
    nursery.start_soon(term.run)
    return term


async def start_owner(log, nursery, vm, stream_limits=None, is_live=None):
    term = await start(log, nursery, vm, stream_limits, is_live)
    assert await term.stream.wait_owned()
    return term
