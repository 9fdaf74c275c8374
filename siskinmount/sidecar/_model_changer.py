"""Reconciles the engine's model with the one in the service document."""

import logging

import trio

from siskinmount import results
from siskinmount.sidecar import _change_permits
from siskinmount.sidecar import _engine_orders
from siskinmount.sidecar import _gate
from siskinmount.sidecar import _upstream_monitor

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0


class DesiredModel:
    """Model that the document configures for the service.

    Attributes:
        model: Name of the model.
        version: Version of the model.
        max_changing: Maximum number of upstreams that may change at once.
    """

    __slots__ = ('model', 'version', 'max_changing')

    def __init__(self, *, model: str, version: str, max_changing: int) -> None:
        self.model = model
        self.version = version
        self.max_changing = max_changing


class ModelChanger:
    """Drains the engine, orders the load, then admits requests again.

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
        '_desired',
        '_desired_changed',
        '_permit',
        '_permits_released',
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
        self._desired: DesiredModel | None = None
        self._desired_changed = trio.Event()
        self._permit: _change_permits.ChangePermit | None = None
        # Whether it is certain that no permit of this VM is open.
        self._permits_released = False

    def set_desired(self, desired: DesiredModel) -> None:
        """Sets the desired model from a new document."""
        self._desired = desired
        self._desired_changed.set()
        self._desired_changed = trio.Event()

    async def run(self) -> None:
        """Reconciles the engine periodically, forever."""
        while True:
            await self._monitor.became_reachable.wait()
            desired_changed = self._desired_changed
            if self._desired is not None:
                await self._reconcile(self._desired)
            with trio.move_on_after(CHECK_INTERVAL_S):
                await desired_changed.wait()

    async def _reconcile(self, desired: DesiredModel) -> None:
        """Takes the next step towards the desired model, if one is needed."""
        engine_state = await self._engine.get_state()
        if isinstance(engine_state, results.Failure):
            return
        if not engine_state.ready:
            self._gate.pause()
            return
        self.version = engine_state.version
        is_desired = (
            engine_state.model == desired.model
            and engine_state.version == desired.version
        )
        if is_desired or not desired.version:
            await self._finish_change()
            return
        await self._change(desired)

    async def _finish_change(self) -> None:
        """Admits requests again and frees the permit for other upstreams."""
        self._gate.resume()
        if self._permits_released:
            return
        if await self._permits.release_all() is None:
            self._permit = None
            self._permits_released = True

    async def _change(self, desired: DesiredModel) -> None:
        """Acquires a permit, or with one drains the upstream and orders."""
        self._permits_released = False
        if self._permit is None:
            self._permit = await self._acquire(desired)
            return
        self._gate.pause()
        await self._gate.wait_empty()
        # The log is read after all steps that can take long: if this process
        # was paused, another one may have given a newer order meanwhile.
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
        await self._order_load(self._permit.fence, desired)

    async def _acquire(
        self, desired: DesiredModel
    ) -> _change_permits.ChangePermit | None:
        """Waits for a permit; returns None if the document changes first."""
        permit: _change_permits.ChangePermit | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_set, self._desired_changed, nursery.cancel_scope
            )
            permit = await self._permits.acquire(desired.max_changing)
            nursery.cancel_scope.cancel()
        return permit

    async def _order_load(self, fence: int, desired: DesiredModel) -> None:
        """Orders the load, which takes effect in the engine's state later."""
        failure = await self._engine.load(fence, desired.model, desired.version)
        self.order_count += 1
        _LOGGER.info(
            'load_ordered',
            extra={
                'fence': fence,
                'model': desired.model,
                'version': desired.version,
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
