"""Follows a keyed log and keeps a local view up to date."""

from collections.abc import Callable
import logging
import random
import time

import trio

from siskinmount import results
from siskinmount.keyed_log import _keyed_log

_LOGGER = logging.getLogger(__name__)

#: Longest wait of one read for a new record. A dead connection is detected
#: after this time plus the client's silence timeout, which must stay near the
#: two seconds within which a change must be in force.
LONGEST_READ_WAIT_MS = 1500
#: Back-off after a failed read: short against the two seconds within which a
#: change must be in force, long enough to keep refused calls rare.
FIRST_RETRY_MS = 80
MAX_RETRY_MS = 600

#: Transfer of this many bytes takes 50 ms on the slowest link of the
#: deployments (15 Mbit/s). Larger answers may take seconds.
SMALL_PAGE_BYTES = 100_000

#: After a failed load, others that need the log are told so for this long
#: instead of loading it again: the log may be overloaded.
LOAD_RETRY_S = 0.6

#: Called for each record in the order of offsets. After a reload that read
#: records newer than its end, these are repeated.
RecordCallback = Callable[[_keyed_log.KeyedRecord], None]
#: Called with all keys in the log after a reload.
KeysCallback = Callable[[set[str]], None]
#: Called after a read that reached the end of the log, with the time by the
#: boot clock before the read was sent: the view contains all records that the
#: log had at that time.
EndCallback = Callable[[float], None]


class LogEnd:
    """Where a log ended when it was read.

    Attributes:
        offset: Offset of the next record; records from there on were written
            later.
        seen_at_s: Monotonic time at which that read was sent.
    """

    __slots__ = ('offset', 'seen_at_s')

    def __init__(self, offset: int, seen_at_s: float) -> None:
        self.offset = offset
        self.seen_at_s = seen_at_s


class LogFollower:
    """Follows one partition and passes each record to a callback.

    Attributes:
        name: Name of the log in log lines.
        next_offset: Offset of the next record to apply.
        is_loaded: Whether all keys have been loaded; False again once records
            that were not read are no longer kept.
        confirmed_at_s: Monotonic time at which the last read that reached the
            end of the log was sent; the view is at least as new as that.
        current_at_s: Estimated monotonic time at which the view last contained
            all records.
        is_reachable: Whether the last call was answered.
        is_pausing: Whether the log may have new records, as the next read is
            put off.
        lost_at_s: Monotonic time at which the log last became unreachable.
        regained_at_s: Monotonic time at which the log last became reachable.
        confirmed_at_boot_s: Time by the boot clock, which counts while the
            machine is suspended, at which the last read that reached the end
            of the log was sent. A load does not count: it may go on with pages
            that were read earlier.
    """

    __slots__ = (
        'name',
        'next_offset',
        'is_loaded',
        'confirmed_at_s',
        'confirmed_at_boot_s',
        'current_at_s',
        'is_reachable',
        'is_pausing',
        'lost_at_s',
        'regained_at_s',
        '_log',
        '_on_record',
        '_on_keys',
        '_read_interval_s',
        '_offset_by_key',
        '_changed',
        '_has_read_records',
        '_paced_at_s',
        '_end',
        '_may_load',
        '_loading',
        '_load_failure',
        '_load_failed_at_s',
        '_read_wait_ms',
        '_boot_clock',
        '_on_end',
    )

    def __init__(
        self,
        name: str,
        log: _keyed_log.KeyedLog,
        on_record: RecordCallback,
        on_keys: KeysCallback | None,
        read_interval_s: float,
        may_load: Callable[[], bool],
        read_wait_ms: int,
        boot_clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.next_offset = 0
        self.is_loaded = False
        self.confirmed_at_s = float('-inf')
        self.confirmed_at_boot_s = float('-inf')
        self.current_at_s = float('-inf')
        self.is_reachable = True
        self.lost_at_s = float('-inf')
        self.regained_at_s = float('-inf')
        self._log = log
        self._on_record = on_record
        self._on_keys = on_keys
        self._read_interval_s = read_interval_s
        self.is_pausing = False
        self._offset_by_key: dict[str, int] = {}
        self._changed = trio.Event()
        self._has_read_records = False
        self._paced_at_s = float('-inf')
        self._end: LogEnd | None = None
        self._may_load = may_load
        self._loading: trio.Event | None = None
        self._load_failure: results.Failure | None = None
        self._load_failed_at_s = float('-inf')
        self._read_wait_ms = read_wait_ms
        self._boot_clock = boot_clock
        self._on_end: EndCallback = _ignore_end

    def watch_end(self, on_end: EndCallback) -> None:
        """Sets the function that is told of reads that reached the end."""
        self._on_end = on_end

    async def run(self) -> None:
        """Follows the log until cancelled."""
        failures = 0
        while True:
            failure = await self._step()
            if failure is None:
                failures = 0
                self._mark_reachable()
                await self._pause()
                continue
            failures += 1
            self._mark_lost(failure)
            ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**failures)
            await trio.sleep(random.uniform(ceiling_ms / 2, ceiling_ms) / 1000)

    async def _pause(self) -> None:
        """Waits after a read that brought records soon after another.

        The records of that time come with one read, and not with one each.
        """
        if not self._has_read_records:
            return
        now_s = trio.current_time()
        due_at_s = self._paced_at_s + self._read_interval_s
        self._paced_at_s = max(now_s, due_at_s)
        if due_at_s <= now_s:
            return
        self.is_pausing = True
        try:
            await trio.sleep_until(due_at_s)
        finally:
            self.is_pausing = False

    async def sync(self) -> results.Failure | None:
        """Reads up to the end of the log; returns None when it is reached."""
        while True:
            if not self.is_loaded:
                failure = await self._load_for_all(LOAD_RETRY_S)
                if failure is not None:
                    return failure
            sent_at_s = trio.current_time()
            sent_at_boot_s = self._boot_clock()
            page = await self._log.read(self.next_offset, 0)
            if isinstance(page, results.Failure):
                return page
            if isinstance(page, _keyed_log.OffsetExpired):
                self.is_loaded = False
                continue
            self.apply_page(page)
            if self.next_offset >= page.end_offset:
                self._record_end(sent_at_s)
                self._confirm(sent_at_boot_s)
                return None

    async def read_end(
        self, log: _keyed_log.EndReadableLog
    ) -> results.Failure | None:
        """Reads where the log ends, beside the reads of `run`.

        Returns None also if the log has records that another read receives.

        Args:
            log: The followed log.
        """
        sent_at_s = trio.current_time()
        sent_at_boot_s = self._boot_clock()
        page = await log.read_end(self.next_offset)
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, _keyed_log.OffsetExpired):
            # The next read of `run` finds the same and loads the log.
            return None
        self.apply_page(page)
        if self.is_loaded and self.next_offset >= page.end_offset:
            self._record_end(sent_at_s)
            self._confirm(sent_at_boot_s)
        return None

    def apply_page(self, page: _keyed_log.LogPage) -> None:
        """Applies the records of a page that have not been applied yet."""
        is_changed = False
        for record in page.records:
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                break
            self.next_offset = record.offset + 1
            self._apply(record)
            is_changed = True
        if is_changed:
            self._notify()

    async def wait_changed(self) -> None:
        """Returns after the next change of the view."""
        await self._changed.wait()

    def skip_to(self, offset: int) -> None:
        """Skips records before an offset whose effect came from elsewhere."""
        self.next_offset = max(self.next_offset, offset)

    def get_end(self) -> LogEnd | None:
        """Returns the end at the last read that reached it, if there is one."""
        return self._end

    def _record_end(self, sent_at_s: float) -> None:
        """Records that a read sent at this time reached the end."""
        if sent_at_s < self.confirmed_at_s:
            return
        self.confirmed_at_s = sent_at_s
        self._end = LogEnd(self.next_offset, sent_at_s)

    def _confirm(self, sent_at_boot_s: float) -> None:
        """Records that a read sent at this boot time reached the end."""
        self.confirmed_at_boot_s = max(self.confirmed_at_boot_s, sent_at_boot_s)
        self._on_end(sent_at_boot_s)

    async def _step(self) -> results.Failure | None:
        """Performs one read, or a reload if needed."""
        if not self.is_loaded:
            return await self._load_for_all(0.0)
        sent_at_s = trio.current_time()
        sent_at_boot_s = self._boot_clock()
        page = await self._log.read(self.next_offset, self._read_wait_ms)
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, _keyed_log.OffsetExpired):
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
        self._has_read_records = bool(page.records)
        self.apply_page(page)
        if self.next_offset >= page.end_offset:
            self._record_end(sent_at_s)
            self._confirm(sent_at_boot_s)
            self.current_at_s = _estimate_answer_time(page, sent_at_s)
        return None

    async def _load_for_all(self, retry_s: float) -> results.Failure | None:
        """Loads the log once for all that wait for it at the same time.

        Args:
            retry_s: Time after a failure within which it is returned again.
        """
        while self._loading is not None:
            await self._loading.wait()
            if self.is_loaded or self._load_failure is not None:
                return self._load_failure
            # The task that loaded was cancelled.
        failed_s = trio.current_time() - self._load_failed_at_s
        if self._load_failure is not None and failed_s < retry_s:
            return self._load_failure
        if not self._may_load():
            return _WAITS_FOR_OTHERS
        loading = trio.Event()
        self._loading = loading
        self._load_failure = None
        try:
            failure = await self._load()
            self._load_failure = failure
            self._load_failed_at_s = trio.current_time()
            return failure
        finally:
            self._loading = None
            loading.set()

    async def _load(self) -> results.Failure | None:
        """Reads the newest record of each key and drops keys that are gone."""
        sent_at_s = trio.current_time()
        page = await self._log.read_newest()
        if isinstance(page, results.Failure):
            return page
        if page.end_offset >= self.next_offset:
            self._apply_newest(page)
        # Else records that are not in the page have been applied meanwhile, and
        # the view is complete up to `next_offset`: keys that have been dropped
        # since must not return.
        self.is_loaded = True
        self._record_end(sent_at_s)
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

    def _apply_newest(self, page: _keyed_log.LogPage) -> None:
        """Applies the newest record of each key, and drops keys without one."""
        keys = {record.key for record in page.records}
        # Drops come first: they may be older than the records of other keys.
        for key, offset in list(self._offset_by_key.items()):
            if key in keys or offset >= page.end_offset:
                continue
            self._apply(_keyed_log.KeyedRecord(key, None, page.end_offset - 1))
        # Writers rely on the order of offsets between keys too: the parts of a
        # value precede its first part.
        for record in sorted(page.records, key=_get_offset):
            if record.offset > self._offset_by_key.get(record.key, -1):
                self._apply(record)
        if self._on_keys is not None:
            self._on_keys(keys)
        self.next_offset = page.end_offset

    def _apply(self, record: _keyed_log.KeyedRecord) -> None:
        """Updates the offset of a key and passes the record to the callback."""
        if record.value is None:
            self._offset_by_key.pop(record.key, None)
        else:
            self._offset_by_key[record.key] = record.offset
        try:
            self._on_record(record)
        except Exception:
            # The record stays in the log: without this, each member would fail
            # at it again and again.
            _LOGGER.exception(
                'record_not_applied',
                extra={
                    'code': int(results.ResultCode.LOG_RECORD_INVALID),
                    'log': self.name,
                    'key': record.key,
                    'offset': record.offset,
                },
            )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _mark_reachable(self) -> None:
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

    def _mark_lost(self, failure: results.Failure) -> None:
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


def _allow_load() -> bool:
    return True


def _ignore_end(sent_at_boot_s: float) -> None:
    del sent_at_boot_s


def _read_boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_WAITS_FOR_OTHERS = results.Failure(
    results.ResultCode.LOG_UNAVAILABLE,
    'logs that are needed more urgently are loaded first',
    results.RunState.NOT_RUN,
)


def _get_offset(record: _keyed_log.KeyedRecord) -> int:
    return record.offset


def _estimate_answer_time(page: _keyed_log.LogPage, sent_at_s: float) -> float:
    """Returns the estimated time at which the log produced an answer.

    A read that waits for a record is answered when there is one, so a small
    answer that has just arrived is current. A large one takes long to transfer
    and may be as old as its request.
    """
    size = sum(len(record.value or b'') for record in page.records)
    if size > SMALL_PAGE_BYTES:
        return sent_at_s
    return trio.current_time()


def create_log_follower(
    name: str,
    log: _keyed_log.KeyedLog,
    on_record: RecordCallback,
    on_keys: KeysCallback | None = None,
    read_interval_s: float = 0.0,
    may_load: Callable[[], bool] = _allow_load,
    read_wait_ms: int = LONGEST_READ_WAIT_MS,
    boot_clock: Callable[[], float] = _read_boot_clock,
) -> LogFollower:
    """Creates a follower; nothing is read before `run` or `sync`.

    Args:
        name: Name of the log in log lines.
        log: The partition to follow.
        on_record: Called for each record.
        on_keys: Called with all keys after a reload.
        read_interval_s: Shortest mean time between reads that bring records.
        may_load: Returns whether all keys may be loaded now.
        read_wait_ms: Longest wait of one read for a new record, at most
            `LONGEST_READ_WAIT_MS`.
        boot_clock: Returns seconds, those of a suspension of the machine
            included.
    """
    return LogFollower(
        name,
        log,
        on_record,
        on_keys,
        read_interval_s,
        may_load,
        read_wait_ms,
        boot_clock,
    )
