"""Tracks requests that crash their upstreams, shared between processes."""

from collections.abc import Callable

from google.protobuf import message
import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import _backoff
from siskinmount.state import _log_tail
from siskinmount.state import _state_stream
from siskinmount.state import _stream_names
from siskinmount.state import records_pb2

# Upstream crashes after which a request may be quarantined.
MIN_QUARANTINE_CRASHES = 2
DEFAULT_EXPIRY_MS = 12 * 3600 * 1000
DROP_INTERVAL_MS = 60_000
READ_POLL_MS = 20


class CrashReportStream:
    """Records upstream crashes by the requests that were in progress there.

    A request is a suspect after one crash. A request is quarantined after two
    crashes if it was the only request in progress in at least one of them; two
    crashes beside other requests may have been caused by those. A suspect that
    runs alone to completion is cleared of the crashes known at that time.

    Attributes:
        read_offset: Newest offset that has been read.
    """

    __slots__ = (
        '_log',
        '_expiry_ms',
        '_clock_ms',
        '_tail',
        '_crashes',
        '_cleared',
        '_unsent_records',
        '_unsent_added',
        '_changed',
    )

    def __init__(
        self,
        log: backing_services.LogService,
        expiry_ms: int,
        clock_ms: Callable[[], int],
    ) -> None:
        self._log = log
        self._expiry_ms = expiry_ms
        self._clock_ms = clock_ms
        self._tail = _log_tail.LogTail(log, _stream_names.CRASH_REPORTS_STREAM)
        self._crashes: dict[
            str, dict[tuple[str, int], records_pb2.UpstreamDeath]
        ] = {}
        self._cleared: dict[str, dict[tuple[str, int], int]] = {}
        self._unsent_records: list[records_pb2.UpstreamDeath] = []
        self._unsent_added = trio.Event()
        self._changed = trio.Event()

    @property
    def read_offset(self) -> int:
        """Newest offset that has been read."""
        return self._tail.next_offset - 1

    def record_crash(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Records that an upstream crashed with a request in progress.

        The crash is effective in this process immediately, and in other
        processes once they have read it from the log.

        Args:
            fingerprint: Digest of the request's service and content.
            vm: VM of the upstream.
            incarnation: Which run of the upstream on that VM ended, so that
                several reports of one crash count once.
            alone: Whether the request was the only one in progress there.
        """
        crash = self._create_record(fingerprint, vm, incarnation, alone)
        self._apply_record(crash)
        self._unsent_records.append(crash)
        self._unsent_added.set()

    def record_solo_completion(self, fingerprint: str) -> None:
        """Records that a suspect has run alone to completion."""
        known = self._crashes.get(fingerprint, {})
        if not known or self.is_quarantined(fingerprint):
            return
        completion = records_pb2.UpstreamDeath(
            fingerprint=fingerprint, at_ms=self._clock_ms()
        )
        for vm, incarnation in known:
            completion.cleared.add(vm=vm, incarnation=incarnation)
        self._apply_record(completion)
        self._unsent_records.append(completion)
        self._unsent_added.set()

    def apply_remote_crash(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Applies a crash that another process appends to the log."""
        self._apply_record(
            self._create_record(fingerprint, vm, incarnation, alone)
        )

    def _create_record(
        self, fingerprint: str, vm: str, incarnation: int, alone: bool
    ) -> records_pb2.UpstreamDeath:
        return records_pb2.UpstreamDeath(
            fingerprint=fingerprint,
            vm=vm,
            incarnation=incarnation,
            alone=alone,
            at_ms=self._clock_ms(),
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether the request may have caused a crash of an upstream."""
        return bool(self._unexpired_crashes(fingerprint))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the request must not be sent to an upstream again."""
        crashes = self._unexpired_crashes(fingerprint)
        return len(crashes) >= MIN_QUARANTINE_CRASHES and any(
            crash.alone for crash in crashes
        )

    async def wait_quarantined(self, fingerprint: str) -> None:
        """Waits until a request is quarantined."""
        while not self.is_quarantined(fingerprint):
            await self._changed.wait()

    async def wait_read(self) -> None:
        """Waits until all records that the log holds now have been read.

        Returns at once if the log is unavailable.
        """
        stored = await self._log.stream_range(
            _stream_names.CRASH_REPORTS_STREAM
        )
        if isinstance(stored, results.Failure):
            return
        while self._tail.next_offset < stored.next_offset:  # noqa: ASYNC110
            await trio.sleep(READ_POLL_MS / 1000)

    async def run(self) -> None:
        """Follows the stream and appends this process's own records."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tail.follow, self._apply)
            nursery.start_soon(self._append_unsent)
            nursery.start_soon(self._drop_expired)

    def _unexpired_crashes(
        self, fingerprint: str
    ) -> list[records_pb2.UpstreamDeath]:
        """Returns the crashes that have not expired."""
        limit_ms = self._clock_ms() - self._expiry_ms
        crashes = self._crashes.get(fingerprint, {})
        return [crash for crash in crashes.values() if crash.at_ms > limit_ms]

    def _apply(self, log_record: backing_services.LogRecord) -> None:
        """Applies one log record of the stream."""
        crash = records_pb2.UpstreamDeath()
        try:
            crash.ParseFromString(log_record.data)
        except message.DecodeError:
            return
        self._apply_record(crash)

    def _apply_record(self, crash: records_pb2.UpstreamDeath) -> None:
        """Applies a crash or a solo completion; repeats have no effect."""
        if crash.cleared:
            self._clear(crash)
            return
        cleared = self._cleared.get(crash.fingerprint, {})
        if (crash.vm, crash.incarnation) in cleared:
            return
        crashes = self._crashes.setdefault(crash.fingerprint, {})
        known = crashes.setdefault((crash.vm, crash.incarnation), crash)
        if crash.alone:
            known.alone = True
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _clear(self, completion: records_pb2.UpstreamDeath) -> None:
        """Removes the crashes of which a solo completion clears the request."""
        crashes = self._crashes.get(completion.fingerprint, {})
        cleared = self._cleared.setdefault(completion.fingerprint, {})
        for crash in completion.cleared:
            name = (crash.vm, crash.incarnation)
            cleared[name] = completion.at_ms
            crashes.pop(name, None)
        if not crashes:
            self._crashes.pop(completion.fingerprint, None)

    async def _append_unsent(self) -> None:
        """Appends own records in order, retrying while the log fails."""
        backoff = _backoff.Backoff(
            _log_tail.FIRST_BACKOFF_MS, _log_tail.MAX_BACKOFF_MS
        )
        while True:
            if not self._unsent_records:
                self._unsent_added = trio.Event()
                await self._unsent_added.wait()
            crash = self._unsent_records[0]
            answer = await self._log.append(
                _stream_names.CRASH_REPORTS_STREAM, crash.SerializeToString()
            )
            if isinstance(answer, results.Failure):
                await backoff.pause()
                continue
            backoff.reset()
            del self._unsent_records[0]

    async def _drop_expired(self) -> None:
        """Periodically removes expired crashes and solo completions."""
        while True:
            await trio.sleep(DROP_INTERVAL_MS / 1000)
            for fingerprint in list(self._crashes):
                if not self._unexpired_crashes(fingerprint):
                    del self._crashes[fingerprint]
            limit_ms = self._clock_ms() - self._expiry_ms
            for fingerprint, cleared in list(self._cleared.items()):
                if max(cleared.values()) <= limit_ms:
                    del self._cleared[fingerprint]


def create_crash_report_stream(
    log: backing_services.LogService,
    *,
    expiry_ms: int = DEFAULT_EXPIRY_MS,
    clock_ms: Callable[[], int] = _state_stream.wall_clock_ms,
) -> CrashReportStream:
    """Creates the crash report stream of this process.

    Args:
        log: The platform's log.
        expiry_ms: Age at which crashes and solo completions expire; at most the
            log's retention.
        clock_ms: Milliseconds since the Unix epoch.
    """
    return CrashReportStream(log, expiry_ms, clock_ms)
