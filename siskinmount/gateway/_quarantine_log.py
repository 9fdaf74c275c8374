"""Keeps quarantined parts of prompts in the platform's store.

Members tell each other of them, so the store is read only at the start: all
members may have been lost together. The member that decides writes.
"""

import logging
import time

import orjson
import trio

from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import results

_LOGGER = logging.getLogger(__name__)

#: How long a gateway that starts waits for the store before it takes requests.
LOAD_TIMEOUT_S = 1.0
RETRY_S = 0.5
#: Limit of the store.
MAX_KEY_BYTES = 255
_SOURCE = 'store'


class QuarantineLog:
    """Loads quarantined parts at the start and writes changes.

    Attributes:
        is_loaded: Whether the parts in the store have been applied.
    """

    __slots__ = ('is_loaded', '_log', '_parts', '_directory', '_started_at_s')

    def __init__(
        self,
        log: keyed_log.KeyedLog,
        parts: placement.PartQuarantine,
        directory: peering.PeerDirectory,
    ) -> None:
        self.is_loaded = False
        self._log = log
        self._parts = parts
        self._directory = directory
        self._started_at_s = float('inf')

    async def run(self) -> None:
        """Loads the parts, then writes changes, forever."""
        self._started_at_s = min(self._started_at_s, trio.current_time())
        while not self.is_loaded:
            await self._load()
            if not self.is_loaded:
                await trio.sleep(RETRY_S)
        while True:
            unsaved = await self._parts.take_unsaved()
            for part in unsaved:
                await self._save(part)

    def may_serve(self) -> bool:
        """Returns whether requests may be taken without a risk known before."""
        waited_s = trio.current_time() - self._started_at_s
        return self.is_loaded or waited_s >= LOAD_TIMEOUT_S

    async def _load(self) -> None:
        """Applies the parts in the store, if it can be read."""
        page = await self._log.read_newest()
        if isinstance(page, results.Failure):
            return
        reports: dict[str, placement.PartReport] = {}
        for record in page.records:
            report = _decode(record)
            if report is not None:
                reports[record.key] = report
        self._parts.apply_reports(reports, _SOURCE)
        self.is_loaded = True
        _LOGGER.info('quarantine_loaded', extra={'parts': len(reports)})

    async def _save(self, part: str) -> None:
        """Writes what is known of a part, or drops its record."""
        while True:
            report = self._parts.get_report(part)
            if report is None and not self._is_chosen(part):
                return
            if len(part.encode()) > MAX_KEY_BYTES:
                # Peers tell each other of it all the same.
                return
            record = keyed_log.KeyedRecord(part, _encode(report))
            outcome = await self._log.append([record], None)
            if not isinstance(outcome, results.Failure):
                return
            _LOGGER.info(
                'quarantine_not_written',
                extra={
                    'prompt_part': part,
                    'code': int(outcome.code),
                    'reason': outcome.reason,
                },
            )
            await trio.sleep(RETRY_S)

    def _is_chosen(self, part: str) -> bool:
        """Returns whether this member drops the record of an expired part."""
        members = [peer.member for peer in self._directory.list_live()]
        members.append(self._directory.member)
        return jobs.choose_member(part, members) == self._directory.member


def _encode(report: placement.PartReport | None) -> bytes | None:
    """Returns the value of a record; None to drop the key."""
    if report is None or not report.is_blocked():
        return None
    crashed_at_ms = int((time.time() - report.crash_age_s) * 1000)
    return orjson.dumps(
        {
            'sequence': report.sequence,
            'cleared': report.cleared_sequence,
            'quarantined': report.quarantined_sequence,
            'crashed_at_ms': crashed_at_ms,
            'common_parts': sorted(report.common_parts),
        }
    )


def _decode(record: keyed_log.KeyedRecord) -> placement.PartReport | None:
    """Returns what a record says; None if it is invalid, which is logged."""
    if record.value is None:
        return None
    try:
        fields = orjson.loads(record.value)
        crash_age_s = time.time() - int(fields['crashed_at_ms']) / 1000
        return placement.PartReport(
            int(fields['sequence']),
            int(fields['cleared']),
            int(fields['quarantined']),
            max(0.0, crash_age_s),
            None,
            frozenset(str(part) for part in fields['common_parts']),
        )
    except results.DECODING_ERRORS as error:
        _LOGGER.warning(
            'quarantine_record_invalid',
            extra={
                'code': int(results.ResultCode.LOG_RECORD_INVALID),
                'prompt_part': record.key,
                'reason': repr(error),
            },
        )
        return None


def create_quarantine_log(
    log: keyed_log.KeyedLog,
    parts: placement.PartQuarantine,
    directory: peering.PeerDirectory,
) -> QuarantineLog:
    """Creates the log of quarantined parts; nothing is read before `run`.

    Args:
        log: One record for each quarantined part.
        parts: What this member knows of suspect parts.
        directory: Live members, one of which drops an expired record.
    """
    return QuarantineLog(log, parts, directory)
