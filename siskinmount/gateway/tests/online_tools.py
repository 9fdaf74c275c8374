"""What online requests share, with clients that a test scripts."""

from siskinmount import placement
from siskinmount import platform
from siskinmount import telemetry
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _online_tools


def create_online_tools(clients, view=None, placer=None):
    """Returns tools whose memory is empty.

    Args:
        clients: Gives the connections to upstreams.
        view: Upstreams to choose from by the real placer.
        placer: Chooses in its stead.
    """
    load = placement.create_load_table()
    evidence = placement.create_crash_evidence()
    health = placement.create_upstream_health(evidence)
    return _online_tools.OnlineTools(
        placer=placer or placement.create_placer(view, load, health),
        load=load,
        health=health,
        overdue=placement.create_overdue_runs(health),
        evidence=evidence,
        clients=clients,
        wire=platform.create_wire(),
        metrics=_gateway_metrics.create_gateway_metrics(
            telemetry.create_metrics()
        ),
    )
