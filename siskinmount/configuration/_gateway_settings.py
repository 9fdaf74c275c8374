"""Typed settings of a gateway daemon."""

from siskinmount import transport
from siskinmount.configuration import _daemon_settings


class GatewaySettings:
    """Settings of a gateway.

    Attributes:
        vm: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        log_level: Minimum severity of logged events.
        callers_address: Address that callers connect to.
        ready_address: Address of the load balancer's readiness check.
        control_address: Address that serves the fleet's state to peers.
        metrics_address: Address that serves counters and histograms.
        peers_port: UDP port for datagrams between members.
        store_address: Address of the platform's store.
        max_record_bytes: Maximum size of one record of the store's log.
        max_call_bytes: Maximum total size of the records of one call.
        upstream_heartbeat_ms: Interval at which upstreams renew their entries
            in the store.
        stop_grace_s: Time between the stop signal and forced termination.
        results_kept_s: Minimum retention time of job results.
        seeds: Control addresses of members to contact at start.
    """

    __slots__ = (
        'vm',
        'region',
        'failure_domain',
        'log_level',
        'callers_address',
        'ready_address',
        'control_address',
        'metrics_address',
        'peers_port',
        'store_address',
        'max_record_bytes',
        'max_call_bytes',
        'upstream_heartbeat_ms',
        'stop_grace_s',
        'results_kept_s',
        'seeds',
    )

    def __init__(
        self,
        *,
        vm: str,
        region: str,
        failure_domain: str,
        log_level: _daemon_settings.LogLevel,
        callers_address: transport.Address,
        ready_address: transport.Address,
        control_address: transport.Address,
        metrics_address: transport.Address,
        peers_port: int,
        store_address: transport.Address,
        max_record_bytes: int,
        max_call_bytes: int,
        upstream_heartbeat_ms: int,
        stop_grace_s: float,
        results_kept_s: float,
        seeds: list[transport.Address],
    ) -> None:
        self.vm = vm
        self.region = region
        self.failure_domain = failure_domain
        self.log_level = log_level
        self.callers_address = callers_address
        self.ready_address = ready_address
        self.control_address = control_address
        self.metrics_address = metrics_address
        self.peers_port = peers_port
        self.store_address = store_address
        self.max_record_bytes = max_record_bytes
        self.max_call_bytes = max_call_bytes
        self.upstream_heartbeat_ms = upstream_heartbeat_ms
        self.stop_grace_s = stop_grace_s
        self.results_kept_s = results_kept_s
        self.seeds = seeds
