"""Records what began a stream, before its first event reaches the caller.

Streams that start while an append is under way are recorded together by the next
one. Each record holds the streams of a few seconds, under a key of this member
that is used again only after a rest: by then its streams cannot be resumed any
more, and no append of it that was not answered can still take effect.
"""

import collections
import logging
import math

import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.stream_origins import _origin_table
from siskinmount.stream_origins import _record_codec

_LOGGER = logging.getLogger(__name__)

#: How long one record takes further streams: a bound on the number of keys and
#: on the bytes that are written again with each append.
RECORD_OPEN_S = 4.0
#: Rest of a key: the life of a stream, and as long again for appends that take
#: effect late.
KEY_REST_S = 2 * _origin_table.STREAM_LIFE_S
#: Largest number of keys of one member.
MAX_KEYS = 1024
#: Keys that a process leaves out after those that the one before it has written:
#: appends of that one may still take effect.
RESTART_GAP_KEYS = 64
#: Timeout of an append in mean times of an answer, doubled with each failure.
#: Answers may be lost, and the first event of a stream waits for one.
TIMEOUT_ANSWERS = 4.0
MIN_TIMEOUT_S = 0.06
MAX_TIMEOUT_S = 1.0
#: Pause before the second retry, doubled with each further one; the first
#: follows at once.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5
#: Weight of a new sample in the moving average of the time of an answer.
ANSWER_SAMPLE_WEIGHT = 0.3
INITIAL_ANSWER_S = 0.01
#: Longest mean time of an answer with which first events can wait for records.
MAX_USABLE_ANSWER_S = 0.1
#: A stream that was not recorded for this long has been given up.
PENDING_LIFE_S = 5.0
#: Largest number of streams in one record; the store takes 256 KB.
MAX_RECORD_STREAMS = 2000


class PendingRecord:
    """A stream whose record is being written.

    Attributes:
        origin: The stream and the software that begins it.
        submitted_at_s: Monotonic time since which it waits.
        recorded: Set once the record is in the log.
        may_be_recorded: Whether an append with it has been sent.
    """

    __slots__ = ('origin', 'submitted_at_s', 'recorded', 'may_be_recorded')

    def __init__(self, origin: _origin_table.StreamOrigin) -> None:
        self.origin = origin
        self.submitted_at_s = trio.current_time()
        self.recorded = trio.Event()
        self.may_be_recorded = False


class _OpenRecord:
    """The record that takes streams now.

    Attributes:
        number: Number of its key.
        opened_at_s: Monotonic time of its first append.
        origins: Streams that it holds.
    """

    __slots__ = ('number', 'opened_at_s', 'origins')

    def __init__(self, number: int) -> None:
        self.number = number
        self.opened_at_s = trio.current_time()
        self.origins: list[_origin_table.StreamOrigin] = []


class OriginRecorder:
    """Appends the origins of streams to the log, those of a moment at once.

    Attributes:
        append_count: Appends that were sent.
    """

    __slots__ = (
        'append_count',
        '_log',
        '_member',
        '_pending',
        '_submitted',
        '_open',
        '_resting',
        '_next_number',
        '_failures',
        '_answer_s',
    )

    def __init__(self, log: keyed_log.KeyedLog, member: str) -> None:
        self.append_count = 0
        self._log = log
        self._member = member
        self._pending: list[PendingRecord] = []
        self._submitted = trio.Event()
        self._open: _OpenRecord | None = None
        # Keys by the monotonic time at which their rest ends.
        self._resting: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._next_number: int | None = None
        self._failures = 0
        self._answer_s = INITIAL_ANSWER_S

    def submit(self, origin: _origin_table.StreamOrigin) -> PendingRecord:
        """Has a stream recorded, and returns what can be waited for."""
        pending = PendingRecord(origin)
        self._pending.append(pending)
        self._submitted.set()
        return pending

    def withdraw(self, pending: PendingRecord) -> bool:
        """Takes a stream back; returns whether it is certainly not recorded."""
        if pending.may_be_recorded or pending not in self._pending:
            return False
        self._pending.remove(pending)
        return True

    def is_available(self) -> bool:
        """Returns whether streams are recorded in good time at present."""
        return not self._failures and self._answer_s < MAX_USABLE_ANSWER_S

    async def run(self) -> None:
        """Writes records, forever; while that fails, tries again and again."""
        while True:
            wait_s = math.inf if self.is_available() else MAX_RETRY_S
            with trio.move_on_after(wait_s):
                await self._submitted.wait()
            self._drop_given_up()
            if not self._pending:
                self._submitted = trio.Event()
                if self.is_available():
                    continue
            if not await self._prepare_keys():
                self._record_failure('the keys in use are not known')
                await self._pause()
                continue
            await self._append()

    async def _append(self) -> None:
        """Writes the streams that wait, and tells who waits for them."""
        batch = self._pending[:MAX_RECORD_STREAMS]
        record = self._choose_record(len(batch))
        if record is None:
            self._record_failure('no key is free')
            await self._pause()
            return
        origins = record.origins + [pending.origin for pending in batch]
        for pending in batch:
            pending.may_be_recorded = True
        outcome: object = None
        self.append_count += 1
        sent_at_s = trio.current_time()
        with trio.move_on_after(self._get_timeout_s()):
            outcome = await self._log.append(
                [
                    keyed_log.KeyedRecord(
                        f'{self._member}/{record.number}',
                        _record_codec.encode_origins(origins),
                    )
                ],
                None,
            )
        if isinstance(outcome, int):
            record.origins = origins
            del self._pending[: len(batch)]
            for pending in batch:
                pending.recorded.set()
            self._record_success(trio.current_time() - sent_at_s)
            return
        reason = 'no answer within the timeout'
        if isinstance(outcome, results.Failure):
            reason = outcome.reason
        # The append may take effect late, and what the key holds is in it: the
        # key may not be written again meanwhile.
        self._close_record()
        self._record_failure(reason)
        await self._pause()

    def _choose_record(self, added: int) -> _OpenRecord | None:
        """Returns the record to add streams to; None if no key is free."""
        now_s = trio.current_time()
        record = self._open
        if record is not None:
            is_open = now_s - record.opened_at_s < RECORD_OPEN_S
            if is_open and len(record.origins) + added <= MAX_RECORD_STREAMS:
                return record
            self._close_record()
        number: int | None = None
        if self._resting and self._resting[0][0] <= now_s:
            number = self._resting.popleft()[1]
        elif len(self._resting) < MAX_KEYS:
            number = self._take_unused_number()
        if number is None:
            return None
        self._open = _OpenRecord(number)
        return self._open

    def _take_unused_number(self) -> int | None:
        """Returns the next number that no record has."""
        used = {number for _, number in self._resting}
        for _ in range(MAX_KEYS):
            assert self._next_number is not None
            number = self._next_number
            self._next_number = (number + 1) % MAX_KEYS
            if number not in used:
                return number
        return None

    def _close_record(self) -> None:
        """Begins the rest of the key of the open record."""
        if self._open is None:
            return
        rest_until_s = trio.current_time() + KEY_REST_S
        self._resting.append((rest_until_s, self._open.number))
        self._open = None

    async def _prepare_keys(self) -> bool:
        """Learns which keys the process before this one has written."""
        if self._next_number is not None:
            return True
        page = None
        with trio.move_on_after(MAX_TIMEOUT_S):
            page = await self._log.read_newest()
        if page is None or isinstance(page, results.Failure):
            return False
        numbers: list[int] = []
        for record in page.records:
            member, _, text = record.key.rpartition('/')
            if member == self._member and text.isdigit():
                numbers.append(int(text))
        rest_until_s = trio.current_time() + KEY_REST_S
        for number in sorted(numbers):
            self._resting.append((rest_until_s, number))
        last = max(numbers, default=-RESTART_GAP_KEYS)
        self._next_number = (last + RESTART_GAP_KEYS) % MAX_KEYS
        return True

    def _drop_given_up(self) -> None:
        """Drops streams that nobody waits for any more."""
        limit_s = trio.current_time() - PENDING_LIFE_S
        kept: list[PendingRecord] = []
        for pending in self._pending:
            if pending.submitted_at_s > limit_s:
                kept.append(pending)
        self._pending = kept

    def _record_success(self, answer_s: float) -> None:
        self._answer_s += (answer_s - self._answer_s) * ANSWER_SAMPLE_WEIGHT
        if not self._failures:
            return
        _LOGGER.info(
            'stream_origins_recorded_again',
            extra={
                'failures': self._failures,
                'answer_ms': int(self._answer_s * 1000),
                'waiting': len(self._pending),
            },
        )
        self._failures = 0

    def _record_failure(self, reason: str) -> None:
        self._failures += 1
        if self._failures & (self._failures - 1):
            return
        _LOGGER.warning(
            'stream_origins_not_recorded',
            extra={
                'code': int(results.ResultCode.LOG_UNAVAILABLE),
                'reason': reason,
                'failures': self._failures,
                'waiting': len(self._pending),
            },
        )

    def _get_timeout_s(self) -> float:
        """Returns the timeout of the next append."""
        expected_s = max(MIN_TIMEOUT_S, self._answer_s * TIMEOUT_ANSWERS)
        return min(MAX_TIMEOUT_S, expected_s * 2 ** min(10, self._failures))

    async def _pause(self) -> None:
        """Waits before the next append, by the number of failures."""
        if self._failures < 2:
            return
        await trio.sleep(
            min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(10, self._failures - 2))
        )


def create_origin_recorder(
    log: keyed_log.KeyedLog, member: str
) -> OriginRecorder:
    """Creates a recorder; nothing is read or written before it is needed.

    Args:
        log: Log of the origins of streams.
        member: Name of this VM; its keys begin with it.
    """
    return OriginRecorder(log, member)
