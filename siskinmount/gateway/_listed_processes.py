"""Decides how the process is reached that the list of upstreams describes."""

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount.gateway import _upstream_clients

#: Heartbeats after which a process that has started again has written its entry,
#: as far as the store takes it.
ENTRY_HEARTBEATS = 2


class ListedProcesses:
    """Keeps the rest of a response from processes that are not listed yet.

    Only the list of upstreams tells the version of a process, and engines
    accept the rest of a response whatever version began it.
    """

    __slots__ = (
        '_view',
        '_clients',
        '_crash_tracker',
        '_upstreams_sync',
        '_entry_timeout_s',
    )

    def __init__(
        self,
        view: fleet.FleetView,
        clients: _upstream_clients.UpstreamClients,
        crash_tracker: placement.CrashTracker,
        upstreams_sync: keyed_log.SharedSync,
        entry_timeout_s: float,
    ) -> None:
        self._view = view
        self._clients = clients
        self._crash_tracker = crash_tracker
        self._upstreams_sync = upstreams_sync
        self._entry_timeout_s = entry_timeout_s

    def find_connection_bound(self, upstream: fleet.Upstream) -> float | None:
        """Returns when a connection must have been opened; None for any time.

        An upstream that has ended since it wrote its entry may have started
        again as another version. One that was connected before, and still is,
        has not. The time is monotonic.
        """
        listed_at_s = self._find_listed_at_s(upstream)
        client = self._clients.get_client(upstream)
        if client.find_last_closing_s() > listed_at_s:
            return listed_at_s
        if self._crash_tracker.has_crashed_since(
            upstream.upstream_id, listed_at_s
        ):
            return listed_at_s
        return None

    def _find_listed_at_s(self, upstream: fleet.Upstream) -> float:
        """Returns when the process of an upstream was last the listed one.

        While the log can be read, a restart shows after some heartbeats.
        """
        written_at_s = self._view.written_at_s.get(
            upstream.upstream_id, float('-inf')
        )
        confirmed_at_s = self._upstreams_sync.confirmed_at_s
        settled_at_s = confirmed_at_s - self._entry_timeout_s
        if settled_at_s < self._upstreams_sync.regained_at_s:
            return written_at_s
        return max(written_at_s, settled_at_s)


def create_listed_processes(
    view: fleet.FleetView,
    clients: _upstream_clients.UpstreamClients,
    crash_tracker: placement.CrashTracker,
    upstreams_sync: keyed_log.SharedSync,
    heartbeat_ms: int,
) -> ListedProcesses:
    """Creates the decision.

    Args:
        view: Entries of the upstreams.
        clients: Connections to the upstreams.
        crash_tracker: Crashes that this member and its peers know of.
        upstreams_sync: Knows how old the list of upstreams is.
        heartbeat_ms: Interval at which upstreams write their entries.
    """
    return ListedProcesses(
        view,
        clients,
        crash_tracker,
        upstreams_sync,
        ENTRY_HEARTBEATS * heartbeat_ms / 1000,
    )
