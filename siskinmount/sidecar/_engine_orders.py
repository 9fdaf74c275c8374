"""Sends orders to a model engine."""

from typing import Protocol

import orjson

from siskinmount import results
from siskinmount import transport

CALL_TIMEOUT_MS = 3000
MAX_ANSWER_BYTES = 256 * 1024

_READY_STATE = 'ready'


class EngineState:
    """State that an engine reports.

    Attributes:
        ready: Whether the engine accepts requests.
        model: Name of the loaded model.
        version: Version of the loaded model.
    """

    __slots__ = ('ready', 'model', 'version')

    def __init__(self, *, ready: bool, model: str, version: str) -> None:
        self.ready = ready
        self.model = model
        self.version = version


class EngineOrders(Protocol):
    """Reads an engine's state and orders it to load a model."""

    async def get_state(self) -> EngineState | results.Failure:
        """Returns the engine's state."""
        ...

    async def load(
        self, fence: int, model: str, version: str
    ) -> results.Failure | None:
        """Orders the engine to load a model version.

        Args:
            fence: Fencing token of the order.
            model: Name of the model.
            version: Version of the model.

        Returns:
            A `STALE_ORDER` failure if the engine has seen a newer token, any
            other failure if the order may not have arrived, or None.
        """
        ...


class HttpEngineOrders:
    """Implements `EngineOrders` over HTTP, with one connection per call."""

    __slots__ = ('_address',)

    def __init__(self, address: transport.Address) -> None:
        self._address = address

    async def get_state(self) -> EngineState | results.Failure:
        """Returns the engine's state."""
        document = await self._call(transport.ClientRequest('GET', '/v1/state'))
        if isinstance(document, results.Failure):
            return document
        return EngineState(
            ready=document.get('state') == _READY_STATE,
            model=str(document.get('model', '')),
            version=str(document.get('version', '')),
        )

    async def load(
        self, fence: int, model: str, version: str
    ) -> results.Failure | None:
        """Orders the engine to load a model version."""
        order = {
            'fence': fence,
            'order': 'load',
            'model': model,
            'version': version,
        }
        document = await self._call(
            transport.ClientRequest(
                'POST',
                '/v1/orders',
                [(b'content-type', b'application/json')],
                orjson.dumps(order),
            )
        )
        return document if isinstance(document, results.Failure) else None

    async def _call(
        self, request: transport.ClientRequest
    ) -> dict | results.Failure:
        """Sends a request and returns the JSON object of the answer."""
        client = transport.create_http_client(
            self._address,
            transport.ClientLimits(
                max_connections=1, silence_timeout_ms=CALL_TIMEOUT_MS
            ),
        )
        exchange = await client.send(request)
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            data = await exchange.read_body(MAX_ANSWER_BYTES)
        client.close()
        if isinstance(data, results.Failure):
            return data
        if exchange.status == 409:
            return results.Failure(
                results.ResultCode.STALE_ORDER,
                'the engine has taken an order with a newer fencing token',
            )
        if exchange.status != 200:
            return _invalid_answer(f'the engine answered {exchange.status}')
        try:
            document = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            return _invalid_answer(str(error))
        if not isinstance(document, dict):
            return _invalid_answer('the answer is not an object')
        return document


def create_http_engine_orders(address: transport.Address) -> HttpEngineOrders:
    """Creates the client for orders to one engine."""
    return HttpEngineOrders(address)


def _invalid_answer(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.UPSTREAM_ERROR, reason, results.RunState.UNKNOWN
    )
