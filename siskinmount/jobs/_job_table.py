"""All jobs that the log holds, as far as this process has read it."""

from collections.abc import Callable
import logging

import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs import _job
from siskinmount.jobs import _job_records

_LOGGER = logging.getLogger(__name__)


class JobTable:
    """Jobs by id.

    Attributes:
        jobs: All jobs, in the order of their acceptance.
    """

    __slots__ = (
        'jobs',
        '_newest_offset',
        '_parts',
        '_heads',
        '_results_ahead',
        '_keys_by_job',
        '_ended_ahead',
        '_listeners',
        '_changed',
    )

    def __init__(self) -> None:
        self.jobs: dict[str, _job.Job] = {}
        self._newest_offset = -1
        self._parts: dict[str, dict[int, bytes]] = {}
        self._heads: dict[str, tuple[int, bytes, int]] = {}
        self._results_ahead: dict[str, dict[int, _job.ItemResult]] = {}
        self._keys_by_job: dict[str, dict[str, None]] = {}
        self._ended_ahead: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._changed = trio.Event()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a function after each change."""
        self._listeners.append(listener)

    def take_record(self, record: keyed_log.KeyedRecord) -> None:
        """Takes a record of the log."""
        key = _job_records.parse_key(record.key)
        if key is None:
            _LOGGER.warning(
                'job_record_invalid',
                extra={
                    'code': int(results.ResultCode.LOG_RECORD_INVALID),
                    'key': record.key,
                    'offset': record.offset,
                },
            )
            return
        if record.value is None:
            self._drop(key)
            return
        self._keys_by_job.setdefault(key.job_id, {})[record.key] = None
        if key.part:
            head_key = record.key.partition('#')[0]
            self._parts.setdefault(head_key, {})[key.part] = record.value
            self._try_complete(head_key, key)
        else:
            split = _job_records.split_first_part(record.value)
            if split is None:
                return
            self._heads[record.key] = (*split, record.offset)
            self._try_complete(record.key, key)

    def list_keys(self, job_id: str) -> list[str]:
        """Returns the keys of a job's records, that of its acceptance first."""
        keys = dict(self._keys_by_job.get(job_id, {}))
        acceptance = _job_records.RecordKey(
            _job_records.RecordKind.JOB, job_id
        ).encode()
        first = [acceptance] if acceptance in keys else []
        keys.pop(acceptance, None)
        return first + list(keys)

    def count_waiting_tokens(self, route_name: str) -> int:
        """Returns the tokens of all unfinished items of a route."""
        total = 0
        for job in self.jobs.values():
            if job.route_name == route_name:
                total += job.count_waiting_tokens()
        return total

    async def wait_changed(self) -> None:
        """Returns after the next change."""
        await self._changed.wait()

    def _try_complete(self, head_key: str, key: _job_records.RecordKey) -> None:
        """Takes a value once all its parts are there."""
        head = self._heads.get(head_key)
        if head is None:
            return
        count, value, offset = head
        parts = self._parts.get(head_key, {})
        for number in range(1, count):
            part = parts.get(number)
            if part is None:
                return
            value += part
        del self._heads[head_key]
        self._parts.pop(head_key, None)
        self._take_value(key, value, offset)
        self._notify()

    def _take_value(
        self, key: _job_records.RecordKey, value: bytes, offset: int
    ) -> None:
        """Takes a whole value."""
        if key.kind is _job_records.RecordKind.END:
            self._take_end(key.job_id)
            return
        if key.kind is _job_records.RecordKind.JOB:
            job = _job_records.decode_job(key.job_id, value)
            if isinstance(job, results.Failure):
                _log_invalid(key, job, offset)
                return
            self._take_job(job, offset)
            return
        result = _job_records.decode_result(value)
        if isinstance(result, results.Failure):
            _log_invalid(key, result, offset)
            return
        self._take_result(key.job_id, key.position, result)

    def _take_job(self, job: _job.Job, offset: int) -> None:
        if job.job_id in self.jobs:
            return
        job.known_since_s = trio.current_time()
        job.offset = offset
        is_newest = not self.jobs or offset > self._newest_offset
        self._newest_offset = max(self._newest_offset, offset)
        self.jobs[job.job_id] = job
        if not is_newest:
            # A complete read of the log comes in the order of the keys.
            self.jobs = dict(sorted(self.jobs.items(), key=_get_offset))
        for position, result in sorted(
            self._results_ahead.pop(job.job_id, {}).items()
        ):
            self._take_result(job.job_id, position, result)
        if job.job_id in self._ended_ahead:
            self._ended_ahead.discard(job.job_id)
            job.is_ended = True

    def _take_end(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            self._ended_ahead.add(job_id)
            return
        job.is_ended = True

    def _take_result(
        self, job_id: str, position: int, result: _job.ItemResult
    ) -> None:
        """Lists a result at its position; later ones wait for it."""
        job = self.jobs.get(job_id)
        ahead = self._results_ahead.setdefault(job_id, {})
        if job is not None and position < len(job.results):
            return
        ahead[position] = result
        while job is not None and len(job.results) in ahead:
            listed = ahead.pop(len(job.results))
            if job.open_items.pop(listed.item_id, None) is None:
                _LOGGER.critical(
                    'invariant_broken',
                    extra={
                        'code': int(results.ResultCode.INVARIANT_BROKEN),
                        'reason': "an item is listed twice or is not the job's",
                        'job': job_id,
                        'item': listed.item_id,
                        'position': len(job.results),
                    },
                )
            job.results.append(listed)
        if not ahead:
            del self._results_ahead[job_id]

    def _drop(self, key: _job_records.RecordKey) -> None:
        """Forgets what was dropped from the log."""
        head_key = key.encode().partition('#')[0]
        self._parts.pop(head_key, None)
        self._heads.pop(head_key, None)
        if key.kind is _job_records.RecordKind.JOB:
            self.jobs.pop(key.job_id, None)
            self._keys_by_job.pop(key.job_id, None)
            self._ended_ahead.discard(key.job_id)
            self._results_ahead.pop(key.job_id, None)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        for listener in self._listeners:
            listener()


def _get_offset(row: tuple[str, _job.Job]) -> int:
    return row[1].offset


def _log_invalid(
    key: _job_records.RecordKey, failure: results.Failure, offset: int
) -> None:
    _LOGGER.error(
        'job_record_invalid',
        extra={
            'code': int(failure.code),
            'reason': failure.reason,
            'key': key.encode(),
            'offset': offset,
        },
    )


def create_job_table() -> JobTable:
    """Creates an empty table."""
    return JobTable()
