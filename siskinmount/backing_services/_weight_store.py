"""HTTP client of the platform's rate-limited store of model weights."""

from typing import Protocol
import urllib.parse

from siskinmount import results
from siskinmount import transport
from siskinmount.backing_services import _http_call

_CODE = results.ResultCode.WEIGHT_STORE_UNAVAILABLE


class WeightStore(Protocol):
    """Reads the weights of model versions."""

    async def read_size_bytes(
        self, model: str, version: str
    ) -> int | results.Failure:
        """Downloads a model version and discards the data.

        Returns:
            The size in bytes, or a failure; if there are too many concurrent
            readers, its `retry_after_ms` is the delay before a retry.
        """
        ...


class HttpWeightStore:
    """Implements `WeightStore` over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, address: transport.Address) -> None:
        self._client = transport.create_http_client(address)

    async def read_size_bytes(
        self, model: str, version: str
    ) -> int | results.Failure:
        """Downloads a model version and discards the data."""
        path = '/'.join(
            urllib.parse.quote(part, safe='') for part in (model, version)
        )
        sent = await self._client.send(
            transport.ClientRequest('GET', f'/weights/{path}')
        )
        if isinstance(sent, results.Failure):
            return _http_call.unavailable(_CODE, sent.reason)
        with sent as exchange:
            if exchange.status != 200:
                return _http_call.unavailable(
                    _CODE,
                    f'the weight store answered {exchange.status}',
                    results.RunState.NOT_RUN,
                    _http_call.parse_retry_after(
                        exchange.find_header(b'retry-after')
                    ),
                )
            fault = exchange.find_framing_fault()
            if fault is not None:
                return _http_call.unavailable(_CODE, fault.reason)
            return await _count_bytes(exchange)


async def _count_bytes(
    exchange: transport.ClientExchange,
) -> int | results.Failure:
    """Reads a response body and returns its size in bytes."""
    size_bytes = 0
    while True:
        chunk = await exchange.receive_chunk()
        if isinstance(chunk, results.Failure):
            return _http_call.unavailable(_CODE, chunk.reason)
        if not chunk:
            return size_bytes
        size_bytes += len(chunk)


def create_weight_store_client(address: transport.Address) -> HttpWeightStore:
    """Creates a client for the weight store at an address."""
    return HttpWeightStore(address)
