"""Keeps a local view of a keyed log up to date."""

from collections.abc import Callable
import logging
import random

import trio

from siskinmount import results
from siskinmount.keyed_log import _keyed_log

_LOGGER = logging.getLogger(__name__)

#: Longest wait of one read for a new record. A channel that has gone silent
#: shows after this and the client's bound on silence, so it stays near the
#: two seconds in which a change must be in force.
LONGEST_READ_WAIT_MS = 1500
#: Pause after a failed read: short against the two seconds in which a change
#: must be in force, long enough that refused calls stay few.
FIRST_RETRY_MS = 80
MAX_RETRY_MS = 600

#: An answer of more bytes may have been seconds on the way: the slowest link of
#: the deployments, 15 Mbit/s, takes 50 ms for so many.
SMALL_PAGE_BYTES = 100_000

#: Receives each record once, in the order of offsets for one key.
TakeRecord = Callable[[_keyed_log.KeyedRecord], None]
#: Receives all keys that the log holds after it was read anew.
TakeKeys = Callable[[set[str]], None]


class LogFollower:
    """Follows one partition and hands each record to a consumer.

    Attributes:
        name: Names the log in log lines.
        next_offset: The first offset that has not been taken yet.
        is_loaded: Whether the view has been complete once.
        confirmed_at_s: Steady time at which the last read that reached the
            end of the log was sent; the view is at least as new as that.
        current_at_s: Steady time at which the view last held all records, as
            far as is known.
        is_reachable: Whether the last call was answered.
        lost_at_s: Steady time at which the log was last found out of reach.
        regained_at_s: Steady time at which it was last reached again.
    """

    __slots__ = (
        'name',
        'next_offset',
        'is_loaded',
        'confirmed_at_s',
        'current_at_s',
        'is_reachable',
        'lost_at_s',
        'regained_at_s',
        '_log',
        '_take_record',
        '_take_keys',
        '_offset_by_key',
        '_changed',
    )

    def __init__(
        self,
        name: str,
        log: _keyed_log.KeyedLog,
        take_record: TakeRecord,
        take_keys: TakeKeys | None,
    ) -> None:
        self.name = name
        self.next_offset = 0
        self.is_loaded = False
        self.confirmed_at_s = float('-inf')
        self.current_at_s = float('-inf')
        self.is_reachable = True
        self.lost_at_s = float('-inf')
        self.regained_at_s = float('-inf')
        self._log = log
        self._take_record = take_record
        self._take_keys = take_keys
        self._offset_by_key: dict[str, int] = {}
        self._changed = trio.Event()

    async def run(self) -> None:
        """Follows the log for ever."""
        failures = 0
        while True:
            failure = await self._step()
            if failure is None:
                failures = 0
                self._note_reachable()
                continue
            failures += 1
            self._note_lost(failure)
            ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**failures)
            await trio.sleep(random.uniform(ceiling_ms / 2, ceiling_ms) / 1000)

    async def sync(self) -> results.Failure | None:
        """Reads up to the end of the log; returns None once that was reached."""
        while True:
            if not self.is_loaded:
                failure = await self._load()
                if failure is not None:
                    return failure
            sent_at_s = trio.current_time()
            page = await self._log.read(self.next_offset, 0)
            if isinstance(page, results.Failure):
                return page
            if isinstance(page, _keyed_log.HistoryGone):
                self.is_loaded = False
                continue
            self.take_page(page)
            if self.next_offset >= page.end_offset:
                self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
                return None

    def take_page(self, page: _keyed_log.LogPage) -> None:
        """Takes the records that have not been taken yet."""
        taken = False
        for record in page.records:
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                break
            self.next_offset = record.offset + 1
            self._take(record)
            taken = True
        if taken:
            self._notify()

    async def wait_changed(self) -> None:
        """Returns after the next record that is taken."""
        await self._changed.wait()

    def skip_to(self, offset: int) -> None:
        """Goes on behind records whose effect came from elsewhere."""
        self.next_offset = max(self.next_offset, offset)

    async def _step(self) -> results.Failure | None:
        """Makes one read."""
        if not self.is_loaded:
            return await self._load()
        sent_at_s = trio.current_time()
        page = await self._log.read(self.next_offset, LONGEST_READ_WAIT_MS)
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, _keyed_log.HistoryGone):
            _LOGGER.info(
                'log_history_gone',
                extra={
                    'log': self.name,
                    'next_offset': self.next_offset,
                    'first_offset': page.first_offset,
                },
            )
            self.is_loaded = False
            return None
        self.take_page(page)
        if self.next_offset >= page.end_offset:
            self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
            self.current_at_s = _estimate_answer_time(page, sent_at_s)
        return None

    async def _load(self) -> results.Failure | None:
        """Reads the newest record of each key and drops keys that are gone."""
        sent_at_s = trio.current_time()
        page = await self._log.read_newest()
        if isinstance(page, results.Failure):
            return page
        seen: set[str] = set()
        for record in page.records:
            seen.add(record.key)
            if record.offset > self._offset_by_key.get(record.key, -1):
                self._take(record)
        for key, offset in list(self._offset_by_key.items()):
            if key in seen or offset >= page.end_offset:
                continue
            self._take(_keyed_log.KeyedRecord(key, None, page.end_offset - 1))
        if self._take_keys is not None:
            self._take_keys(seen)
        self.next_offset = max(self.next_offset, page.end_offset)
        self.is_loaded = True
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
        _LOGGER.info(
            'log_loaded',
            extra={
                'log': self.name,
                'records': len(page.records),
                'next_offset': self.next_offset,
            },
        )
        self._notify()
        return None

    def _take(self, record: _keyed_log.KeyedRecord) -> None:
        """Remembers where a key stands and hands the record on."""
        if record.value is None:
            self._offset_by_key.pop(record.key, None)
        else:
            self._offset_by_key[record.key] = record.offset
        self._take_record(record)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _note_reachable(self) -> None:
        if self.is_reachable:
            return
        self.is_reachable = True
        self.regained_at_s = trio.current_time()
        _LOGGER.info(
            'dependency_regained',
            extra={
                'dependency': self.name,
                'lost_ms': int((trio.current_time() - self.lost_at_s) * 1000),
                'next_offset': self.next_offset,
            },
        )

    def _note_lost(self, failure: results.Failure) -> None:
        if not self.is_reachable:
            return
        self.is_reachable = False
        self.lost_at_s = trio.current_time()
        _LOGGER.warning(
            'dependency_lost',
            extra={
                'dependency': self.name,
                'code': int(failure.code),
                'reason': failure.reason,
                'next_offset': self.next_offset,
            },
        )


def _estimate_answer_time(page: _keyed_log.LogPage, sent_at_s: float) -> float:
    """Returns when the store made an answer that has just come.

    The wait for a record is over when it is made; only a long one is for long
    on the way, and may be as old as its request.
    """
    size = sum(len(record.value or b'') for record in page.records)
    if size > SMALL_PAGE_BYTES:
        return sent_at_s
    return trio.current_time()


def create_log_follower(
    name: str,
    log: _keyed_log.KeyedLog,
    take_record: TakeRecord,
    take_keys: TakeKeys | None = None,
) -> LogFollower:
    """Creates a follower; nothing is read before `run` or `sync`."""
    return LogFollower(name, log, take_record, take_keys)
