"""Creates the context of online requests with fake clients."""

from siskinmount import admission
from siskinmount import customers
from siskinmount import fleet
from siskinmount import placement
from siskinmount import platform
from siskinmount import stream_origins
from siskinmount import telemetry
from siskinmount.gateway import _customer_check
from siskinmount.gateway import _departure_reader
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _listed_processes
from siskinmount.gateway import _online_context
from siskinmount.gateway import _origin_finder
from siskinmount.gateway import _origin_registrar
from siskinmount.gateway import _rate_limit_reader
from siskinmount.gateway import _response_buffers
from siskinmount.gateway import _shutdown_admission
from siskinmount.gateway import _unframed_end


class _UpToDate:
    """Fake of `keyed_log.SharedSync` for a view that is up to date."""

    confirmed_at_s = 0.0
    regained_at_s = float('-inf')

    async def read(self, timeout_s):
        return True


def create_online_context(clients, view=None, placer=None):
    """Returns a context that has recorded nothing yet.

    Args:
        clients: Fake of `UpstreamClients`.
        view: Upstreams from which the real placer chooses.
        placer: Replaces the real placer if given.
    """
    load = placement.create_load_table()
    crash_tracker = placement.create_crash_tracker()
    rate_limits = placement.create_rate_limits()
    wire = platform.create_wire()
    view = view or fleet.create_fleet_view(None, None)
    paces = placement.create_upstream_paces(view, load)
    run_times = placement.create_run_times()
    health = placement.create_upstream_health(crash_tracker, paces)
    metrics = _gateway_metrics.create_gateway_metrics(
        telemetry.create_metrics()
    )
    table = stream_origins.create_origin_table()
    versions = stream_origins.create_version_table()
    recorder = stream_origins.create_origin_recorder(None, 'm')
    return _online_context.OnlineContext(
        placer=placer
        or placement.create_placer(
            view,
            load,
            health,
            rate_limits=rate_limits,
            paces=paces,
            run_times=run_times,
        ),
        load=load,
        health=health,
        overdue=placement.create_overdue_runs(health),
        paces=paces,
        run_times=run_times,
        crash_tracker=crash_tracker,
        clients=clients,
        processes=_listed_processes.create_listed_processes(
            view, clients, crash_tracker, _UpToDate(), heartbeat_ms=1200
        ),
        departures=_departure_reader.create_departure_reader(
            wire, view, load, metrics
        ),
        rate_limits=_rate_limit_reader.create_rate_limit_reader(
            wire, rate_limits, load, metrics
        ),
        origins=_origin_finder.create_origin_finder(
            table=table,
            versions=versions,
            log=None,
            view=view,
            directory=None,
            metrics=metrics,
            get_outage_s=lambda: 0.0,
        ),
        upstreams_sync=_UpToDate(),
        end_check=_unframed_end.create_unframed_end_check(
            view, _UpToDate(), metrics, heartbeat_ms=1200
        ),
        registrar=_origin_registrar.create_origin_registrar(
            table, versions, recorder, view, metrics
        ),
        buffers=_response_buffers.create_response_buffers(),
        wire=wire,
        metrics=metrics,
        customer_check=_customer_check.create_customer_check(
            view,
            customers.create_key_age(None),
            admission.create_customer_quotas(),
            metrics,
        ),
        shutdown=_shutdown_admission.create_shutdown_admission(),
    )
