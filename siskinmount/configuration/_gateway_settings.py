"""Settings of a gateway daemon as typed values."""

from siskinmount import transport
from siskinmount.configuration import _daemon_settings


class GatewaySettings:
    """What a gateway is told at its start.

    Attributes:
        vm: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        log_level: Least severity of the events that are logged.
        callers_address: Where callers connect.
        ready_address: Where the balancer asks whether to send callers.
        control_address: Where peers ask for the fleet's state.
        metrics_address: Where counters and histograms are served.
        peers_port: Port of the datagrams between members.
        store_address: The platform's store.
        max_record_bytes: Bound on one record of the store's log.
        max_call_bytes: Bound on the records of one call.
        stop_grace_s: Time between the signal to stop and the end by force.
        results_kept_s: How long results of a job stay readable at least.
        seeds: Control addresses of members to ask first.
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
        self.stop_grace_s = stop_grace_s
        self.results_kept_s = results_kept_s
        self.seeds = seeds
