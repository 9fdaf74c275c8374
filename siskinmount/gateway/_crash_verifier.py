"""Finds out whether upstreams that interrupted runs have crashed.

The platform drops the entry of a crashed upstream only after some heartbeats,
and until then no request goes there, since it is avoided. So the member whose
run was interrupted opens a connection itself: a crashed process refuses it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from siskinmount import fleet
from siskinmount import placement
from siskinmount import transport

_LOGGER = logging.getLogger(__name__)

#: Times between an interrupted run and the probes of its upstream. A process
#: that ends closes its connections and its listener at slightly different
#: times.
PROBE_DELAYS_S = (0.05, 1.0)
PROBE_TIMEOUT_MS = 350

Probe = Callable[[transport.Address, int], Awaitable[transport.ProbeOutcome]]


class CrashVerifier:
    """Probes upstreams whose runs were interrupted."""

    __slots__ = (
        '_view',
        '_load',
        '_health',
        '_crash_tracker',
        '_probe',
        '_probe_counts',
    )

    def __init__(
        self,
        view: fleet.FleetView,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        crash_tracker: placement.CrashTracker,
        probe: Probe,
    ) -> None:
        self._view = view
        self._load = load
        self._health = health
        self._crash_tracker = crash_tracker
        self._probe = probe
        self._probe_counts: dict[str, int] = {}

    async def run(self) -> None:
        """Probes upstreams as their runs are interrupted, forever."""
        self._probe_counts.clear()
        async with trio.open_nursery() as nursery:
            while True:
                interrupted = (
                    await self._crash_tracker.take_unverified_upstreams()
                )
                for upstream_id in interrupted:
                    self._start(nursery, upstream_id)

    def _start(self, nursery: trio.Nursery, upstream_id: str) -> None:
        """Starts to probe an upstream, or begins anew if it is being probed."""
        is_probed = upstream_id in self._probe_counts
        upstream = self._find_staying(upstream_id)
        if upstream is None:
            self._crash_tracker.forget_interrupted_runs(upstream_id)
            return
        self._probe_counts[upstream_id] = 0
        if not is_probed:
            nursery.start_soon(self._verify, upstream)

    async def _verify(self, upstream: fleet.Upstream) -> None:
        """Probes an upstream until it refuses or no run waits for a verdict."""
        upstream_id = upstream.upstream_id
        try:
            while self._probe_counts[upstream_id] < len(PROBE_DELAYS_S):
                delay_s = PROBE_DELAYS_S[self._probe_counts[upstream_id]]
                self._probe_counts[upstream_id] += 1
                await trio.sleep(delay_s)
                if not self._crash_tracker.has_interrupted_runs(upstream_id):
                    return
                outcome = await self._probe(upstream.address, PROBE_TIMEOUT_MS)
                _LOGGER.info(
                    'upstream_probed',
                    extra={'upstream': upstream_id, 'outcome': outcome.value},
                )
                if outcome is transport.ProbeOutcome.REFUSED:
                    self._record_refusal(upstream_id)
                    return
        finally:
            del self._probe_counts[upstream_id]

    def _record_refusal(self, upstream_id: str) -> None:
        if self._find_staying(upstream_id) is None:
            self._crash_tracker.forget_interrupted_runs(upstream_id)
            return
        self._health.mark_down(
            upstream_id, 'connection refused after a lost run'
        )
        self._load.announce()

    def _find_staying(self, upstream_id: str) -> fleet.Upstream | None:
        """Returns a listed upstream; None if it leaves.

        One that leaves ends runs that last longer than its grace time.
        """
        upstream = self._view.upstreams.get(upstream_id)
        if upstream is None or self._view.is_leaving(upstream):
            return None
        return upstream


def create_crash_verifier(
    *,
    view: fleet.FleetView,
    load: placement.LoadTable,
    health: placement.UpstreamHealth,
    crash_tracker: placement.CrashTracker,
    probe: Probe = transport.probe_connection,
) -> CrashVerifier:
    """Creates a verifier that probes nothing yet.

    Args:
        view: Addresses of upstreams, and which of them leave.
        load: Has peers told at once of a crash.
        health: Told of upstreams that refuse connections.
        crash_tracker: Interrupted runs, and what counts against requests.
        probe: Opens a connection and tells what it showed.
    """
    return CrashVerifier(view, load, health, crash_tracker, probe)
