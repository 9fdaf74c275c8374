"""Injects the faults of a schedule."""

from collections.abc import Awaitable
from collections.abc import Callable
import time

import trio

from siskinmount import transport
from tools.chaos import _chaos_fleet
from tools.chaos import _fault_schedule
from tools.chaos import _observations

LOST_ANSWER_COUNT = 3

_Action = Callable[[], Awaitable[None]]


class FaultInjector:
    """Injects each fault at its time and ends it after its duration."""

    __slots__ = ('_fleet', '_observations', '_publish_race', '_send_poison')

    def __init__(
        self,
        chaos_fleet: _chaos_fleet.ChaosFleet,
        publish_race: _Action,
        send_poison: _Action,
    ) -> None:
        self._fleet = chaos_fleet
        self._observations = chaos_fleet.observations
        self._publish_race = publish_race
        self._send_poison = send_poison

    async def run(self, events: list[_fault_schedule.FaultEvent]) -> None:
        """Injects all faults and returns when all have ended."""
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for event in events:
                await trio.sleep_until(started_s + event.at_s)
                print(f'fault {event}', flush=True)
                nursery.start_soon(self._apply, event)

    async def _apply(self, event: _fault_schedule.FaultEvent) -> None:
        kinds = _fault_schedule.FaultKind
        actions = {
            kinds.KILL_UPSTREAM: self._kill_upstream,
            kinds.KILL_SIDECAR: self._kill_daemon,
            kinds.KILL_VM: self._kill_vm,
            kinds.KILL_ENTRY: self._kill_daemon,
            kinds.FREEZE_UPSTREAM: self._freeze_upstream,
            kinds.FREEZE_SIDECAR: self._freeze_daemon,
            kinds.FREEZE_SIDECAR_LONG: self._freeze_daemon,
            kinds.FREEZE_ENTRY: self._freeze_daemon,
            kinds.CUT_UPSTREAM: self._cut_upstream,
            kinds.CUT_LOG: self._cut_log,
            kinds.LOG_OUTAGE: self._refuse_log,
            kinds.LOG_SILENCE: self._silence_log,
            kinds.LOSE_LOG_ANSWERS: self._lose_log_answers,
            kinds.STOP_SIDECAR: self._stop_sidecar,
            kinds.STOP_ENTRY: self._stop_entry,
            kinds.LIST_AS_LEAVING: self._list_as_leaving,
        }
        if event.kind is kinds.RACING_PUBLISHES:
            await self._publish_race()
            return
        if event.kind is kinds.POISON:
            await self._send_poison()
            return
        started_s = time.monotonic()
        await actions[event.kind](event)
        self._observations.fault_spans.append(
            _observations.Span(event.target or '*', started_s, time.monotonic())
        )

    async def _kill_upstream(self, event: _fault_schedule.FaultEvent) -> None:
        await self._fleet.kill(self._fleet.find_upstream(event.target))
        await trio.sleep(event.duration_s)
        await self._fleet.start_upstream(event.target)

    async def _kill_daemon(self, event: _fault_schedule.FaultEvent) -> None:
        await self._fleet.kill(self._fleet.find_daemon(event.target))
        await trio.sleep(event.duration_s)
        await self._fleet.start_daemon(event.target)

    async def _kill_vm(self, event: _fault_schedule.FaultEvent) -> None:
        await self._fleet.kill(self._fleet.find_upstream(event.target))
        await self._fleet.kill(self._fleet.find_daemon(event.target))
        await trio.sleep(event.duration_s)
        await self._fleet.start_upstream(event.target)
        await self._fleet.start_daemon(event.target)

    async def _freeze_upstream(self, event: _fault_schedule.FaultEvent) -> None:
        process = self._fleet.find_upstream(event.target)
        process.pause()
        await trio.sleep(event.duration_s)
        process.unpause()

    async def _freeze_daemon(self, event: _fault_schedule.FaultEvent) -> None:
        process = self._fleet.find_daemon(event.target)
        process.pause()
        await trio.sleep(event.duration_s)
        process.unpause()

    async def _cut_upstream(self, event: _fault_schedule.FaultEvent) -> None:
        sidecar = self._fleet.find_sidecar(event.target)
        await self._control(sidecar.upstream_address, 'cut', {})

    async def _cut_log(self, event: _fault_schedule.FaultEvent) -> None:
        await self._control(self._log_address, 'cut', {})

    async def _refuse_log(self, event: _fault_schedule.FaultEvent) -> None:
        await self._fail_log(event, 'refuse')

    async def _silence_log(self, event: _fault_schedule.FaultEvent) -> None:
        await self._fail_log(event, 'silent')

    async def _fail_log(
        self, event: _fault_schedule.FaultEvent, mode: str
    ) -> None:
        duration_ms = int(event.duration_s * 1000)
        await self._control(
            self._log_address,
            'outage',
            {'mode': mode, 'duration_ms': duration_ms},
        )
        await trio.sleep(event.duration_s)

    async def _lose_log_answers(
        self, event: _fault_schedule.FaultEvent
    ) -> None:
        await self._control(
            self._log_address,
            'lose_answer',
            {'mode': 'close', 'count': LOST_ANSWER_COUNT},
        )

    async def _stop_sidecar(self, event: _fault_schedule.FaultEvent) -> None:
        span = await self._fleet.stop_daemon(event.target)
        self._observations.leaving_spans.append(span)
        await trio.sleep(event.duration_s)
        await self._fleet.start_daemon(event.target)

    async def _stop_entry(self, event: _fault_schedule.FaultEvent) -> None:
        span = await self._fleet.stop_daemon(event.target)
        self._observations.planned_stop_spans.append(span)
        await trio.sleep(event.duration_s)
        await self._fleet.start_daemon(event.target)

    async def _list_as_leaving(self, event: _fault_schedule.FaultEvent) -> None:
        listed = self._fleet.running.listed_vms
        listed[event.target] = 'leaving'
        await self._fleet.running.publish_vm_list()
        started_s = time.monotonic()
        await trio.sleep(event.duration_s)
        self._observations.leaving_spans.append(
            _observations.Span(event.target, started_s, time.monotonic())
        )
        listed[event.target] = 'live'
        await self._fleet.running.publish_vm_list()

    @property
    def _log_address(self) -> transport.Address:
        return self._fleet.running.plan.log_address

    async def _control(
        self, address: transport.Address, name: str, fields: dict[str, object]
    ) -> None:
        await self._fleet.running.send_control(
            address, 'POST', f'/control/{name}', fields
        )
