"""Client for the batch calls of one entry."""

from typing import Protocol

from siskinmount import batch
from siskinmount import results
from siskinmount import transport

MAX_ANSWER_BYTES = 64 * 1024 * 1024
CALL_TIMEOUT_MS = 5000
MAX_CONNECTIONS = 4


class EntryPeer(Protocol):
    """An entry as listed by the membership.

    Attributes:
        vm: Name of the entry's VM.
        peers_address: Address at which the entry serves other daemons.
    """

    vm: str
    peers_address: transport.Address


class EntryLink:
    """Pulls items from one entry, renews their leases and reports on them.

    Attributes:
        vm: Name of the entry's VM.
        address: Address at which the entry serves other daemons.
    """

    __slots__ = (
        'vm',
        'address',
        '_own_vm',
        '_incarnation',
        '_service',
        '_client',
    )

    def __init__(
        self,
        peer: EntryPeer,
        own_vm: str,
        incarnation: int,
        service: str,
    ) -> None:
        self.vm = peer.vm
        self.address = peer.peers_address
        self._own_vm = own_vm
        self._incarnation = incarnation
        self._service = service
        self._client = transport.create_http_client(
            peer.peers_address,
            transport.ClientLimits(
                max_connections=MAX_CONNECTIONS,
                silence_timeout_ms=CALL_TIMEOUT_MS,
            ),
        )

    async def pull(
        self, credit: int, wait_ms: int
    ) -> list[batch.PulledItem] | results.Failure:
        """Pulls up to `credit` items, waiting up to `wait_ms` for the first."""
        request = batch.PullRequest(
            self._own_vm, self._incarnation, self._service, credit, wait_ms
        )
        data = await self._call('/batch/pull', request.to_json())
        if isinstance(data, results.Failure):
            return data
        reply = batch.decode_pull_reply(data)
        if isinstance(reply, results.Failure):
            return reply
        return reply.items

    async def renew(
        self, leases: list[batch.LeaseName]
    ) -> batch.RenewReply | results.Failure:
        """Renews leases and returns which items were cancelled."""
        request = batch.RenewRequest(self._own_vm, self._incarnation, leases)
        data = await self._call('/batch/renew', request.to_json())
        if isinstance(data, results.Failure):
            return data
        return batch.decode_renew_reply(data)

    async def report(
        self, reports: list[batch.ItemReport]
    ) -> batch.ReportReply | results.Failure:
        """Delivers reports and returns which of them were accepted."""
        request = batch.ReportRequest(self._own_vm, self._incarnation, reports)
        data = await self._call('/batch/report', request.to_json())
        if isinstance(data, results.Failure):
            return data
        return batch.decode_report_reply(data)

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()

    async def _call(self, target: str, body: bytes) -> bytes | results.Failure:
        """Posts a message and returns the answer's body."""
        request = transport.ClientRequest(
            'POST', target, [(b'content-type', b'application/json')], body
        )
        exchange = await self._client.send(request)
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            data = await exchange.read_body(MAX_ANSWER_BYTES)
        if isinstance(data, results.Failure) or exchange.status == 200:
            return data
        return results.Failure(
            results.ResultCode.UPSTREAM_ERROR,
            f'{target} was answered with {exchange.status}',
            results.RunState.UNKNOWN,
        )


def create_entry_link(
    peer: EntryPeer, own_vm: str, incarnation: int, service: str
) -> EntryLink:
    """Creates the client for one entry.

    Args:
        peer: The entry to call.
        own_vm: VM of this sidecar.
        incarnation: Incarnation of this sidecar.
        service: Service whose items are pulled.
    """
    return EntryLink(peer, own_vm, incarnation, service)
