"""Injects the faults of a schedule."""

import random

import trio

from standins import event_engine
from standins import faults as faults_module
from tools.soak import _loopback_proxy
from tools.soak import _observations
from tools.soak import _schedule
from tools.soak import _soak_fleet

#: Time in which a started gateway has read all state and reached its peers.
RECOVERY_S = 3.0
#: Time in which connections broken by a fault are replaced.
RECONNECT_S = 3.0
MAX_ANSWER_FAULTS = 4
LOST_ANSWER_COUNT = 3
STORE_DELAY_MS = 400
LINK_DELAY_S = 0.3
#: Share of engines that answer with neither length nor chunks, and how often
#: they are drawn anew.
UNFRAMED_SHARE = 0.4
FRAMING_PERIOD_S = 1.0
#: Faults of single answers after which a request can still succeed. Faults
#: that fail an item permanently are left out, as listing the item as given up
#: would then be correct.
_RECOVERABLE_FAULTS = (
    event_engine.AnswerFault.CUT_MIDWAY,
    event_engine.AnswerFault.RUN_AND_CLOSE,
    event_engine.AnswerFault.RUN_AND_SILENT,
    event_engine.AnswerFault.STALL_MIDWAY,
    event_engine.AnswerFault.NOT_RUN,
    event_engine.AnswerFault.OTHER_PROCESS,
    event_engine.AnswerFault.FOREIGN,
)


class FaultInjector:
    """Injects the faults of one schedule."""

    __slots__ = ('_fleet', '_rng', '_framing_rng')

    def __init__(self, fleet: _soak_fleet.SoakFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        # A generator of its own, so that the faults of a seed stay the same.
        self._framing_rng = random.Random(f'framing {seed}')

    async def inject(self, events: list[_schedule.FaultEvent]) -> None:
        """Injects all faults at their times; returns when all have ended."""
        began_at_s = trio.current_time()
        async with trio.open_nursery() as framing_nursery:
            framing_nursery.start_soon(self._vary_framing)
            async with trio.open_nursery() as nursery:
                for event in events:
                    await trio.sleep_until(began_at_s + event.at_s)
                    nursery.start_soon(self._inject_one, event)
            framing_nursery.cancel_scope.cancel()

    async def _vary_framing(self) -> None:
        """Lets some engines end their answers with the connection.

        What else spoils an answer then happens to such answers too.
        """
        while True:
            for running in self._fleet.engines:
                running.engine.omits_framing = (
                    self._framing_rng.random() < UNFRAMED_SHARE
                )
            await trio.sleep(FRAMING_PERIOD_S)

    async def _inject_one(self, event: _schedule.FaultEvent) -> None:
        kind = event.kind
        gateways = self._fleet.gateways
        gateway = gateways[event.number % len(gateways)]
        if kind is _schedule.FaultKind.KILL_GATEWAY:
            await self._kill([gateway])
        elif kind is _schedule.FaultKind.KILL_ALL_GATEWAYS:
            await self._kill(gateways)
        elif kind is _schedule.FaultKind.PAUSE_GATEWAY:
            await self._pause(gateway, event.duration_s)
        elif kind is _schedule.FaultKind.STOP_GATEWAY:
            await self._stop(gateway)
        elif kind is _schedule.FaultKind.STOP_IN_TURN:
            for each in gateways:
                await self._stop(each)
        elif kind is _schedule.FaultKind.RELOAD_GATEWAY:
            if gateway.process is not None:
                gateway.process.reload()
        elif kind is _schedule.FaultKind.DOCUMENT_CHANGES:
            self._fleet.publish_document()
        elif kind is _schedule.FaultKind.ENGINE_REPLACED:
            await self._fleet.replace_engine(event.number)
        elif kind.value.startswith('engine_'):
            await self._inject_engine_fault(event)
        else:
            await self._inject_store_fault(event, gateway)

    async def _kill(self, gateways: list[_soak_fleet.SoakGateway]) -> None:
        """Kills gateways, which `SoakFleet.watch_gateway` restarts."""
        disturbances: list[_observations.Disturbance] = []
        for gateway in gateways:
            disturbances.append(self._begin_disturbance(gateway))
            gateway.is_ended_on_purpose = True
            if gateway.process is not None:
                gateway.process.kill()
        for gateway in gateways:
            await self._wait_recovered(gateway)
        await self._end_disturbances(disturbances)

    async def _pause(
        self, gateway: _soak_fleet.SoakGateway, duration_s: float
    ) -> None:
        disturbance = self._begin_disturbance(gateway)
        process = gateway.process
        if process is not None:
            process.pause()
            await trio.sleep(duration_s)
            process.unpause()
        await self._end_disturbances([disturbance])

    async def _stop(self, gateway: _soak_fleet.SoakGateway) -> None:
        """Asks a gateway to stop; it must exit with 0 within its grace period."""
        disturbance = self._begin_disturbance(gateway)
        process = gateway.process
        was_killed = gateway.is_ended_on_purpose
        gateway.is_ended_on_purpose = True
        if process is not None and process.exit_status is None:
            process.terminate()
            status: int | None = None
            with trio.move_on_after(_soak_fleet.STOP_GRACE_S):
                status = await process.wait()
            is_disturbed = was_killed or self._is_disturbed(
                gateway, disturbance
            )
            if status != 0 and not is_disturbed:
                self._fleet.observed.process_faults.append(
                    f'{process.name} ended with {status} when asked to stop'
                )
            process.kill()
        await self._wait_recovered(gateway)
        await self._end_disturbances([disturbance])

    def _is_disturbed(
        self, gateway: _soak_fleet.SoakGateway, own: _observations.Disturbance
    ) -> bool:
        """Returns whether another fault affected a gateway while it stopped."""
        now_s = trio.current_time()
        for disturbance in self._fleet.observed.gateway_disturbances[
            gateway.number
        ]:
            if disturbance is not own and disturbance.overlaps(
                own.began_at_s, now_s
            ):
                return True
        return False

    async def _wait_recovered(self, gateway: _soak_fleet.SoakGateway) -> None:
        await self._fleet.wait_ready(gateway)
        await trio.sleep(RECOVERY_S)

    def _begin_disturbance(
        self, gateway: _soak_fleet.SoakGateway
    ) -> _observations.Disturbance:
        disturbance = _observations.Disturbance(trio.current_time())
        self._fleet.observed.gateway_disturbances[gateway.number].append(
            disturbance
        )
        return disturbance

    async def _end_disturbances(
        self, disturbances: list[_observations.Disturbance]
    ) -> None:
        await trio.sleep(RECONNECT_S)
        for disturbance in disturbances:
            disturbance.ended_at_s = trio.current_time()

    async def _inject_store_fault(
        self,
        event: _schedule.FaultEvent,
        gateway: _soak_fleet.SoakGateway,
    ) -> None:
        """Injects a fault into the store, or into one gateway's link to it."""
        disturbance = _observations.Disturbance(trio.current_time())
        self._fleet.observed.store_disturbances.append(disturbance)
        kind = event.kind
        faults = self._fleet.store_faults
        duration_ms = int(event.duration_s * 1000)
        proxy = gateway.store_proxy
        if kind is _schedule.FaultKind.STORE_REFUSES:
            faults.begin_outage(faults_module.FaultMode.REFUSE, duration_ms)
        elif kind is _schedule.FaultKind.STORE_CLOSES:
            faults.begin_outage(faults_module.FaultMode.CLOSE, duration_ms)
        elif kind is _schedule.FaultKind.STORE_SLOW:
            faults.slow_down(STORE_DELAY_MS, duration_ms)
        elif kind is _schedule.FaultKind.STORE_LOSES_ANSWERS:
            faults.lose_answers(
                faults_module.FaultMode.CLOSE, LOST_ANSWER_COUNT
            )
        elif kind is _schedule.FaultKind.STORE_LATE:
            self._fleet.store.late_delay_ms = duration_ms
            self._fleet.store.late_appends_left = LOST_ANSWER_COUNT
        elif kind is _schedule.FaultKind.STORE_FORGETS:
            self._fleet.store.drop_history()
        elif kind is _schedule.FaultKind.STORE_RESET:
            proxy.reset_connections()
        elif kind is _schedule.FaultKind.STORE_CUT:
            proxy.fault = _loopback_proxy.LinkFault.SILENT
        elif kind is _schedule.FaultKind.STORE_ONE_WAY:
            proxy.fault = _loopback_proxy.LinkFault.ONE_WAY
        await trio.sleep(event.duration_s)
        proxy.fault = _loopback_proxy.LinkFault.NONE
        await self._end_disturbances([disturbance])

    async def _inject_engine_fault(self, event: _schedule.FaultEvent) -> None:
        """Injects a fault into one engine's answers, or into the link to it."""
        engines = self._fleet.engines
        running = engines[event.number % len(engines)]
        kind = event.kind
        if kind is _schedule.FaultKind.ENGINE_SPOILS:
            count = self._rng.randint(1, MAX_ANSWER_FAULTS)
            running.engine.answer_faults.extend(
                self._rng.choices(_RECOVERABLE_FAULTS, k=count)
            )
            return
        if kind is _schedule.FaultKind.ENGINE_RESET:
            running.proxy.reset_connections()
            return
        if kind is _schedule.FaultKind.ENGINE_DELAYED:
            running.proxy.delay_s = LINK_DELAY_S
        elif kind is _schedule.FaultKind.ENGINE_ONE_WAY:
            running.proxy.fault = _loopback_proxy.LinkFault.ONE_WAY
        else:
            running.proxy.fault = _loopback_proxy.LinkFault.SILENT
        await trio.sleep(event.duration_s)
        running.proxy.delay_s = 0.0
        running.proxy.fault = _loopback_proxy.LinkFault.NONE
