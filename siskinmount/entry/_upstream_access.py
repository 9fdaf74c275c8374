"""Shared access to upstreams: connection pools, routing and crash tracking."""

import orjson

from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import routing
from siskinmount import state
from siskinmount import transport
from siskinmount.entry import _pause_guard


class UpstreamAccess:
    """Holds what all request executions share to reach upstreams.

    Attributes:
        router: Chooses upstreams.
        retries: Retry budgets of the services.
        pause_guard: Delays new runs after a pause of this process.
    """

    __slots__ = (
        'router',
        'retries',
        'pause_guard',
        '_limits',
        '_clients',
        '_crash_reports',
        '_version_by_vm',
    )

    def __init__(
        self,
        router: routing.Router,
        retries: routing.RetryBudgets,
        crash_reports: state.CrashReportStream,
        limits: transport.ClientLimits,
    ) -> None:
        self.router = router
        self.retries = retries
        self.pause_guard = _pause_guard.PauseGuard(crash_reports.wait_read)
        self._limits = limits
        self._clients: dict[transport.Address, transport.HttpClient] = {}
        self._crash_reports = crash_reports
        self._version_by_vm: dict[str, str] = {}

    def find_client(self, member: membership.Member) -> transport.HttpClient:
        """Returns the connection pool for a sidecar."""
        address = member.peers_address
        client = self._clients.get(address)
        if client is None:
            client = transport.create_http_client(address, self._limits)
            self._clients[address] = client
        return client

    def drop_clients(self, kept: set[transport.Address]) -> None:
        """Closes the idle connection pools of sidecars that are not kept."""
        for address in list(self._clients):
            if address in kept:
                continue
            if self._clients[address].in_use_count:
                continue
            self._clients.pop(address).close()

    def list_other_versions(self, software_version: str) -> set[str]:
        """Returns the VMs whose engine was last seen in another version."""
        others: set[str] = set()
        for vm, version in self._version_by_vm.items():
            if version != software_version:
                others.add(vm)
        return others

    def record_load(
        self, member: membership.Member, exchange: transport.ClientExchange
    ) -> None:
        """Records load and version in the headers of a sidecar's response."""
        version = exchange.find_header(relay.RelayHeader.SOFTWARE_VERSION)
        if version:
            self._version_by_vm[member.vm] = version
        else:
            self._version_by_vm.pop(member.vm, None)
        in_flight = exchange.find_header(relay.RelayHeader.IN_FLIGHT)
        slots = exchange.find_header(relay.RelayHeader.SLOTS)
        if in_flight is None or slots is None:
            return
        if not in_flight.isdigit() or not slots.isdigit():
            return
        self.router.record_answer(member.vm, int(in_flight), int(slots))

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request may crash upstreams and must run alone."""
        return self._crash_reports.is_suspect(fingerprint)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether a request crashed upstreams and must not rerun."""
        return self._crash_reports.is_quarantined(fingerprint)

    def record_solo_completion(self, fingerprint: str) -> None:
        """Records that a suspect request has completed while running alone."""
        self._crash_reports.record_solo_completion(fingerprint)

    async def wait_quarantined(self, fingerprint: str) -> None:
        """Waits until a request is quarantined and must not run again."""
        await self._crash_reports.wait_quarantined(fingerprint)

    def record_crash(
        self,
        fingerprint: str,
        member: membership.Member,
        frame: relay.FailureFrame,
    ) -> None:
        """Records that an upstream crashed while it ran a request.

        Nothing is recorded if the failure is not a crash of the upstream.

        Args:
            fingerprint: Hash of service and content.
            member: The sidecar of the upstream.
            frame: The failure that the sidecar reported.
        """
        if not frame.upstream_generation:
            return
        self._crash_reports.record_crash(
            fingerprint,
            member.vm,
            member.incarnation + frame.upstream_generation,
            alone=frame.was_alone,
        )


def parse_error_body(body: bytes) -> relay.FailureFrame:
    """Parses the error response of a daemon."""
    try:
        return relay.decode_failure(orjson.loads(body)['error'])
    except (ValueError, KeyError, TypeError):
        return relay.FailureFrame(
            results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                'the error response of a daemon is invalid',
                results.RunState.UNKNOWN,
            )
        )
