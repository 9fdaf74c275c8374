"""Callers of streams and plain calls over persistent connections."""

from collections.abc import Callable
import random
import zlib

import trio

from siskinmount import results
from siskinmount import transport
from tools.soak import _checker
from tools.soak import _observations
from tools.soak import _soak_fleet

PAUSE_S = 0.05
#: Mean pause between requests that may crash engines.
CRASHING_PAUSE_S = 0.5
#: Second parts of the prompts of sound requests.
SECOND_PARTS = 20
#: Tries of a caller to get the rest of a stream that was broken off.
MAX_RESUMES = 2
RESUME_PAUSE_S = 0.2
#: Time that a caller waits for an answer beyond the deadline of its request.
EXTRA_TIMEOUT_S = 2.0
_KINDS = tuple(_observations.CallKind)


class Caller:
    """Sends one request after the other, each to a gateway drawn at random.

    Connections are reused until they close, also those to a gateway that is
    about to stop.
    """

    __slots__ = (
        '_fleet',
        '_rng',
        '_name',
        '_sends_crashing_part',
        '_clients',
        '_count',
    )

    def __init__(
        self,
        fleet: _soak_fleet.SoakFleet,
        seed: int,
        name: str,
        sends_crashing_part: bool = False,
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(f'{seed} {name}')
        self._name = name
        self._sends_crashing_part = sends_crashing_part
        self._clients: dict[int, transport.HttpClient] = {}
        self._count = 0

    async def run(self, until_s: float) -> None:
        """Sends requests until the given time."""
        while trio.current_time() < until_s:
            await self._send_one()
            pause_s = CRASHING_PAUSE_S if self._sends_crashing_part else PAUSE_S
            await trio.sleep(self._rng.uniform(0, 2 * pause_s))
        for client in self._clients.values():
            client.close()

    async def _send_one(self) -> None:
        self._count += 1
        gateway = self._rng.choice(self._fleet.gateways)
        call = _observations.ObservedCall(
            f'{self._name}-{self._count}',
            self._rng.choice(_KINDS),
            gateway.number,
            self._sends_crashing_part,
        )
        await self._send_and_take_up(
            gateway, call, lambda: self._rng.choice(self._fleet.gateways)
        )

    async def send_stream(
        self,
        gateway: _soak_fleet.SoakGateway,
        second: _soak_fleet.SoakGateway,
    ) -> None:
        """Sends a stream to one gateway, and takes it up at another."""
        self._count += 1
        call = _observations.ObservedCall(
            f'{self._name}-{self._count}',
            _observations.CallKind.STREAM,
            gateway.number,
        )
        await self._send_and_take_up(gateway, call, lambda: second)

    async def _send_and_take_up(
        self,
        gateway: _soak_fleet.SoakGateway,
        call: _observations.ObservedCall,
        choose_next: Callable[[], _soak_fleet.SoakGateway],
    ) -> None:
        """Sends a request; a stream that is broken off is taken up."""
        await self._send(gateway, call)
        for _ in range(MAX_RESUMES):
            last_event_id = call.get_last_event_id()
            is_stream = call.kind is _observations.CallKind.STREAM
            if call.is_whole or not is_stream or not last_event_id:
                return
            await trio.sleep(self._rng.uniform(0, 2 * RESUME_PAUSE_S))
            self._count += 1
            gateway = choose_next()
            earlier = call
            call = _observations.ObservedCall(
                f'{self._name}-{self._count}',
                earlier.kind,
                gateway.number,
                first=earlier.first or earlier,
                last_event_id=last_event_id,
            )
            await self._send(gateway, call)
            if call.status != 200:
                call = earlier

    async def _send(
        self, gateway: _soak_fleet.SoakGateway, call: _observations.ObservedCall
    ) -> None:
        """Sends one request, and records what comes of it in time."""
        self._fleet.observed.calls.append(call)
        timeout_s = _checker.ROUTE_TIMEOUT_S + EXTRA_TIMEOUT_S
        with trio.move_on_after(timeout_s):
            await self._exchange(gateway, call)
            call.ended_at_s = trio.current_time()

    async def _exchange(
        self, gateway: _soak_fleet.SoakGateway, call: _observations.ObservedCall
    ) -> None:
        """Sends a request and records its status and body."""
        deadline_ms = int(_checker.ROUTE_TIMEOUT_S * 1000)
        request = call.first or call
        headers = [
            (b'x-request-id', call.request_id.encode()),
            (b'x-deadline-ms', b'%d' % deadline_ms),
            (b'x-model', b'm'),
            (b'x-prompt-prefix', _format_prompt(request).encode()),
        ]
        if call.first is not None:
            headers.append((b'last-event-id', b'%d' % call.last_event_id))
            headers.append((b'resumes', call.first.request_id.encode()))
        answer = await self._find_client(gateway).send(
            transport.ClientRequest(
                'POST',
                f'/{call.kind.value}/x',
                headers,
                request.request_id.encode(),
                _soak_fleet.HOST.encode(),
            )
        )
        if isinstance(answer, results.Failure):
            return
        call.status = answer.status
        call.head_at_s = trio.current_time()
        if answer.find_header(b'server-leaving') is not None:
            seal = answer.find_header(b'x-server-seal') or ''
            call.leaving_engine = seal.removeprefix('seal-')
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


def _format_prompt(call: _observations.ObservedCall) -> str:
    """Returns the parts of a request's prompt; no two have the same last."""
    second = f'second-{zlib.crc32(call.request_id.encode()) % SECOND_PARTS}'
    if call.has_crashing_part:
        second = _observations.CRASHING_PART
    return (
        f'{_observations.FIRST_PART}:100,{second}:100,own-{call.request_id}:250'
    )
