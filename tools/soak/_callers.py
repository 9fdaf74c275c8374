"""Callers of streams and plain calls, on connections that they keep."""

import random

import trio

from siskinmount import results
from siskinmount import transport
from tools.soak import _checker
from tools.soak import _seen
from tools.soak import _soak_fleet

PAUSE_S = 0.05
#: What a caller waits beyond the time that it gives a request.
PATIENCE_S = 2.0
_KINDS = tuple(_seen.CallKind)


class Caller:
    """Sends one request after the other, each to a gateway drawn at random.

    It keeps its connections for as long as they last, also to a gateway that
    is about to stop.
    """

    __slots__ = ('_fleet', '_source', '_name', '_clients', '_count')

    def __init__(
        self, fleet: _soak_fleet.SoakFleet, seed: int, name: str
    ) -> None:
        self._fleet = fleet
        self._source = random.Random(f'{seed} {name}')
        self._name = name
        self._clients: dict[int, transport.HttpClient] = {}
        self._count = 0

    async def run(self, until_s: float) -> None:
        """Sends requests until a time."""
        while trio.current_time() < until_s:
            await self._send_one()
            await trio.sleep(self._source.uniform(0, 2 * PAUSE_S))
        for client in self._clients.values():
            client.close()

    async def _send_one(self) -> None:
        self._count += 1
        gateway = self._source.choice(self._fleet.gateways)
        call = _seen.SeenCall(
            f'{self._name}-{self._count}',
            self._source.choice(_KINDS),
            gateway.number,
        )
        self._fleet.seen.calls.append(call)
        patience_s = _checker.ROUTE_TIMEOUT_S + PATIENCE_S
        with trio.move_on_after(patience_s):
            await self._exchange(gateway, call)
            call.ended_at_s = trio.current_time()

    async def _exchange(
        self, gateway: _soak_fleet.SoakGateway, call: _seen.SeenCall
    ) -> None:
        """Sends a request and reads what comes."""
        deadline_ms = int(_checker.ROUTE_TIMEOUT_S * 1000)
        answer = await self._find_client(gateway).send(
            transport.ClientRequest(
                'POST',
                f'/{call.kind.value}/x',
                [
                    (b'x-request-id', call.request_id.encode()),
                    (b'x-deadline-ms', b'%d' % deadline_ms),
                ],
                call.request_id.encode(),
                _soak_fleet.HOST.encode(),
            )
        )
        if isinstance(answer, results.Failure):
            return
        call.status = answer.status
        with answer:
            while True:
                chunk = await answer.receive_chunk()
                if isinstance(chunk, results.Failure):
                    return
                if not chunk:
                    call.is_whole = True
                    return
                call.body += chunk

    def _find_client(
        self, gateway: _soak_fleet.SoakGateway
    ) -> transport.HttpClient:
        client = self._clients.get(gateway.number)
        if client is None:
            client = transport.create_http_client(
                gateway.address,
                transport.ClientLimits(silence_timeout_ms=10_000),
            )
            self._clients[gateway.number] = client
        return client
