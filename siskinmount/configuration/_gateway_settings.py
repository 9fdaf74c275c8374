"""Typed settings of a gateway daemon."""

from siskinmount import transport
from siskinmount.configuration import _daemon_settings

DEFAULT_KEY_MAX_AGE_MS = 5000
DEFAULT_QUOTA_WINDOW_S = 5.0
DEFAULT_QUOTA_EXCESS_SHARE = 0.1
DEFAULT_QUOTA_SLACK_REQUESTS = 20


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
        strict_revocation: Whether requests under a key run only while the
            gateway can show that the key is young enough.
        key_max_age_ms: Greatest age of that proof.
        quota_window_s: Span in which a customer's quota is checked.
        quota_excess_share: Share by which a customer may exceed its quota.
        quota_slack_requests: Requests by which a customer may exceed it
            besides.
        memory_bytes: Memory that the process may use; 0 if it is not known.
        max_descriptors: File descriptors that the process may have open; 0 if
            their number is not known.
        link_mbps: Speed of the VM's link; 0 if it is not known.
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
        'strict_revocation',
        'key_max_age_ms',
        'quota_window_s',
        'quota_excess_share',
        'quota_slack_requests',
        'memory_bytes',
        'max_descriptors',
        'link_mbps',
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
        strict_revocation: bool = False,
        key_max_age_ms: int = DEFAULT_KEY_MAX_AGE_MS,
        quota_window_s: float = DEFAULT_QUOTA_WINDOW_S,
        quota_excess_share: float = DEFAULT_QUOTA_EXCESS_SHARE,
        quota_slack_requests: int = DEFAULT_QUOTA_SLACK_REQUESTS,
        memory_bytes: int = 0,
        max_descriptors: int = 0,
        link_mbps: int = 0,
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
        self.strict_revocation = strict_revocation
        self.key_max_age_ms = key_max_age_ms
        self.quota_window_s = quota_window_s
        self.quota_excess_share = quota_excess_share
        self.quota_slack_requests = quota_slack_requests
        self.memory_bytes = memory_bytes
        self.max_descriptors = max_descriptors
        self.link_mbps = link_mbps
