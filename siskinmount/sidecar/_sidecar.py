"""The sidecar daemon, which runs beside each upstream."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
import time

import trio

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import rpc
from siskinmount import supervision
from siskinmount import transport
from siskinmount.sidecar import _batch_puller
from siskinmount.sidecar import _batch_slot_controller
from siskinmount.sidecar import _change_permits
from siskinmount.sidecar import _engine_orders
from siskinmount.sidecar import _entry_link
from siskinmount.sidecar import _fleet_link
from siskinmount.sidecar import _gate
from siskinmount.sidecar import _gate_load
from siskinmount.sidecar import _http_model_upstream
from siskinmount.sidecar import _http_plain_upstream
from siskinmount.sidecar import _http_routes
from siskinmount.sidecar import _model_changer
from siskinmount.sidecar import _request_registry
from siskinmount.sidecar import _request_runner
from siskinmount.sidecar import _run_handler
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _running_request
from siskinmount.sidecar import _upstream_monitor

_LOGGER = logging.getLogger(__name__)

DEFAULT_SLOTS = 8
LEAVING_ANNOUNCEMENT_S = 3.0
UNREAD_GRACE_S = 10.0
DRAIN_POLL_INTERVAL_S = 0.05
MAX_REPORTED_CRASHES = 32


class Sidecar:
    """Components and state of one sidecar process.

    Attributes:
        settings: The settings.
        incarnation: Increases with each start of the process.
        gate: Admits requests to the upstream.
        registry: Requests that run or ended recently.
        runner: Runs requests.
        monitor: Monitors the upstream.
        slot_controller: Limits batch by measured latency.
        puller: Pulls and runs batch items.
        leaving: Whether the sidecar is stopping.
        address: Address for other daemons; the bound one once it listens.
        changer: Reconciles the engine's model version.
        configuration_version: Version of the document in force.
        fleet: Sends heartbeats and answers control calls.
        control_address: Address for control calls; the bound one once it
            listens.
    """

    __slots__ = (
        'settings',
        'incarnation',
        'gate',
        'registry',
        'runner',
        'monitor',
        'slot_controller',
        'puller',
        'leaving',
        'address',
        'changer',
        'configuration_version',
        'fleet',
        'control_address',
        '_model_upstream',
        '_handler',
        '_server',
        '_nursery',
        '_stop_requested',
        '_stopped',
    )

    def __init__(
        self,
        settings: configuration.SidecarSettings,
        gate: _gate.Gate,
        nursery: trio.Nursery,
    ) -> None:
        self.settings = settings
        self.incarnation = time.time_ns()
        self.gate = gate
        self.registry = _request_registry.RequestRegistry()
        self._model_upstream = _http_model_upstream.create_http_model_upstream(
            settings.upstream_address, gate.rate_limit.read_response
        )
        plain_upstream = _http_plain_upstream.create_http_plain_upstream(
            settings.upstream_address, gate.rate_limit.read_response
        )
        self.slot_controller = _batch_slot_controller.BatchSlotController(gate)
        self.monitor = _upstream_monitor.UpstreamMonitor(plain_upstream)
        gate.rate_limit.watch_generation(lambda: self.monitor.generation)
        self.runner = _request_runner.RequestRunner(
            gate=gate,
            registry=self.registry,
            monitor=self.monitor,
            model_upstream=self._model_upstream,
            plain_upstream=plain_upstream,
            record_gap=self.slot_controller.record_gap,
            on_crash=self._report_crash,
        )
        self.puller = _batch_puller.BatchPuller(
            gate=gate,
            registry=self.registry,
            monitor=self.monitor,
            run=self.runner.run,
            list_entries=self._list_entries,
            create_link=self._create_link,
            start_task=self.start_task,
            has_backlog=self._has_backlog,
        )
        self.leaving = False
        self.address = settings.identity.peers_address
        self.changer = _model_changer.ModelChanger(
            gate=gate,
            monitor=self.monitor,
            engine=_engine_orders.create_http_engine_orders(
                settings.upstream_address
            ),
            permits=_change_permits.create_log_change_permits(
                log=backing_services.create_log_client(
                    settings.identity.log_address
                ),
                vm_list=backing_services.create_vm_list_client(
                    settings.identity.vm_list_address
                ),
                service=settings.service,
                vm=settings.identity.vm,
                incarnation=self.incarnation,
            ),
        )
        self.configuration_version = 0
        self.control_address = settings.identity.control_address
        self.fleet = _fleet_link.FleetLink(
            settings.identity,
            settings.service,
            self.describe_member,
            self.describe,
            self.apply_document,
            self.set_listed_leaving,
            self.list_crashes,
        )
        self._nursery = nursery
        self._stop_requested = trio.Event()
        self._stopped = trio.Event()
        self._handler = _run_handler.RunHandler(
            service=settings.service,
            gate=gate,
            registry=self.registry,
            monitor=self.monitor,
            run=self.runner.run,
            start_task=self.start_task,
            answer_headers=self.list_answer_headers,
        )
        routes = _http_routes.HttpRoutes(
            self._handler, self.is_ready, self.describe
        )
        self._server = transport.create_http_server(routes.handle)

    def start_task(
        self, run: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Starts a task in the sidecar's nursery."""
        self._nursery.start_soon(run, *arguments)

    def apply_service(
        self, service: configuration.Service, configuration_version: int
    ) -> None:
        """Applies the limits and the model of a service."""
        load = self.gate.load
        if self.settings.slots is None:
            load.slots = service.slots_per_upstream
        load.online_reserve_slots = service.online_reserve_slots
        load.batch_prefill_tokens = service.batch_prefill_tokens
        self.slot_controller.max_slowdown = service.max_batch_slowdown
        self.configuration_version = configuration_version
        self.runner.plain_timeout_ms = service.deadline_ms
        if service.kind is configuration.ServiceKind.MODEL:
            self.monitor.set_probe_target(self._model_upstream)
            self.changer.set_desired(
                _model_changer.DesiredModel(
                    model=service.model,
                    version=service.model_version,
                    max_changing=service.max_changing,
                )
            )
        self.gate.admit_waiting()

    def apply_document(
        self, document: configuration.ServiceDocument, version: int
    ) -> None:
        """Applies this sidecar's service from a new document."""
        service = document.services.get(self.settings.service)
        if service is not None:
            self.apply_service(service, version)

    def list_crashes(self) -> list[rpc.UpstreamDeath]:
        """Returns the recent crashes of the upstream, for heartbeats."""
        crashes: list[rpc.UpstreamDeath] = []
        for fingerprint, crash in self.runner.crashes.list_recent(
            MAX_REPORTED_CRASHES
        ):
            crashes.append(
                rpc.UpstreamDeath(
                    fingerprint=fingerprint,
                    generation=crash.generation,
                    was_alone=crash.was_alone,
                )
            )
        return crashes

    def set_listed_leaving(self, is_leaving: bool) -> None:
        """Applies whether the platform's list marks this VM as leaving.

        The list is a second source beside the stop signal: the process may
        not have received a signal. As the list can be wrong for a while, the
        effect is reversible.
        """
        if is_leaving == self.gate.withdrawn:
            return
        _LOGGER.info('listed_state_changed', extra={'is_leaving': is_leaving})
        if is_leaving:
            self.gate.withdraw()
        else:
            self.gate.restore()

    def describe_member(self) -> membership.Member:
        """Returns this sidecar's member record, for heartbeats."""
        identity = self.settings.identity
        usable = self.monitor.reachable and self.gate.find_refusal() is None
        return membership.Member(
            vm=identity.vm,
            role=membership.MemberRole.SIDECAR,
            incarnation=self.incarnation,
            region=identity.region,
            failure_domain=identity.failure_domain,
            peers_address=self.address,
            control_address=self.control_address,
            state=(
                membership.MemberState.LEAVING
                if self.leaving
                else membership.MemberState.LIVE
            ),
            service=self.settings.service,
            slots=self.gate.load.slots if usable else 0,
            in_flight=self.gate.count_in_flight(),
            model_version=self.changer.version,
        )

    def begin_leaving(self) -> None:
        """Refuses new requests and lets running ones end.

        Batch generations that may run again are stopped and returned.
        """
        if self.leaving:
            return
        _LOGGER.info(
            'leaving_begun', extra={'running': self.gate.count_running()}
        )
        self.leaving = True
        self.puller.begin_leaving()
        self.gate.close()
        for running in self.registry.list_running():
            is_model = isinstance(running.request.body, _run_request.ModelBody)
            may_stop = is_model and not running.request.at_most_once
            if may_stop and not running.request.is_online:
                running.stop(_running_request.StopReason.LEAVING)
        self._stop_requested.set()

    def _report_crash(self) -> None:
        """Reports a crash of the upstream to the entries at once."""
        self.fleet.send_heartbeats_now()

    def _has_backlog(self, vm: str) -> bool:
        """Returns whether an entry had waiting items at its last heartbeat."""
        return bool(self.fleet.backlogs.get(vm))

    def _list_entries(self) -> list[membership.Member]:
        return self.fleet.list_entries()

    def _create_link(
        self, peer: _entry_link.EntryPeer
    ) -> _entry_link.EntryLink:
        return _entry_link.create_entry_link(
            peer,
            self.settings.identity.vm,
            self.incarnation,
            self.settings.service,
        )

    def is_ready(self) -> bool:
        """Returns whether the sidecar accepts requests."""
        return self.monitor.reachable and self.gate.find_refusal() is None

    def list_answer_headers(self) -> transport.Headers:
        """Returns the headers of every answer to an entry."""
        in_flight = self.gate.count_in_flight()
        version = self.runner.get_software_version() or ''
        return [
            (relay.RelayHeader.SOFTWARE_VERSION, version.encode('latin-1')),
            (relay.RelayHeader.IN_FLIGHT, b'%d' % in_flight),
            (relay.RelayHeader.SLOTS, b'%d' % self.gate.load.slots),
            (relay.RelayHeader.VM, self.settings.identity.vm.encode('latin-1')),
            (relay.RelayHeader.INCARNATION, b'%d' % self.incarnation),
        ]

    def describe(self) -> dict[str, object]:
        """Returns the sidecar's state, for operators."""
        return {
            'vm': self.settings.identity.vm,
            'incarnation': self.incarnation,
            'service': self.settings.service,
            'state': 'leaving' if self.leaving else 'live',
            'upstream_reachable': self.monitor.reachable,
            'upstream_deaths': self.monitor.exit_count,
            'slots': self.gate.load.slots,
            'online_running': self.gate.load.online_running,
            'batch_running': self.gate.load.batch_running,
            'waiting': self.gate.count_waiting(),
            'preempted': self.gate.preempted_count,
            'refused': self.gate.refused_count,
            'started': self._handler.started_count,
            'attached': self._handler.attached_count,
            'reconnected': self.runner.reconnect_count,
            'batch_slots_beside_online': (
                self.gate.load.batch_slots_beside_online
            ),
            'step_times_ms': self.slot_controller.model.describe(),
            'batch_items_held': self.puller.held_count,
            'batch_items_pulled': self.puller.pulled_count,
            'batch_items_done': self.puller.done_count,
            'batch_items_yielded': self.puller.yielded_count,
            'batch_reports_unsettled': len(self.puller.reports),
            'model_version': self.changer.version,
            'orders': self.changer.order_count,
            'configuration_version': self.configuration_version,
        }

    async def serve(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves other daemons until the sidecar has stopped."""
        async with trio.open_nursery() as nursery:
            self.address = await nursery.start(
                self._server.run, self.settings.identity.peers_address
            )
            task_status.started()
            nursery.start_soon(self._stop_when_drained)
        self._stopped.set()

    async def wait_stopped(self) -> None:
        """Returns once the sidecar has drained and its server has stopped."""
        await self._stopped.wait()

    async def _stop_when_drained(self) -> None:
        """Stops the server once all requests have ended and been read."""
        await self._stop_requested.wait()
        announced_until_s = trio.current_time() + LEAVING_ANNOUNCEMENT_S
        while True:
            is_announced = trio.current_time() >= announced_until_s
            if is_announced and self._is_drained():
                break
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.puller.wait_drained()
        self._server.stop()

    def _is_drained(self) -> bool:
        """Returns whether no request runs or waits for a late reader."""
        now_s = trio.current_time()
        for running in self.registry.list_all():
            if not running.ended:
                return False
            unread = not running.fully_read
            if unread and now_s - running.ended_at_s < UNREAD_GRACE_S:
                return False
        return True


async def run_sidecar(
    settings: configuration.SidecarSettings,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> results.Failure | None:
    """Runs a sidecar until SIGTERM and the end of its requests.

    Args:
        settings: The settings.
        task_status: Receives the `Sidecar` once it is listening.

    Returns:
        None after a planned stop, or why the sidecar cannot start.
    """
    return await transport.run_listening(
        functools.partial(_run_until_stopped, settings, task_status)
    )


async def _run_until_stopped(
    settings: configuration.SidecarSettings,
    task_status: trio.TaskStatus,
) -> None:
    """Runs a sidecar until its planned stop is complete."""
    load = _gate_load.GateLoad(
        slots=settings.slots or DEFAULT_SLOTS,
        online_slots=settings.online_slots,
    )
    gate = _gate.create_gate(settings.gate_policy, load)
    async with trio.open_nursery() as nursery:
        sidecar = Sidecar(settings, gate, nursery)
        await nursery.start(sidecar.serve)
        sidecar.control_address = await nursery.start(
            sidecar.fleet.server.run, settings.identity.control_address
        )
        nursery.start_soon(
            supervision.run_supervisor,
            'sidecar',
            [
                supervision.Child('upstream_monitor', sidecar.monitor.run),
                *sidecar.fleet.list_children(),
                supervision.Child(
                    'slot_controller', sidecar.slot_controller.run
                ),
                supervision.Child(
                    'reader_wake_ups', sidecar.registry.wake_readers
                ),
                supervision.Child('batch_puller', sidecar.puller.run),
                supervision.Child('model_changer', sidecar.changer.run),
                supervision.Child(
                    'stop_signal',
                    functools.partial(
                        supervision.watch_stop_signal, sidecar.begin_leaving
                    ),
                ),
            ],
        )
        task_status.started(sidecar)
        _LOGGER.info(
            'sidecar_started',
            extra={
                'vm': settings.identity.vm,
                'service': settings.service,
                'address': str(sidecar.address),
            },
        )
        await sidecar.wait_stopped()
        nursery.cancel_scope.cancel()
    _LOGGER.info('sidecar_left', extra={'vm': settings.identity.vm})
