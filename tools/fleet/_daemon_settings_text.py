"""Formats the settings files of a fleet's daemons."""

from siskinmount import transport
from tools.fleet import _fleet_plan


def format_entry_settings(
    plan: _fleet_plan.FleetPlan,
    entry: _fleet_plan.EntryPlan,
    log_level: str = 'info',
) -> str:
    """Returns the settings file of an entry."""
    seeds = [other.control_address for other in plan.entries]
    return f"""[daemon]
vm = {entry.vm}
region = {_fleet_plan.REGION}
failure_domain = {entry.failure_domain}
log_level = {log_level}
callers_address = {entry.callers_address}
peers_address = {entry.peers_address}
control_address = {entry.control_address}

[platform]
log_address = {plan.log_address}
vm_list_address = {plan.vm_list_address}

[state]
stream_count = {plan.stream_count}

[seeds]
entries = {_join_addresses(seeds)}
"""


def format_sidecar_settings(
    plan: _fleet_plan.FleetPlan,
    sidecar: _fleet_plan.SidecarPlan,
    gate_policy: str = 'online_first',
    log_level: str = 'info',
    gate_lines: str = '',
) -> str:
    """Returns the settings file of a sidecar."""
    seeds = [entry.control_address for entry in plan.entries]
    return f"""[daemon]
vm = {sidecar.vm}
region = {_fleet_plan.REGION}
failure_domain = {sidecar.failure_domain}
log_level = {log_level}
peers_address = {sidecar.peers_address}
control_address = {sidecar.control_address}

[platform]
log_address = {plan.log_address}
vm_list_address = {plan.vm_list_address}

[upstream]
service = {sidecar.service}
address = {sidecar.upstream_address}

[gate]
gate_policy = {gate_policy}
{gate_lines}
[seeds]
entries = {_join_addresses(seeds)}
"""


def _join_addresses(addresses: list[transport.Address]) -> str:
    return ', '.join(str(address) for address in addresses)
