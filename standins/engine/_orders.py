"""Orders that change what an engine runs, with an optional fencing check."""

import enum

import trio

from siskinmount import results
from siskinmount import transport
from standins.engine import _batch_loop
from standins.engine import _settings

WEIGHT_RETRY_MS = 500


class OrderKind(enum.Enum):
    """What an order changes."""

    #: Loads a model version in place of the present one.
    LOAD = 'load'

    #: Adds an adapter to the loaded model.
    ADAPTER = 'adapter'

    #: Changes the engine's role.
    ROLE = 'role'


class Order:
    """One order as received.

    Attributes:
        fence: Fencing number.
        kind: What it changes.
        model: Name of the model, adapter or role.
        version: Version of it.
        accepted: Whether the engine took it.
    """

    __slots__ = ('fence', 'kind', 'model', 'version', 'accepted')

    def __init__(
        self, fence: int, kind: OrderKind, model: str, version: str
    ) -> None:
        self.fence = fence
        self.kind = kind
        self.model = model
        self.version = version
        self.accepted = False


class OrderDesk:
    """Takes orders and carries them out, the newest first.

    Attributes:
        newest_fence: Highest fencing number of an order that was taken.
        model: Name of the loaded model.
        version: Version of the loaded model.
        adapters: Names of loaded adapters, with versions.
        role: The engine's role.
        loading: Whether an order is being carried out.
        history: All orders, in the order of their arrival.
    """

    __slots__ = (
        'newest_fence',
        'model',
        'version',
        'adapters',
        'role',
        'loading',
        'history',
        '_settings',
        '_loop',
        '_weight_store',
        '_pending',
        '_arrived',
    )

    def __init__(
        self,
        settings: _settings.EngineSettings,
        loop: _batch_loop.BatchLoop,
        model: str,
        version: str,
        weight_store: transport.HttpClient | None,
    ) -> None:
        self.newest_fence = 0
        self.model = model
        self.version = version
        self.adapters: dict[str, str] = {}
        self.role = 'both'
        self.loading = False
        self.history: list[Order] = []
        self._settings = settings
        self._loop = loop
        self._weight_store = weight_store
        self._pending: list[Order] = []
        self._arrived = trio.Event()

    def take(self, order: Order) -> results.Failure | None:
        """Takes an order, unless its fencing number is checked and old."""
        self.history.append(order)
        if self._settings.orders_fenced and order.fence < self.newest_fence:
            return results.Failure(
                results.ResultCode.STALE_ORDER,
                f'the newest fencing number is {self.newest_fence}',
            )
        order.accepted = True
        self.newest_fence = max(self.newest_fence, order.fence)
        if order.kind is OrderKind.LOAD:
            self._loop.abort_all()
            self._loop.cache.clear()
        self.loading = True
        self._pending.append(order)
        self._arrived.set()
        return None

    async def run(self) -> None:
        """Carries orders out, one after the other, for ever."""
        while True:
            if not self._pending:
                self.loading = False
                self._arrived = trio.Event()
                await self._arrived.wait()
            await self._carry_out(self._pending.pop(0))

    async def _carry_out(self, order: Order) -> None:
        """Spends the time of an order, then applies it."""
        if order.kind is OrderKind.LOAD:
            await self._read_weights(order)
            await self._spend(self._settings.load_model_ms)
            self.model = order.model
            self.version = order.version
            self.adapters.clear()
            return
        if order.kind is OrderKind.ADAPTER:
            await self._spend(self._settings.load_adapter_ms)
            self.adapters[order.model] = order.version
            return
        await self._spend(self._settings.change_role_ms)
        self.role = order.model

    async def _spend(self, duration_ms: float) -> None:
        await trio.sleep(duration_ms * self._settings.time_scale / 1000)

    async def _read_weights(self, order: Order) -> None:
        """Reads the weights from the store until it has given all of them."""
        if self._weight_store is None:
            return
        target = f'/weights/{order.model}/{order.version}'
        while True:
            exchange = await self._weight_store.send(
                transport.ClientRequest('GET', target)
            )
            if not isinstance(exchange, results.Failure):
                with exchange:
                    if exchange.status == 200 and await _read_all(exchange):
                        return
            await trio.sleep(WEIGHT_RETRY_MS / 1000)


async def _read_all(exchange: transport.ClientExchange) -> bool:
    """Reads a response to its end; tells whether it was whole."""
    while True:
        chunk = await exchange.receive_chunk()
        if isinstance(chunk, results.Failure):
            return False
        if not chunk:
            return True
