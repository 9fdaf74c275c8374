"""Shares the descriptors of the process among its servers and its clients."""

from siskinmount import transport

#: Limit on callers' connections where descriptors allow it.
MAX_CALLERS = 6000
#: Limit on connections of peers, and of those who check readiness and metrics.
MAX_PEERS = 2048
MAX_CHECKS = 64
#: Descriptors that are left for files.
FILE_DESCRIPTORS = 200
#: Shares of the sockets. The rest is for connections to upstreams, peers and the
#: store: each request that runs needs one there, and some callers' connections
#: are idle.
CALLERS_SHARE = 0.5
PEERS_SHARE = 0.1
CHECKS_SHARE = 0.03
MIN_CONNECTIONS = 8


class ConnectionLimits:
    """Limits of the servers of a gateway.

    Attributes:
        callers: Limits of the callers' server.
        peers: Limits of the server for peers.
        checks: Limits of the servers of the readiness check and the metrics.
    """

    __slots__ = ('callers', 'peers', 'checks')

    def __init__(self, callers: int, peers: int, checks: int) -> None:
        self.callers = _create_limits(callers)
        self.peers = _create_limits(peers)
        self.checks = _create_limits(checks)


def _create_limits(max_connections: int) -> transport.ServerLimits:
    # Callers may all come through one balancer, so a host gets no lower limit.
    return transport.ServerLimits(
        max_connections=max_connections,
        max_connections_per_host=max_connections,
    )


def choose_connection_limits(max_descriptors: int) -> ConnectionLimits:
    """Returns the limits of a process.

    Args:
        max_descriptors: Descriptors of the process; 0 if they are not known.
    """
    if not max_descriptors:
        return ConnectionLimits(MAX_CALLERS, MAX_PEERS, MAX_CHECKS)
    sockets = max(0, max_descriptors - FILE_DESCRIPTORS)

    def share_out(share: float, most: int) -> int:
        return min(most, max(MIN_CONNECTIONS, int(sockets * share)))

    return ConnectionLimits(
        share_out(CALLERS_SHARE, MAX_CALLERS),
        share_out(PEERS_SHARE, MAX_PEERS),
        share_out(CHECKS_SHARE, MAX_CHECKS),
    )
