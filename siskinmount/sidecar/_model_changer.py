"""Brings the engine to the model version that the service document names."""

import logging

import trio

from siskinmount import results
from siskinmount.sidecar import _change_permits
from siskinmount.sidecar import _engine_orders
from siskinmount.sidecar import _gate
from siskinmount.sidecar import _upstream_monitor

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0


class WantedModel:
    """What the document says of the service's model.

    Attributes:
        model: Name of the model.
        version: Version of it.
        max_changing: Upstreams that may change at once.
    """

    __slots__ = ('model', 'version', 'max_changing')

    def __init__(self, *, model: str, version: str, max_changing: int) -> None:
        self.model = model
        self.version = version
        self.max_changing = max_changing


class ModelChanger:
    """Empties the engine, orders the load, and admits requests again.

    Attributes:
        version: Version that the engine has loaded; empty if unknown.
        order_count: Orders given, in total.
    """

    __slots__ = (
        'version',
        'order_count',
        '_gate',
        '_monitor',
        '_engine',
        '_permits',
        '_wanted',
        '_wanted_changed',
        '_permit',
        '_settled',
    )

    def __init__(
        self,
        *,
        gate: _gate.Gate,
        monitor: _upstream_monitor.UpstreamMonitor,
        engine: _engine_orders.EngineOrders,
        permits: _change_permits.ChangePermits,
    ) -> None:
        self.version = ''
        self.order_count = 0
        self._gate = gate
        self._monitor = monitor
        self._engine = engine
        self._permits = permits
        self._wanted: WantedModel | None = None
        self._wanted_changed = trio.Event()
        self._permit: _change_permits.ChangePermit | None = None
        # Whether no permit of this VM can be open.
        self._settled = False

    def set_wanted(self, wanted: WantedModel) -> None:
        """Takes what a new document says."""
        self._wanted = wanted
        self._wanted_changed.set()
        self._wanted_changed = trio.Event()

    async def run(self) -> None:
        """Compares and changes for ever."""
        while True:
            await self._monitor.became_reachable.wait()
            wanted_changed = self._wanted_changed
            if self._wanted is not None:
                await self._compare(self._wanted)
            with trio.move_on_after(CHECK_INTERVAL_S):
                await wanted_changed.wait()

    async def _compare(self, wanted: WantedModel) -> None:
        """Does the next step towards the wanted model, if there is one."""
        engine_state = await self._engine.get_state()
        if isinstance(engine_state, results.Failure):
            return
        if not engine_state.ready:
            self._gate.pause()
            return
        self.version = engine_state.version
        is_wanted = (
            engine_state.model == wanted.model
            and engine_state.version == wanted.version
        )
        if is_wanted or not wanted.version:
            await self._finish()
            return
        await self._change(wanted)

    async def _finish(self) -> None:
        """Admits requests and lets other upstreams change."""
        self._gate.resume()
        if self._settled:
            return
        if await self._permits.release_all() is None:
            self._permit = None
            self._settled = True

    async def _change(self, wanted: WantedModel) -> None:
        """Orders the load of the wanted model once nothing runs."""
        self._settled = False
        if self._permit is None:
            self._permit = await self._acquire(wanted)
            return
        self._gate.pause()
        await self._gate.wait_empty()
        # The last look at the log comes after all that may take long: after a
        # pause of this process another one may have given a newer order.
        if not await self._permits.is_current(self._permit):
            _LOGGER.warning(
                'order_superseded',
                extra={
                    'code': int(results.ResultCode.STALE_ORDER),
                    'fence': self._permit.fence,
                },
            )
            self._permit = None
            return
        await self._order(self._permit.fence, wanted)

    async def _acquire(
        self, wanted: WantedModel
    ) -> _change_permits.ChangePermit | None:
        """Waits for a permit, until the document wants something else."""
        permit: _change_permits.ChangePermit | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_set, self._wanted_changed, nursery.cancel_scope
            )
            permit = await self._permits.acquire(wanted.max_changing)
            nursery.cancel_scope.cancel()
        return permit

    async def _order(self, fence: int, wanted: WantedModel) -> None:
        """Gives the order; its effect shows in the engine's state."""
        failure = await self._engine.load(fence, wanted.model, wanted.version)
        self.order_count += 1
        _LOGGER.info(
            'load_ordered',
            extra={
                'fence': fence,
                'model': wanted.model,
                'version': wanted.version,
                'code': 0 if failure is None else int(failure.code),
            },
        )
        stale = (
            failure is not None
            and failure.code is results.ResultCode.STALE_ORDER
        )
        if stale:
            self._permit = None


async def _cancel_when_set(event: trio.Event, scope: trio.CancelScope) -> None:
    """Cancels a scope once an event is set."""
    await event.wait()
    scope.cancel()
