"""State and services that all online requests share."""

from siskinmount import admission
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount.gateway import _customer_check
from siskinmount.gateway import _departure_reader
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _listed_processes
from siskinmount.gateway import _origin_finder
from siskinmount.gateway import _origin_registrar
from siskinmount.gateway import _rate_limit_reader
from siskinmount.gateway import _response_buffers
from siskinmount.gateway import _shutdown_admission
from siskinmount.gateway import _unframed_end
from siskinmount.gateway import _upstream_clients
from siskinmount.gateway import _wire


class OnlineContext:
    """State and services that all online requests share.

    Attributes:
        placer: Chooses upstreams.
        load: Counts requests in flight per upstream.
        health: Records failures and successes of upstreams.
        overdue: Detects requests whose first byte is overdue.
        paces: Judges answers of starting and recovered upstreams.
        run_times: Records how long runs take.
        crash_tracker: Identifies requests that crash upstreams.
        clients: Connection pools of the upstreams.
        processes: Leads the rest of a stream to processes that are listed.
        departures: Notes responses of upstreams that leave.
        rate_limits: Notes responses that name a request rate.
        origins: Finds out what began a stream that a caller resumes.
        registrar: Registers what begins a stream.
        upstreams_sync: Brings the list of upstreams up to date.
        end_check: Judges ends of bodies without framing.
        buffers: Bounds the memory of responses that are read whole.
        wire: Reads and writes headers.
        metrics: Counters and histograms of the gateway.
        customer_check: Checks keys of callers.
        shares: Decides whose requests may wait how long for an upstream; None
            if all may wait as long.
        shutdown: Decides which requests start while the process shuts down.
    """

    __slots__ = (
        'placer',
        'load',
        'health',
        'overdue',
        'paces',
        'run_times',
        'crash_tracker',
        'clients',
        'processes',
        'departures',
        'rate_limits',
        'origins',
        'registrar',
        'upstreams_sync',
        'end_check',
        'buffers',
        'wire',
        'metrics',
        'customer_check',
        'shares',
        'shutdown',
    )

    def __init__(
        self,
        *,
        placer: placement.Placer,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        overdue: placement.OverdueRuns,
        paces: placement.UpstreamPaces,
        run_times: placement.RunTimes,
        crash_tracker: placement.CrashTracker,
        clients: _upstream_clients.UpstreamClients,
        processes: _listed_processes.ListedProcesses,
        departures: _departure_reader.DepartureReader,
        rate_limits: _rate_limit_reader.RateLimitReader,
        origins: _origin_finder.OriginFinder,
        registrar: _origin_registrar.OriginRegistrar,
        upstreams_sync: keyed_log.SharedSync,
        end_check: _unframed_end.UnframedEndCheck,
        buffers: _response_buffers.ResponseBuffers,
        wire: _wire.Wire,
        metrics: _gateway_metrics.GatewayMetrics,
        customer_check: _customer_check.CustomerCheck,
        shutdown: _shutdown_admission.ShutdownAdmission,
        shares: admission.CustomerShares | None = None,
    ) -> None:
        self.placer = placer
        self.load = load
        self.health = health
        self.overdue = overdue
        self.paces = paces
        self.run_times = run_times
        self.crash_tracker = crash_tracker
        self.clients = clients
        self.processes = processes
        self.departures = departures
        self.rate_limits = rate_limits
        self.origins = origins
        self.registrar = registrar
        self.upstreams_sync = upstreams_sync
        self.end_check = end_check
        self.buffers = buffers
        self.wire = wire
        self.metrics = metrics
        self.customer_check = customer_check
        self.shares = shares
        self.shutdown = shutdown
