"""Plans the processes of a fleet and the addresses that they listen at."""

import itertools
import os
import socket

from siskinmount import transport

REGION = 'region-1'

_LOWEST_PORT = 10_000
_HIGHEST_PORT = 30_000
_PORTS_PER_PROCESS = 64


class EntryPlan:
    """Plan of one entry.

    Attributes:
        vm: Name of the VM.
        failure_domain: Failure domain of the VM.
        callers_address: Address for callers.
        peers_address: Address for HTTP requests of other daemons.
        control_address: Address for gRPC calls of other daemons.
    """

    __slots__ = (
        'vm',
        'failure_domain',
        'callers_address',
        'peers_address',
        'control_address',
    )

    def __init__(
        self,
        vm: str,
        failure_domain: str,
        callers_address: transport.Address,
        peers_address: transport.Address,
        control_address: transport.Address,
    ) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.callers_address = callers_address
        self.peers_address = peers_address
        self.control_address = control_address


class SidecarPlan:
    """Plan of one upstream and its sidecar, which share a VM.

    Attributes:
        vm: Name of the VM.
        failure_domain: Failure domain of the VM.
        service: Service of the upstream.
        is_model: Whether the upstream is a model engine.
        upstream_address: Address of the upstream.
        peers_address: HTTP address of the sidecar.
        control_address: gRPC address of the sidecar.
    """

    __slots__ = (
        'vm',
        'failure_domain',
        'service',
        'is_model',
        'upstream_address',
        'peers_address',
        'control_address',
    )

    def __init__(
        self,
        vm: str,
        failure_domain: str,
        service: str,
        is_model: bool,
        upstream_address: transport.Address,
        peers_address: transport.Address,
        control_address: transport.Address,
    ) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.service = service
        self.is_model = is_model
        self.upstream_address = upstream_address
        self.peers_address = peers_address
        self.control_address = control_address


class FleetPlan:
    """Plan of a fleet.

    Attributes:
        log_address: Address of the log service.
        vm_list_address: Address of the VM list.
        entries: Plans of the entries.
        sidecars: Plans of the upstreams with their sidecars.
        stream_count: Number of state streams.
    """

    __slots__ = (
        'log_address',
        'vm_list_address',
        'entries',
        'sidecars',
        'stream_count',
    )

    def __init__(
        self,
        log_address: transport.Address,
        vm_list_address: transport.Address,
        entries: list[EntryPlan],
        sidecars: list[SidecarPlan],
        stream_count: int,
    ) -> None:
        self.log_address = log_address
        self.vm_list_address = vm_list_address
        self.entries = entries
        self.sidecars = sidecars
        self.stream_count = stream_count


def plan_fleet(
    *,
    entry_count: int = 2,
    model_services: dict[str, int],
    plain_services: dict[str, int],
    failure_domain_count: int = 3,
    stream_count: int = 2,
) -> FleetPlan:
    """Plans a fleet on free loopback ports.

    Args:
        entry_count: Number of entries.
        model_services: Number of engines by service.
        plain_services: Number of plain upstreams by service.
        failure_domain_count: Number of failure domains that the VMs are
            spread over.
        stream_count: Number of state streams.
    """
    upstream_count = sum(model_services.values()) + sum(plain_services.values())
    addresses = _find_free_addresses(2 + 3 * entry_count + 3 * upstream_count)
    log_address = addresses.pop()
    vm_list_address = addresses.pop()
    entries: list[EntryPlan] = []
    for number in range(entry_count):
        entries.append(
            EntryPlan(
                f'entry-{number}',
                f'domain-{number % failure_domain_count}',
                addresses.pop(),
                addresses.pop(),
                addresses.pop(),
            )
        )
    sidecars: list[SidecarPlan] = []
    for services, is_model in ((model_services, True), (plain_services, False)):
        for service, count in services.items():
            for number in range(count):
                sidecars.append(
                    SidecarPlan(
                        f'{service}-{number}',
                        f'domain-{number % failure_domain_count}',
                        service,
                        is_model,
                        addresses.pop(),
                        addresses.pop(),
                        addresses.pop(),
                    )
                )
    return FleetPlan(
        log_address, vm_list_address, entries, sidecars, stream_count
    )


def _find_free_addresses(count: int) -> list[transport.Address]:
    """Returns loopback addresses with ports that are free now."""
    # The ports are below the system's range of ephemeral ports, and each
    # process that plans fleets starts at a different port, so that no other
    # socket takes a port before its daemon has started.
    first = os.getpid() * _PORTS_PER_PROCESS
    addresses: list[transport.Address] = []
    for number in itertools.count(first):
        if len(addresses) == count:
            break
        port = _LOWEST_PORT + number % (_HIGHEST_PORT - _LOWEST_PORT)
        if _is_port_free(port):
            addresses.append(transport.Address('127.0.0.1', port))
    return addresses


def _is_port_free(port: int) -> bool:
    """Returns whether a loopback port can be bound."""
    with socket.socket() as listener:
        try:
            listener.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
