"""Watches whether the upstream can be reached and when its process ends."""

import logging

import trio

from siskinmount import results
from siskinmount.sidecar import _upstreams

_LOGGER = logging.getLogger(__name__)

PROBE_INTERVAL_S = 1.0
PROBE_DEADLINE_S = 3.0
MAX_SILENT_PROBES = 2
MAX_LIVENESS_CONNECTION_AGE_S = 20.0
CLOSE_DETECTION_DELAY_S = 0.02


class UpstreamMonitor:
    """Probes the upstream and counts the processes that it has seen there.

    Attributes:
        became_reachable: Set while the last probe or request reached it.
        generation: Number of the process that answers, from 1.
        exit_count: Processes that were seen to end.
    """

    __slots__ = (
        'became_reachable',
        'generation',
        'exit_count',
        '_upstream',
        '_liveness_connection',
        '_lock',
        '_silent_probes',
    )

    def __init__(self, upstream: _upstreams.MonitoredUpstream) -> None:
        self.became_reachable = trio.Event()
        self.generation = 0
        self.exit_count = 0
        self._upstream = upstream
        self._liveness_connection: _upstreams.LivenessConnection | None = None
        self._lock = trio.Lock()
        self._silent_probes = 0

    @property
    def reachable(self) -> bool:
        """Whether the last probe or request reached the upstream."""
        return self.became_reachable.is_set()

    @property
    def is_answering(self) -> bool:
        """Whether the last probe was answered."""
        return self.reachable and self._silent_probes == 0

    def set_probe_target(self, upstream: _upstreams.MonitoredUpstream) -> None:
        """Probes in another way from now on, once the upstream's kind is known.

        A connection alone does not show that a frozen process has stopped.
        """
        self._upstream = upstream

    async def run(self) -> None:
        """Probes for ever."""
        while True:
            await self.check()
            await trio.sleep(PROBE_INTERVAL_S)

    async def check_after_loss(self) -> results.Failure | None:
        """Probes after a connection was lost."""
        await trio.sleep(CLOSE_DETECTION_DELAY_S)
        return await self.check()

    async def check(self) -> results.Failure | None:
        """Probes once; returns why the upstream cannot be used, or None."""
        async with self._lock:
            failure = await self._check()
        if failure is not None:
            self._handle_failed_probe(failure)
            return failure
        self._silent_probes = 0
        if not self.reachable:
            _LOGGER.info(
                'upstream_reachable', extra={'generation': self.generation}
            )
            self.became_reachable.set()
        return None

    def _handle_failed_probe(self, failure: results.Failure) -> None:
        """Gives the upstream up, but not for one slow answer."""
        if failure.code is not results.ResultCode.UPSTREAM_UNREACHABLE:
            self._silent_probes += 1
            if self._silent_probes < MAX_SILENT_PROBES:
                return
        self.mark_unreachable(failure)

    def mark_unreachable(self, failure: results.Failure) -> None:
        """Notes that the upstream could not be reached."""
        if not self.reachable:
            return
        _LOGGER.warning(
            'upstream_unreachable',
            extra={'code': int(failure.code), 'reason': failure.reason},
        )
        self.became_reachable = trio.Event()

    async def _check(self) -> results.Failure | None:
        """Looks at the witness, replaces it if needed, and probes."""
        self._discard_closed_connection()
        failure: results.Failure | None = results.Failure(
            results.ResultCode.UPSTREAM_SILENT,
            'the upstream does not answer a probe',
        )
        with trio.move_on_after(PROBE_DEADLINE_S):
            failure = await self._refresh_liveness_connection()
            if failure is None:
                failure = await self._upstream.probe()
        return failure

    def _discard_closed_connection(self) -> None:
        """Notes the end of a process."""
        if (
            self._liveness_connection is None
            or not self._liveness_connection.has_closed()
        ):
            return
        self._liveness_connection.close()
        self._liveness_connection = None
        self.exit_count += 1

    async def _refresh_liveness_connection(self) -> results.Failure | None:
        """Opens a witness if there is none or an old one.

        Servers close connections that stay unused, so a witness is replaced
        long before.
        """
        old = self._liveness_connection
        now_s = trio.current_time()
        if (
            old is not None
            and now_s - old.opened_at_s < MAX_LIVENESS_CONNECTION_AGE_S
        ):
            return None
        fresh = await self._upstream.open_liveness_connection()
        if isinstance(fresh, results.Failure):
            return fresh
        if old is None:
            self.generation += 1
        else:
            old.close()
        self._liveness_connection = fresh
        return None
