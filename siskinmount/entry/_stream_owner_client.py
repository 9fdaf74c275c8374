"""Sends requests to the owners of state streams."""

import trio

from siskinmount import batch
from siskinmount import membership
from siskinmount import results
from siskinmount import state
from siskinmount import transport
from siskinmount.entry import _upstream_access

#: How long a request waits for a stream to get an owner.
OWNER_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.1
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

_RETRIED_CODES = frozenset(
    (
        results.ResultCode.NOT_OWNER,
        results.ResultCode.OWNER_UNKNOWN,
        results.ResultCode.OWNERSHIP_LOST,
        results.ResultCode.UPSTREAM_UNREACHABLE,
    )
)


class StreamOwnerClient:
    """Finds the owners of streams and sends requests to them.

    Attributes:
        streams: The streams that this entry owns.
    """

    __slots__ = ('streams', '_members', '_limits', '_clients', '_stream_count')

    def __init__(
        self,
        streams: state.OwnershipManager[batch.BatchShard],
        members: membership.MemberTable,
        limits: transport.ClientLimits,
        stream_count: int,
    ) -> None:
        self.streams = streams
        self._members = members
        self._limits = limits
        self._clients: dict[transport.Address, transport.HttpClient] = {}
        self._stream_count = stream_count

    def find_stream(self, key: str) -> str:
        """Returns the stream that a key belongs to."""
        return state.stream_of(key, self._stream_count)

    def find_local_shard(
        self, stream: str
    ) -> batch.BatchShard | results.Failure:
        """Returns a stream's state if this entry owns the stream."""
        return self.streams.find_shard(stream)

    async def send(
        self, stream: str, request: transport.ClientRequest
    ) -> bytes | results.Failure:
        """Sends a request to the owner, with retries.

        The request must be safe to repeat: it is sent again if the owner is
        unreachable or has changed.

        Returns:
            The body of the response, or the owner's failure, or the failure
            of the last try if no owner answered within `OWNER_TIMEOUT_S`.
        """
        deadline_s = trio.current_time() + OWNER_TIMEOUT_S
        while True:
            response = await self.send_once(stream, request)
            if not isinstance(response, results.Failure):
                return response
            if response.code not in _RETRIED_CODES:
                return response
            if trio.current_time() > deadline_s:
                return response
            await trio.sleep(RETRY_DELAY_S)

    async def send_once(
        self, stream: str, request: transport.ClientRequest
    ) -> bytes | results.Failure:
        """Sends a request to the current owner without retries."""
        owner_vm = self.streams.owner_vm(stream)
        if owner_vm is None:
            return results.Failure(
                results.ResultCode.OWNER_UNKNOWN,
                f'{stream} has no owner yet',
                retry_after_ms=1000,
            )
        return await self.send_to(owner_vm, request)

    async def send_to(
        self, vm: str, request: transport.ClientRequest
    ) -> bytes | results.Failure:
        """Sends a request to the entry on a VM without retries."""
        owner = self._members.find(vm)
        if owner is None:
            return results.Failure(
                results.ResultCode.OWNER_UNKNOWN,
                f'entry {vm} is unknown to this entry',
                retry_after_ms=1000,
            )
        exchange = await self._find_client(owner).send(request)
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            fault = exchange.find_framing_fault()
            if fault is not None:
                return fault
            body = await exchange.read_body(MAX_RESPONSE_BYTES)
        if isinstance(body, results.Failure):
            return body
        if exchange.status != 200:
            return _upstream_access.parse_error_body(body).failure
        return body

    def _find_client(self, owner: membership.Member) -> transport.HttpClient:
        """Returns the connection pool for an entry."""
        client = self._clients.get(owner.peers_address)
        if client is None:
            client = transport.create_http_client(
                owner.peers_address, self._limits
            )
            self._clients[owner.peers_address] = client
        return client


async def wait_for_shard(
    owner_client: StreamOwnerClient, stream: str
) -> batch.BatchShard | results.Failure:
    """Waits until a stream has an owner and returns its state if owned here.

    Returns:
        The state; or, without delay, a failure that another entry owns the
        stream; or, after `OWNER_TIMEOUT_S`, that it has no owner.
    """
    deadline_s = trio.current_time() + OWNER_TIMEOUT_S
    while True:
        shard = owner_client.find_local_shard(stream)
        if not isinstance(shard, results.Failure):
            return shard
        if shard.code is not results.ResultCode.OWNER_UNKNOWN:
            return shard
        if trio.current_time() > deadline_s:
            return shard
        await trio.sleep(RETRY_DELAY_S)
