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

    #: Replaces the loaded model version.
    LOAD = 'load'

    #: Adds an adapter to the loaded model.
    ADAPTER = 'adapter'

    #: Changes the engine's role.
    ROLE = 'role'


class Order:
    """One order as received.

    Attributes:
        fence: Fencing token of the sender.
        kind: What the order changes.
        model: Name of the model, adapter or role.
        version: Version of the model or adapter.
        accepted: Whether the engine accepted the order.
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


class OrderExecutor:
    """Accepts orders and executes them in order of arrival.

    Attributes:
        newest_fence: Highest fencing token of an accepted order.
        model: Name of the loaded model.
        version: Version of the loaded model.
        adapters: Names of loaded adapters, with versions.
        role: The engine's role.
        loading: Whether an order is pending or being executed.
        history: All orders in order of arrival, refused ones included.
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

    def accept(self, order: Order) -> results.Failure | None:
        """Queues an order, unless fencing is enabled and its token is stale."""
        self.history.append(order)
        if self._settings.orders_fenced and order.fence < self.newest_fence:
            return results.Failure(
                results.ResultCode.STALE_ORDER,
                f'the newest fencing token is {self.newest_fence}',
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
        """Executes orders one after the other until cancelled."""
        while True:
            if not self._pending:
                self.loading = False
                self._arrived = trio.Event()
                await self._arrived.wait()
            await self._execute(self._pending.pop(0))

    async def _execute(self, order: Order) -> None:
        """Waits for the duration of an order, then applies it."""
        if order.kind is OrderKind.LOAD:
            await self._read_weights(order)
            await self._sleep_scaled(self._settings.load_model_ms)
            self.model = order.model
            self.version = order.version
            self.adapters.clear()
            return
        if order.kind is OrderKind.ADAPTER:
            await self._sleep_scaled(self._settings.load_adapter_ms)
            self.adapters[order.model] = order.version
            return
        await self._sleep_scaled(self._settings.change_role_ms)
        self.role = order.model

    async def _sleep_scaled(self, duration_ms: float) -> None:
        await trio.sleep(duration_ms * self._settings.time_scale / 1000)

    async def _read_weights(self, order: Order) -> None:
        """Reads the weights from the store, and retries until complete."""
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
    """Reads a response to its end; returns False if it was incomplete."""
    while True:
        chunk = await exchange.receive_chunk()
        if isinstance(chunk, results.Failure):
            return False
        if not chunk:
            return True
