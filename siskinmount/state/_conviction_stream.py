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

# Upstream deaths from which a request is convicted.
MIN_CONVICTION_DEATHS = 2
DEFAULT_EXPIRY_MS = 12 * 3600 * 1000
DROP_INTERVAL_MS = 60_000
READ_POLL_MS = 20


class ConvictionStream:
    """Records upstream deaths by the requests that were in progress there.

    A request is a suspect after one death. A request is convicted after two
    deaths if it was the only request in progress in at least one of them; two
    deaths beside other requests may have been caused by those. A suspect that
    runs alone to completion is cleared of the deaths known at that time.

    Attributes:
        read_offset: Newest offset that has been read.
    """

    __slots__ = (
        '_log',
        '_expiry_ms',
        '_clock_ms',
        '_tail',
        '_deaths',
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
        self._tail = _log_tail.LogTail(log, _stream_names.CONVICTIONS_STREAM)
        self._deaths: dict[
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

    def record_death(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Records that an upstream died with a request in progress.

        The death is effective in this process immediately, and in other
        processes once they have read it from the log.

        Args:
            fingerprint: Digest of the request's service and content.
            vm: VM of the upstream.
            incarnation: Which run of the upstream on that VM ended, so that
                several reports of one death count once.
            alone: Whether the request was the only one in progress there.
        """
        death = self._create_record(fingerprint, vm, incarnation, alone)
        self._apply_record(death)
        self._unsent_records.append(death)
        self._unsent_added.set()

    def record_survival(self, fingerprint: str) -> None:
        """Records that a suspect has run alone to completion."""
        known = self._deaths.get(fingerprint, {})
        if not known or self.is_convicted(fingerprint):
            return
        survival = records_pb2.UpstreamDeath(
            fingerprint=fingerprint, at_ms=self._clock_ms()
        )
        for vm, incarnation in known:
            survival.cleared.add(vm=vm, incarnation=incarnation)
        self._apply_record(survival)
        self._unsent_records.append(survival)
        self._unsent_added.set()

    def note_death(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Applies a death that another process appends to the log."""
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
        """Whether the request may have caused the death of an upstream."""
        return bool(self._unexpired_deaths(fingerprint))

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether the request must not be sent to an upstream again."""
        deaths = self._unexpired_deaths(fingerprint)
        return len(deaths) >= MIN_CONVICTION_DEATHS and any(
            death.alone for death in deaths
        )

    async def wait_convicted(self, fingerprint: str) -> None:
        """Waits until a request is convicted."""
        while not self.is_convicted(fingerprint):
            await self._changed.wait()

    async def wait_read(self) -> None:
        """Waits until all records that the log holds now have been read.

        Returns at once if the log is unavailable.
        """
        stored = await self._log.stream_range(_stream_names.CONVICTIONS_STREAM)
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

    def _unexpired_deaths(
        self, fingerprint: str
    ) -> list[records_pb2.UpstreamDeath]:
        """Returns the deaths that have not expired."""
        limit_ms = self._clock_ms() - self._expiry_ms
        deaths = self._deaths.get(fingerprint, {})
        return [death for death in deaths.values() if death.at_ms > limit_ms]

    def _apply(self, log_record: backing_services.LogRecord) -> None:
        """Applies one log record of the stream."""
        death = records_pb2.UpstreamDeath()
        try:
            death.ParseFromString(log_record.data)
        except message.DecodeError:
            return
        self._apply_record(death)

    def _apply_record(self, death: records_pb2.UpstreamDeath) -> None:
        """Applies a death or a survival; repeated reports have no effect."""
        if death.cleared:
            self._clear(death)
            return
        cleared = self._cleared.get(death.fingerprint, {})
        if (death.vm, death.incarnation) in cleared:
            return
        deaths = self._deaths.setdefault(death.fingerprint, {})
        known = deaths.setdefault((death.vm, death.incarnation), death)
        if death.alone:
            known.alone = True
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _clear(self, survival: records_pb2.UpstreamDeath) -> None:
        """Removes the deaths of which a survival clears the request."""
        deaths = self._deaths.get(survival.fingerprint, {})
        cleared = self._cleared.setdefault(survival.fingerprint, {})
        for death in survival.cleared:
            name = (death.vm, death.incarnation)
            cleared[name] = survival.at_ms
            deaths.pop(name, None)
        if not deaths:
            self._deaths.pop(survival.fingerprint, None)

    async def _append_unsent(self) -> None:
        """Appends own records in order, retrying while the log fails."""
        backoff = _backoff.Backoff(
            _log_tail.FIRST_BACKOFF_MS, _log_tail.MAX_BACKOFF_MS
        )
        while True:
            if not self._unsent_records:
                self._unsent_added = trio.Event()
                await self._unsent_added.wait()
            death = self._unsent_records[0]
            answer = await self._log.append(
                _stream_names.CONVICTIONS_STREAM, death.SerializeToString()
            )
            if isinstance(answer, results.Failure):
                await backoff.pause()
                continue
            backoff.reset()
            del self._unsent_records[0]

    async def _drop_expired(self) -> None:
        """Periodically removes expired deaths and survivals."""
        while True:
            await trio.sleep(DROP_INTERVAL_MS / 1000)
            for fingerprint in list(self._deaths):
                if not self._unexpired_deaths(fingerprint):
                    del self._deaths[fingerprint]
            limit_ms = self._clock_ms() - self._expiry_ms
            for fingerprint, cleared in list(self._cleared.items()):
                if max(cleared.values()) <= limit_ms:
                    del self._cleared[fingerprint]


def create_conviction_stream(
    log: backing_services.LogService,
    *,
    expiry_ms: int = DEFAULT_EXPIRY_MS,
    clock_ms: Callable[[], int] = _state_stream.wall_clock_ms,
) -> ConvictionStream:
    """Creates the conviction stream of this process.

    Args:
        log: The platform's log.
        expiry_ms: Age at which deaths and survivals expire; at most the log's
            retention.
        clock_ms: Milliseconds since the Unix epoch.
    """
    return ConvictionStream(log, expiry_ms, clock_ms)
