"""The entry daemon: its components, start-up and graceful shutdown."""

import functools
import logging

import orjson
import trio

from siskinmount import admission
from siskinmount import backing_services
from siskinmount import batch
from siskinmount import configuration
from siskinmount import membership
from siskinmount import objectives
from siskinmount import results
from siskinmount import routing
from siskinmount import rpc
from siskinmount import state
from siskinmount import supervision
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.entry import _active_configuration
from siskinmount.entry import _batch_api
from siskinmount.entry import _batch_peer_api
from siskinmount.entry import _callers_api
from siskinmount.entry import _control_service
from siskinmount.entry import _heartbeat_observer
from siskinmount.entry import _job_client
from siskinmount.entry import _job_peer_api
from siskinmount.entry import _key_service
from siskinmount.entry import _peers_api
from siskinmount.entry import _self_description
from siskinmount.entry import _stream_owner_client
from siskinmount.entry import _upstream_access

_LOGGER = logging.getLogger(__name__)

#: How long an entry that is shutting down still accepts connections, so that
#: the load balancer and the peers stop using it before they are refused.
DRAIN_NOTICE_S = 3.0
MAINTENANCE_INTERVAL_S = 1.0
CRASH_REPORT_EXPIRY_MS = 12 * 3600 * 1000
#: Bound on recording outstanding idempotency outcomes during a shutdown.
KEY_FLUSH_TIMEOUT_S = 5.0
#: How long a new entry discovers other entries before it claims streams.
DISCOVERY_PERIOD_S = 2.5
#: After this time a new entry reports ready even without all upstreams.
UPSTREAMS_TIMEOUT_S = 5.0
MAX_UPSTREAM_CONNECTIONS = 1024


class Entry:
    """The components of one entry process.

    Attributes:
        settings: The settings.
        self_description: This entry as announced to other daemons.
        members: The known daemons.
        active_configuration: The active configuration.
        crash_reports: Requests found to crash upstreams.
        streams: The state streams that this entry owns.
        batch_service: Batch jobs on these streams.
    """

    __slots__ = (
        'settings',
        'self_description',
        'members',
        'active_configuration',
        'crash_reports',
        'streams',
        'batch_service',
        '_log',
        '_writer',
        '_histograms',
        '_archive',
        '_admission',
        '_access',
        '_heartbeats',
        '_vm_list_watcher',
        '_callers_server',
        '_peers_server',
        '_control_server',
        '_job_peer_api',
        '_keys',
        '_started_s',
        '_stopping',
        '_streams_released',
    )

    def __init__(self, settings: configuration.EntrySettings) -> None:
        identity = settings.identity
        self._started_s = trio.current_time()
        self.settings = settings
        self.self_description = _self_description.SelfDescription(identity)
        self.members = membership.create_member_table()
        self._log = backing_services.create_log_client(identity.log_address)
        self._writer = state.Writer(
            identity.vm, self.self_description.incarnation
        )
        self.active_configuration = _active_configuration.ActiveConfiguration(
            state.create_configuration_stream(
                self._log,
                _active_configuration.parse_published_text,
                grammar=configuration.KNOWN_FORMAT,
                retention_ms=settings.log_retention_s * 1000,
                is_carrier=self._is_first_entry,
            )
        )
        self.active_configuration.add_listener(self._apply_document)
        self.crash_reports = state.create_crash_report_stream(
            self._log,
            expiry_ms=min(
                CRASH_REPORT_EXPIRY_MS, settings.log_retention_s * 1000
            ),
        )
        self.streams = state.create_ownership_manager(
            state.state_stream_names(settings.stream_count),
            identity.vm,
            self.list_live_entries,
            self._create_shard,
        )
        self._histograms = telemetry.create_histograms([])
        self._archive = objectives.create_archive_writer(
            self._log,
            self._histograms,
            identity.vm,
            self.self_description.incarnation,
        )
        router = routing.create_router(self.members, identity.failure_domain)
        self._admission = admission.create_admission(router)
        self._access = _upstream_access.UpstreamAccess(
            router,
            routing.create_retry_budgets(),
            self.crash_reports,
            transport.ClientLimits(max_connections=MAX_UPSTREAM_CONNECTIONS),
        )
        self._heartbeats = membership.create_heartbeat_sender(
            self.members,
            _heartbeat_observer.EntryHeartbeatObserver(
                self.self_description, self.active_configuration.stream
            ),
            identity.seeds,
        )
        self._vm_list_watcher = membership.create_vm_list_watcher(
            backing_services.create_vm_list_client(identity.vm_list_address),
            self.members,
            self._heartbeats,
        )
        self._build_servers()
        self._stopping = trio.Event()
        self._streams_released = trio.Event()

    def _build_servers(self) -> None:
        """Creates the servers for callers, peers and control calls."""
        owner_client = _stream_owner_client.StreamOwnerClient(
            self.streams,
            self.members,
            transport.ClientLimits(),
            self.settings.stream_count,
        )
        keys = _key_service.KeyService(
            owner_client, self.self_description.holder()
        )
        self._keys = keys
        self.batch_service = batch.create_batch_service(
            self.streams,
            self.self_description.identity.vm,
            _batch_peer_api.HttpOwnerClient(owner_client),
        )
        self._job_peer_api = _job_peer_api.JobPeerApi(owner_client)
        callers_api = _callers_api.CallersApi(
            active_configuration=self.active_configuration,
            is_ready=self.is_ready,
            access=self._access,
            keys=keys,
            jobs=_batch_api.BatchApi(_job_client.JobClient(owner_client)),
            admission_control=self._admission,
            histograms=self._histograms,
        )
        budget = transport.create_byte_budget(
            max_body_bytes=self.settings.limits.max_body_bytes
        )
        self._callers_server = transport.create_http_server(
            callers_api.handle, self.settings.limits, budget
        )
        peers_api = _peers_api.PeersApi(
            is_ready=self.is_ready,
            keys=keys,
            batch_peer_api=_batch_peer_api.BatchPeerApi(
                self.batch_service,
                batch.create_batch_service(
                    self.streams, self.self_description.identity.vm
                ),
            ),
            jobs=self._job_peer_api,
            histograms=self._histograms,
            describe_details=self.describe_details,
        )
        self._peers_server = transport.create_http_server(
            peers_api.handle, budget=budget
        )
        self._control_server = rpc.create_control_server(
            _control_service.ControlService(
                self.self_description,
                self.members,
                self.active_configuration,
                self._histograms,
                self.crash_reports,
                self.list_backlogs,
                self.describe_details,
            )
        )

    def list_live_entries(self) -> list[str]:
        """Returns the VMs of the entries that may own streams.

        The list is empty while a new entry may not know the others yet.
        """
        if trio.current_time() - self._started_s < DISCOVERY_PERIOD_S:
            return []
        vms = self.members.live_entry_vms()
        if (
            not self.self_description.leaving
            and self.self_description.identity.vm not in vms
        ):
            vms.append(self.self_description.identity.vm)
        return sorted(vms)

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send callers here.

        A new entry knows no upstreams until their heartbeats arrive.
        """
        document = self.active_configuration.document
        if document is None or self.self_description.leaving:
            return False
        if trio.current_time() - self._started_s > UPSTREAMS_TIMEOUT_S:
            return True
        for service in document.services:
            if not self.members.list_sidecars(service):
                return False
        return True

    def list_backlogs(self) -> list[rpc.Backlog]:
        """Returns the number of waiting batch items of each service."""
        backlogs: list[rpc.Backlog] = []
        for service, count in self.batch_service.waiting_counts().items():
            backlogs.append(rpc.Backlog(service=service, waiting_items=count))
        return backlogs

    def describe_details(self) -> dict[str, object]:
        """Returns streams, jobs and counters of this entry for operators."""
        shards = self.streams.owned_shards()
        jobs: list[object] = []
        for shard in shards:
            for status in shard.batch.statuses():
                jobs.append(orjson.loads(status.to_json()))
        return {
            'streams_owned': [shard.stream.name for shard in shards],
            'jobs': jobs,
            'configuration_version': self.active_configuration.version,
            'connections': self._callers_server.connection_count,
        }

    def begin_leaving(self) -> None:
        """Starts a graceful shutdown."""
        if self.self_description.leaving:
            return
        _LOGGER.info('leaving_begun')
        self.self_description.leaving = True
        self._stopping.set()

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until a graceful shutdown has completed."""
        async with trio.open_nursery() as nursery:
            peers_address = await nursery.start(
                self._peers_server.run, self.settings.identity.peers_address
            )
            control_address = await nursery.start(
                self._control_server.run,
                self.settings.identity.control_address,
            )
            self.self_description.peers_address = peers_address
            self.self_description.control_address = control_address
            nursery.start_soon(
                supervision.run_supervisor, 'entry', self._list_children()
            )
            async with trio.open_nursery() as serving:
                callers_address = await serving.start(
                    self._callers_server.run, self.settings.callers_address
                )
                task_status.started(callers_address)
                _LOGGER.info(
                    'entry_started',
                    extra={'callers_address': str(callers_address)},
                )
                await self._stopping.wait()
                self._callers_server.begin_draining()
                await trio.sleep(DRAIN_NOTICE_S)
                self._callers_server.stop()
            with trio.move_on_after(KEY_FLUSH_TIMEOUT_S):
                await self._keys.wait_flushed()
            await self._archive.append_rest()
            # All callers are served; hand the state streams to other entries.
            self.streams.stop()
            await self._streams_released.wait()
            self._peers_server.stop()
            self._control_server.stop()
            nursery.cancel_scope.cancel()
        _LOGGER.info('entry_stopped')

    def _list_children(self) -> list[supervision.Child]:
        """Returns the supervised background tasks."""
        return [
            supervision.Child(
                'stop_signal',
                functools.partial(
                    supervision.watch_stop_signal, self.begin_leaving
                ),
            ),
            supervision.Child(
                'configuration', self.active_configuration.stream.run
            ),
            supervision.Child(
                'configuration_in_force', self.active_configuration.run
            ),
            supervision.Child('convictions', self.crash_reports.run),
            supervision.Child('heartbeats', self._heartbeats.run),
            supervision.Child('vm_list', self._vm_list_watcher.run),
            supervision.Child('streams', self._run_streams),
            supervision.Child('objectives', self._archive.run),
            supervision.Child('keys', self._keys.run),
            supervision.Child('pauses', self._access.pause_guard.run),
            supervision.Child('upkeep', self._run_maintenance),
        ]

    async def _run_streams(self) -> None:
        """Owns streams until the shutdown releases them."""
        await self.streams.run()
        self._streams_released.set()

    async def _run_maintenance(self) -> None:
        """Applies membership changes and expires idle uploads periodically."""
        while True:
            self._admission.set_entry_count(len(self.list_live_entries()))
            self._access.drop_clients(
                {
                    sidecar.peers_address
                    for sidecar in self.members.list_sidecars()
                }
            )
            self._drop_lost_holders()
            await self._job_peer_api.drop_idle_uploads()
            await trio.sleep(MAINTENANCE_INTERVAL_S)

    def _drop_lost_holders(self) -> None:
        """Drops intents held by entry processes that are no longer members."""
        live = {self.self_description.holder()}
        for entry in self.members.list_entries():
            live.add(f'{entry.vm}/{entry.incarnation}')
        for shard in self.streams.owned_shards():
            for holder in shard.keys.list_holders():
                if holder not in live:
                    shard.keys.drop_holder(holder)

    def _apply_document(
        self, document: configuration.ServiceDocument, version: int
    ) -> None:
        """Applies a new configuration document."""
        self.self_description.configuration_version = version
        bounds: list[telemetry.ObjectiveBound] = []
        for objective in document.objectives:
            bounds.append(
                telemetry.ObjectiveBound(
                    name=objective.name,
                    service=objective.service,
                    measure=objective.measure.value,
                    within_ms=objective.within_ms,
                )
            )
        self._histograms.set_bounds(bounds)

    def _create_shard(self, name: str) -> batch.BatchShard:
        """Creates the state of a stream for one period of ownership."""
        return batch.create_batch_shard(
            name,
            self._log,
            self._writer,
            stream_limits=state.StreamLimits(
                retention_ms=self.settings.log_retention_s * 1000,
                retention_records=self.settings.log_retention_records,
            ),
            is_live=self._is_live_owner,
            weight_of=self._find_weight,
            crash_tracker=self.crash_reports,
            on_ready=self.batch_service.notify_ready,
        )

    def _find_weight(self, caller: str) -> int:
        """Returns a caller's weight in sharing batch capacity."""
        document = self.active_configuration.document
        if document is None or caller not in document.callers:
            return 1
        return document.callers[caller].weight

    def _is_live_owner(self, vm: str) -> bool:
        """Returns whether the owner of a stream is still live."""
        return vm in self.members.live_entry_vms()

    def _is_first_entry(self) -> bool:
        """Returns whether this entry runs tasks that only one entry may run."""
        vms = self.list_live_entries()
        return bool(vms) and vms[0] == self.self_description.identity.vm


async def run_entry(
    settings: configuration.EntrySettings,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> results.Failure | None:
    """Runs an entry until SIGTERM, then drains requests in progress.

    Args:
        settings: The settings.
        task_status: Receives the address of the callers' server.

    Returns:
        None after a graceful shutdown, or why the entry cannot start.
    """
    entry = Entry(settings)
    return await transport.run_listening(
        functools.partial(entry.run, task_status)
    )
