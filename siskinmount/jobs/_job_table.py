"""All jobs in the log, as far as this process has read it."""

from collections.abc import Callable
import logging

import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs import _job
from siskinmount.jobs import _job_records

_LOGGER = logging.getLogger(__name__)


class JobTable:
    """Jobs by id, built from the records of the log.

    Records are accepted in any order of their keys: a result or an end that is
    read before the acceptance of its job is buffered until then.

    Attributes:
        jobs: All jobs, in the order of their acceptance.
    """

    __slots__ = (
        'jobs',
        '_open_jobs',
        '_newest_offset',
        '_parts',
        '_first_parts',
        '_early_results',
        '_keys_by_job',
        '_early_ends',
        '_listeners',
        '_changed',
    )

    def __init__(self) -> None:
        self.jobs: dict[str, _job.Job] = {}
        self._open_jobs: list[_job.Job] = []
        self._newest_offset = -1
        self._parts: dict[str, dict[int, bytes]] = {}
        self._first_parts: dict[str, tuple[int, bytes, int]] = {}
        self._early_results: dict[str, dict[int, _job.ItemResult]] = {}
        self._keys_by_job: dict[str, dict[str, None]] = {}
        self._early_ends: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._changed = trio.Event()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to be called after each change."""
        self._listeners.append(listener)

    def apply_record(self, record: keyed_log.KeyedRecord) -> None:
        """Applies a record of the log."""
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
            base_key = record.key.partition('#')[0]
            self._parts.setdefault(base_key, {})[key.part] = record.value
            self._apply_if_complete(base_key, key)
        else:
            split = _job_records.split_first_part(record.value)
            if split is None:
                return
            self._first_parts[record.key] = (*split, record.offset)
            self._apply_if_complete(record.key, key)

    def list_open(self) -> list[_job.Job]:
        """Returns jobs in the order of their acceptance.

        These are the jobs that have open items and are not ended. A job may
        end while the caller goes through the list.
        """
        if not all(map(_is_open, self._open_jobs)):
            self._open_jobs = list(filter(_is_open, self._open_jobs))
        return self._open_jobs

    def has_open_items(self) -> bool:
        """Returns whether any job that is not ended has open items."""
        return any(map(_is_open, self._open_jobs))

    def list_keys(self, job_id: str) -> list[str]:
        """Returns the keys of a job's records, the acceptance first."""
        keys = dict(self._keys_by_job.get(job_id, {}))
        acceptance = _job_records.RecordKey(
            _job_records.RecordKind.JOB, job_id
        ).encode()
        first = [acceptance] if acceptance in keys else []
        keys.pop(acceptance, None)
        return first + list(keys)

    def count_waiting_tokens(self, route_name: str, customer: str = '') -> int:
        """Returns the tokens of the open items of a route.

        Args:
            route_name: Name of the route.
            customer: Customer whose items are counted; empty for all items.
        """
        total = 0
        for job in self.list_open():
            if job.route_name != route_name:
                continue
            if customer and job.customer != customer:
                continue
            total += job.count_waiting_tokens()
        return total

    async def wait_changed(self) -> None:
        """Returns after the next change."""
        await self._changed.wait()

    def _apply_if_complete(
        self, base_key: str, key: _job_records.RecordKey
    ) -> None:
        """Applies a value once all its parts have been read."""
        first_part = self._first_parts.get(base_key)
        if first_part is None:
            return
        count, value, offset = first_part
        parts = self._parts.get(base_key, {})
        for number in range(1, count):
            part = parts.get(number)
            if part is None:
                return
            value += part
        del self._first_parts[base_key]
        self._parts.pop(base_key, None)
        self._apply_value(key, value, offset)
        self._notify()

    def _apply_value(
        self, key: _job_records.RecordKey, value: bytes, offset: int
    ) -> None:
        """Applies a complete value."""
        if key.kind is _job_records.RecordKind.END:
            self._apply_end(key.job_id)
            return
        if key.kind is _job_records.RecordKind.JOB:
            job = _job_records.decode_job(key.job_id, value)
            if isinstance(job, results.Failure):
                _log_invalid(key, job, offset)
                return
            self._apply_job(job, offset)
            return
        result = _job_records.decode_result(value)
        if isinstance(result, results.Failure):
            _log_invalid(key, result, offset)
            return
        self._apply_result(key.job_id, key.position, result)

    def _apply_job(self, job: _job.Job, offset: int) -> None:
        known = self.jobs.get(job.job_id)
        if known is not None:
            if offset <= known.offset:
                return
            # The job was dropped and accepted again by records that are no
            # longer kept; results and an end of the new job follow.
            del self.jobs[job.job_id]
            self._open_jobs = list(filter(_is_open, self.jobs.values()))
            self._early_results.pop(job.job_id, None)
            self._early_ends.discard(job.job_id)
        job.known_since_s = trio.current_time()
        job.offset = offset
        is_newest = not self.jobs or offset > self._newest_offset
        self._newest_offset = max(self._newest_offset, offset)
        self.jobs[job.job_id] = job
        if not is_newest:
            # A read of the newest record of each key is ordered by key, not
            # by offset.
            self.jobs = dict(sorted(self.jobs.items(), key=_get_offset))
            self._open_jobs = list(filter(_is_open, self.jobs.values()))
        else:
            self._open_jobs = [*self._open_jobs, job]
        for position, result in sorted(
            self._early_results.pop(job.job_id, {}).items()
        ):
            self._apply_result(job.job_id, position, result)
        if job.job_id in self._early_ends:
            self._early_ends.discard(job.job_id)
            job.is_ended = True

    def _apply_end(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            self._early_ends.add(job_id)
            return
        job.is_ended = True

    def _apply_result(
        self, job_id: str, position: int, result: _job.ItemResult
    ) -> None:
        """Lists a result, or buffers it until all earlier ones are read."""
        job = self.jobs.get(job_id)
        early = self._early_results.setdefault(job_id, {})
        if job is not None and position < len(job.results):
            return
        early[position] = result
        while job is not None and len(job.results) in early:
            listed = early.pop(len(job.results))
            if job.open_items.pop(listed.item_id, None) is None:
                _LOGGER.critical(
                    'invariant_broken',
                    extra={
                        'code': int(results.ResultCode.INVARIANT_BROKEN),
                        'reason': 'item is already listed or not of this job',
                        'job': job_id,
                        'item': listed.item_id,
                        'position': len(job.results),
                    },
                )
            job.results.append(listed)
        if not early:
            del self._early_results[job_id]

    def _drop(self, key: _job_records.RecordKey) -> None:
        """Removes what was dropped from the log."""
        base_key = key.encode().partition('#')[0]
        self._parts.pop(base_key, None)
        self._first_parts.pop(base_key, None)
        if key.kind is _job_records.RecordKind.JOB:
            self.jobs.pop(key.job_id, None)
            self._open_jobs = list(filter(_is_open, self.jobs.values()))
            self._keys_by_job.pop(key.job_id, None)
            self._early_ends.discard(key.job_id)
            self._early_results.pop(key.job_id, None)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        for listener in self._listeners:
            listener()


def _is_open(job: _job.Job) -> bool:
    return bool(job.open_items) and not job.is_ended


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
