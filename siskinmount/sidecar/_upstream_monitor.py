"""Monitors whether the upstream is reachable and when its process exits."""

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
    """Probes the upstream and numbers its processes.

    Attributes:
        became_reachable: Set while the upstream counts as reachable.
        generation: Number of the present upstream process, from 1.
        exit_count: Processes that were observed to exit, in total.
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
        """Whether the upstream counts as reachable.

        One silent probe alone does not make it unreachable.
        """
        return self.became_reachable.is_set()

    @property
    def is_answering(self) -> bool:
        """Whether the last probe was answered."""
        return self.reachable and self._silent_probes == 0

    def set_probe_target(self, upstream: _upstreams.MonitoredUpstream) -> None:
        """Sets the upstream to probe once the kind of service is known.

        An accepted connection does not show that a process is not frozen, so
        a model engine must be probed by a request.
        """
        self._upstream = upstream

    async def run(self) -> None:
        """Probes periodically, forever."""
        while True:
            await self.check()
            await trio.sleep(PROBE_INTERVAL_S)

    async def check_after_loss(self) -> results.Failure | None:
        """Probes after the loss of a connection."""
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
        """Marks the upstream unreachable, unless only one probe was slow."""
        if failure.code is not results.ResultCode.UPSTREAM_UNREACHABLE:
            self._silent_probes += 1
            if self._silent_probes < MAX_SILENT_PROBES:
                return
        self.mark_unreachable(failure)

    def mark_unreachable(self, failure: results.Failure) -> None:
        """Marks the upstream as unreachable."""
        if not self.reachable:
            return
        _LOGGER.warning(
            'upstream_unreachable',
            extra={'code': int(failure.code), 'reason': failure.reason},
        )
        self.became_reachable = trio.Event()

    async def _check(self) -> results.Failure | None:
        """Checks the liveness connection, renews it if needed, and probes."""
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
        """Counts an exit if the upstream has closed the connection."""
        if (
            self._liveness_connection is None
            or not self._liveness_connection.has_closed()
        ):
            return
        self._liveness_connection.close()
        self._liveness_connection = None
        self.exit_count += 1

    async def _refresh_liveness_connection(self) -> results.Failure | None:
        """Opens a liveness connection if there is none or it is too old.

        Servers close connections that stay idle, so the connection is replaced
        well before that.
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
