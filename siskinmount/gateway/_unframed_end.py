"""Judges the ends of bodies that have neither a length nor chunks.

Such a body ends with its connection, and looks the same if the process of the
upstream has exited in the middle of it. It is complete only if nothing shows
that.
"""

import logging

import trio

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics

_LOGGER = logging.getLogger(__name__)

#: Longest time between the closings of the connections of a process that exits.
SETTLE_S = 0.002
#: The same where nobody waits for the end of the body.
BATCH_SETTLE_S = 0.05
#: Longest wait for the list of upstreams to be brought up to date.
VIEW_READ_TIMEOUT_S = 0.15
#: Heartbeats of an upstream within which its entry is written again.
ENTRY_HEARTBEATS = 2
ENTRY_POLL_S = 0.05


class UnframedEndCheck:
    """Finds out whether upstreams lived through the ends of their responses."""

    __slots__ = ('_view', '_upstreams_sync', '_metrics', '_entry_timeout_s')

    def __init__(
        self,
        view: fleet.FleetView,
        upstreams_sync: keyed_log.SharedSync,
        metrics: _gateway_metrics.GatewayMetrics,
        entry_timeout_s: float,
    ) -> None:
        self._view = view
        self._upstreams_sync = upstreams_sync
        self._metrics = metrics
        self._entry_timeout_s = entry_timeout_s

    async def is_complete(
        self,
        response: transport.ClientExchange,
        upstream: fleet.Upstream,
        request_id: str,
        *,
        settle_s: float = SETTLE_S,
    ) -> bool:
        """Returns whether a body that has ended is complete, and logs why.

        Waits for the next heartbeat of an upstream that closed its other
        connections too, as some do with idle ones.

        Args:
            response: The response, of which the end has been read.
            upstream: The upstream that the request was sent to.
            request_id: Id of the request or batch item, for the log.
            settle_s: Longest time between the closings of the connections of a
                process that exits.
        """
        process = await response.check_process(settle_s)
        is_complete = process is transport.ServerProcess.SERVING
        if process is transport.ServerProcess.UNKNOWN:
            await self._upstreams_sync.read(VIEW_READ_TIMEOUT_S)
            is_complete = self._is_listed(upstream)
        elif process is transport.ServerProcess.CLOSED_CONNECTIONS:
            is_complete = await self._wait_for_heartbeat(upstream)
        outcome = 'complete' if is_complete else 'broken_off'
        self._metrics.unframed_ends.increment(process.value, outcome)
        _LOGGER.info(
            'unframed_end_checked',
            extra={
                'request_id': request_id,
                'upstream': upstream.upstream_id,
                'started_at_ms': upstream.started_at_ms,
                'server_process': process.value,
                'is_listed': self._is_listed(upstream),
                'outcome': outcome,
            },
        )
        return is_complete

    def _is_listed(self, upstream: fleet.Upstream) -> bool:
        """Returns whether an upstream is listed as the same process."""
        listed = self._view.upstreams.get(upstream.upstream_id)
        return (
            listed is not None
            and listed.started_at_ms == upstream.started_at_ms
            and listed.address == upstream.address
            and listed.software_version == upstream.software_version
        )

    async def _wait_for_heartbeat(self, upstream: fleet.Upstream) -> bool:
        """Returns whether an upstream writes its entry again without a restart.

        What the log held at the call may be from before the end of the body.
        A process that has started again counts its entries anew.
        """
        if not await self._upstreams_sync.read(VIEW_READ_TIMEOUT_S):
            return False
        listed = self._view.upstreams.get(upstream.upstream_id)
        with trio.move_on_after(self._entry_timeout_s):
            while listed is not None and self._is_listed(upstream):
                current = self._view.upstreams[upstream.upstream_id]
                if current.entry_number != listed.entry_number:
                    return current.entry_number > listed.entry_number
                await trio.sleep(ENTRY_POLL_S)
        return False


def create_unframed_end_check(
    view: fleet.FleetView,
    upstreams_sync: keyed_log.SharedSync,
    metrics: _gateway_metrics.GatewayMetrics,
    heartbeat_ms: int,
) -> UnframedEndCheck:
    """Creates the check.

    Args:
        view: Entries of the upstreams.
        upstreams_sync: Brings the view up to date.
        metrics: Where outcomes are counted.
        heartbeat_ms: Interval at which upstreams write their entries.
    """
    return UnframedEndCheck(
        view, upstreams_sync, metrics, ENTRY_HEARTBEATS * heartbeat_ms / 1000
    )
