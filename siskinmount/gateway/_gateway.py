"""The gateway daemon: all its parts, from start to planned stop."""

from collections.abc import Callable
import logging
import time

import orjson
import trio

from siskinmount import configuration
from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import results
from siskinmount import supervision
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _callers_api
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_exchange
from siskinmount.gateway import _item_runner
from siskinmount.gateway import _jobs_api
from siskinmount.gateway import _online_run
from siskinmount.gateway import _outside_services
from siskinmount.gateway import _peers_api
from siskinmount.gateway import _process_signals
from siskinmount.gateway import _upstream_clients

_LOGGER = logging.getLogger(__name__)

#: How long after the signal to stop the balancer may still send callers: it
#: asks once a second and takes a daemon out after two refusals.
BALANCER_NOTICE_S = 3.2
#: Time kept for the end of what still runs before the end by force.
FORCED_END_MARGIN_S = 1.0
#: Part of it for giving the output of batch items to peers.
HAND_OVER_S = 0.4
STOP_STEP_S = 0.05
HOUSEKEEPING_S = 0.25
#: Unused connections are kept longer than callers use them, so that none
#: crosses our close.
IDLE_FACTOR = 1.25
#: How much longer than promised the results of a closed job are kept: clocks
#: and the times since which members know a job differ.
RETENTION_FACTOR = 1.5
#: Jobs that one member drops in one step.
DROPS_A_STEP = 4
#: How long the store must be away before items are given to members that reach
#: it: all find an outage within a read's wait and slack of each other.
HAND_OVER_AFTER_S = 2.5
#: How long after its start a member begins no batch items: callers that waited
#: come back at once, and upstreams drop the runs of a process that lost its
#: power only after a second and a half.
BATCH_AFTER_START_S = 2.0
#: Pause after a member record could not be written.
MEMBER_RETRY_S = 0.5
MAX_CONNECTIONS = 6000


class Gateway:
    """One gateway process."""

    __slots__ = (
        '_settings',
        '_reload_settings',
        '_outside',
        '_log_handler',
        '_signals',
        '_incarnation',
        '_is_leaving',
        '_started_at_s',
        '_started_at_ms',
        '_view',
        '_load',
        '_health',
        '_evidence',
        '_directory',
        '_metrics',
        '_clients',
        '_table',
        '_documents',
        '_upstreams',
        '_members',
        '_jobs',
        '_ledger',
        '_scheduler',
        '_runner',
        '_peers_api',
        '_limits',
        '_callers_server',
        '_servers',
    )

    def __init__(
        self,
        settings: configuration.GatewaySettings,
        reload_settings: Callable[[], configuration.GatewaySettings | None],
        outside: _outside_services.OutsideServices,
        metrics: telemetry.Metrics,
        log_handler: telemetry.BoundedHandler | None,
        signals: _process_signals.ProcessSignals,
    ) -> None:
        self._settings = settings
        self._reload_settings = reload_settings
        self._outside = outside
        self._log_handler = log_handler
        self._signals = signals
        self._incarnation = time.time_ns() // 1_000_000
        self._is_leaving = False
        self._started_at_s = float('inf')
        self._started_at_ms: dict[str, int] = {}
        self._view = fleet.create_fleet_view(
            outside.decode_document, outside.decode_upstream
        )
        self._load = placement.create_load_table()
        self._evidence = placement.create_crash_evidence()
        self._health = placement.create_upstream_health(self._evidence)
        self._directory = peering.create_peer_directory(
            settings.vm, self._load, self._evidence
        )
        self._metrics = _gateway_metrics.create_gateway_metrics(metrics)
        self._clients = _upstream_clients.create_upstream_clients(self._view)
        self._table = jobs.create_job_table()
        self._documents = keyed_log.create_log_follower(
            'document', outside.document_log, self._view.take_document_record
        )
        self._upstreams = keyed_log.create_log_follower(
            'upstreams',
            outside.upstreams_log,
            self._view.take_upstream_record,
            self._view.keep_upstreams,
        )
        self._members = keyed_log.create_log_follower(
            'members', outside.members_log, self._directory.take_record
        )
        self._jobs = keyed_log.create_log_follower(
            'jobs', outside.jobs_log, self._table.take_record
        )
        self._ledger = jobs.create_job_ledger(
            outside.jobs_log, self._jobs, self._table, settings.max_call_bytes
        )
        self._scheduler = jobs.create_item_scheduler(
            self._table,
            settings.vm,
            self._list_responsible,
            self._list_elsewhere,
        )
        placer = placement.create_placer(self._view, self._load, self._health)
        self._peers_api = _peers_api.create_peers_api(
            view=self._view,
            documents=self._documents,
            upstreams=self._upstreams,
            directory=self._directory,
            scheduler=self._scheduler,
            own_address=settings.control_address,
            seeds=settings.seeds,
        )
        self._runner = _item_runner.ItemRunner(
            view=self._view,
            table=self._table,
            scheduler=self._scheduler,
            ledger=self._ledger,
            placer=placer,
            load=self._load,
            health=self._health,
            evidence=self._evidence,
            exchange=_item_exchange.create_item_exchange(
                self._clients, self._health, outside.wire
            ),
            metrics=self._metrics,
            member=settings.vm,
            may_begin=self._may_begin_items,
            must_hand_over=self._must_hand_over,
            list_members=self._list_responsible,
            hand_over=self._peers_api.hand_over,
            max_record_bytes=settings.max_record_bytes,
        )
        tools = _online_run.OnlineTools(
            placer=placer,
            load=self._load,
            health=self._health,
            evidence=self._evidence,
            clients=self._clients,
            wire=outside.wire,
            metrics=self._metrics,
        )
        callers_api = _callers_api.create_callers_api(
            self._view,
            tools,
            _jobs_api.create_jobs_api(
                wire=outside.wire,
                table=self._table,
                ledger=self._ledger,
                follower=self._jobs,
                metrics=self._metrics,
                max_record_bytes=settings.max_record_bytes,
            ),
        )
        self._limits = transport.ServerLimits(
            max_connections=MAX_CONNECTIONS,
            max_connections_per_host=MAX_CONNECTIONS,
        )
        self._callers_server = transport.create_http_server(
            callers_api.handle, self._limits
        )
        self._servers = [
            (self._callers_server, settings.callers_address),
            (
                transport.create_http_server(self._answer_ready),
                settings.ready_address,
            ),
            (
                transport.create_http_server(self._peers_api.handle),
                settings.control_address,
            ),
            (
                transport.create_http_server(self._answer_metrics),
                settings.metrics_address,
            ),
        ]
        self._view.add_listener(self._take_limits)
        self._view.add_listener(self._note_restarts)
        self._view.watch_store(self._get_store_lost_age_s)

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until the planned stop is over."""
        self._started_at_s = trio.current_time()
        _LOGGER.info(
            'daemon_started',
            extra={
                'incarnation': self._incarnation,
                'callers_address': str(self._settings.callers_address),
                'store_address': str(self._settings.store_address),
                'seeds': [str(seed) for seed in self._settings.seeds],
            },
        )
        children = [
            supervision.Child('documents', self._documents.run),
            supervision.Child('upstreams', self._upstreams.run),
            supervision.Child('members', self._members.run),
            supervision.Child('jobs', self._jobs.run),
            supervision.Child('ledger', self._ledger.run),
            supervision.Child('items', self._runner.run),
            supervision.Child('peers_api', self._peers_api.run),
            supervision.Child('peer_exchange', self._create_exchange().run),
            supervision.Child('member_record', self._write_member_record),
            supervision.Child('housekeeping', self._keep_house),
            supervision.Child('reload', self._watch_reload),
        ]
        async with trio.open_nursery() as nursery:
            for server, address in self._servers:
                await nursery.start(server.run, address)
            nursery.start_soon(supervision.run_supervisor, 'gateway', children)
            task_status.started()
            await self._signals.wait_stop()
            await self._leave()
            nursery.cancel_scope.cancel()
        _LOGGER.info('daemon_stopped')

    async def _leave(self) -> None:
        """Ends what runs, within the time that there is."""
        began_at_s = trio.current_time()
        self._is_leaving = True
        self._load.version += 1
        self._callers_server.begin_draining()
        end_at_s = began_at_s + max(
            0.0, self._settings.stop_grace_s - FORCED_END_MARGIN_S
        )
        while trio.current_time() < end_at_s:
            await trio.sleep(STOP_STEP_S)
            if trio.current_time() - began_at_s < BALANCER_NOTICE_S:
                continue
            self._callers_server.stop()
            is_done = (
                not self._callers_server.connection_count
                and not self._runner.held_count
                and not self._ledger.open_count
            )
            if is_done:
                break
        if self._runner.held_count:
            self._runner.cut_all()
            await trio.sleep(HAND_OVER_S)
        _LOGGER.info(
            'stop_done',
            extra={
                'took_ms': int((trio.current_time() - began_at_s) * 1000),
                'connections_cut': self._callers_server.connection_count,
                'items_cut': self._runner.held_count,
                'operations_open': self._ledger.open_count,
            },
        )

    def _list_responsible(self) -> list[str]:
        return self._directory.list_responsible(
            self._is_leaving, self._knows_jobs()
        )

    def _knows_jobs(self) -> bool:
        """Returns whether this member may begin items of all jobs."""
        if not self._may_begin_items():
            return False
        return self._jobs.is_loaded and self._jobs.is_reachable

    def _may_begin_items(self) -> bool:
        """Returns whether the first moments after the start are over."""
        age_s = trio.current_time() - self._started_at_s
        return not self._is_leaving and age_s > BATCH_AFTER_START_S

    def _must_hand_over(self) -> bool:
        """Returns whether other members must go on with the items kept here.

        It ends, or it cannot reach the store and another has said for a while
        that it can: at the begin of an outage members differ on that.
        """
        if self._settings.vm in self._list_responsible():
            return False
        if self._is_leaving:
            return True
        lost_s = trio.current_time() - self._jobs.lost_at_s
        return not self._jobs.is_reachable and lost_s > HAND_OVER_AFTER_S

    def _list_elsewhere(self) -> jobs.ItemsElsewhere:
        """Returns what the live peers run and keep."""
        held_tags: set[str] = set()
        keeper_by_tag: dict[str, str] = {}
        for peer in self._directory.list_live():
            if peer.message is None:
                continue
            held_tags |= peer.message.held_tags
            if peer.message.is_leaving:
                # It is about to hand them over.
                held_tags |= peer.message.kept_tags
                continue
            for tag in peer.message.kept_tags:
                keeper_by_tag[tag] = peer.member
        return jobs.ItemsElsewhere(held_tags, keeper_by_tag)

    def _get_store_lost_age_s(self) -> float:
        """Returns how long ago the store was last found away."""
        if not self._upstreams.is_reachable:
            return 0.0
        return trio.current_time() - self._upstreams.regained_at_s

    def _take_limits(self) -> None:
        """Puts the document's limits on callers in force."""
        document = self._view.document
        if document is None:
            return
        limits = document.limits
        self._limits.max_header_bytes = limits.max_header_bytes
        self._limits.max_body_bytes = limits.max_body_bytes
        self._limits.header_timeout_ms = limits.header_timeout_ms
        self._limits.idle_timeout_ms = int(limits.idle_timeout_ms * IDLE_FACTOR)

    def _note_restarts(self) -> None:
        """Takes an upstream that is gone or began anew for one that was down."""
        now_known: dict[str, int] = {}
        for upstream_id, upstream in self._view.upstreams.items():
            now_known[upstream_id] = upstream.started_at_ms
        for upstream_id, started_at_ms in self._started_at_ms.items():
            if now_known.get(upstream_id) != started_at_ms:
                self._evidence.note_down(upstream_id)
        self._started_at_ms = now_known

    async def _answer_ready(self, exchange: transport.ServerExchange) -> None:
        """Answers the balancer."""
        is_ready = self._view.document is not None and not self._is_leaving
        await exchange.send_json(
            200 if is_ready else 503,
            {'ready': is_ready, 'leaving': self._is_leaving},
        )

    async def _answer_metrics(self, exchange: transport.ServerExchange) -> None:
        """Answers a scraper."""
        await exchange.send_whole(
            200,
            [(b'content-type', telemetry.CONTENT_TYPE.encode('ascii'))],
            telemetry.render_metrics(
                self._metrics.metrics, self._metrics.histograms
            ),
        )

    def _create_exchange(self) -> peering.PeerExchange:
        return peering.create_peer_exchange(
            self._settings.control_address.host,
            self._settings.peers_port,
            self._directory,
            self._load,
            self._create_message,
        )

    def _create_message(self, sequence: int) -> peering.PeerMessage:
        document = self._view.document
        return peering.PeerMessage(
            member=self._settings.vm,
            incarnation=self._incarnation,
            sequence=sequence,
            address=self._settings.control_address.host,
            is_leaving=self._is_leaving,
            knows_jobs=self._knows_jobs(),
            document_version=document.version if document else 0,
            counts=self._load.own,
            held_tags=self._scheduler.held_tags,
            kept_tags=self._scheduler.list_kept_tags(),
            crashes=self._evidence.counts,
        )

    async def _write_member_record(self) -> None:
        """Makes this process known to the other members."""
        record = keyed_log.KeyedRecord(
            self._settings.vm,
            orjson.dumps(
                {
                    'address': self._settings.control_address.host,
                    'incarnation': self._incarnation,
                }
            ),
        )
        while True:
            outcome = await self._outside.members_log.append([record], None)
            if not isinstance(outcome, results.Failure):
                return
            await trio.sleep(MEMBER_RETRY_S)

    async def _keep_house(self) -> None:
        """Does what is due now and then."""
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            self._view.expire_lapsed()
            self._clients.drop_gone()
            self._evidence.expire()
            self._drop_old_jobs()
            self._directory.list_live()
            if self._log_handler is None:
                continue
            self._log_handler.flush()
            dropped = self._log_handler.take_new_drops()
            if dropped:
                _LOGGER.warning('log_lines_dropped', extra={'count': dropped})

    def _drop_old_jobs(self) -> None:
        """Drops closed jobs whose results need not be kept any more."""
        if self._ledger.open_count or not self._knows_jobs():
            return
        kept_s = self._settings.results_kept_s * RETENTION_FACTOR
        limit_s = trio.current_time() - kept_s
        members = self._list_responsible()
        dropped = 0
        for job in self._table.jobs.values():
            if job.known_since_s > limit_s or dropped >= DROPS_A_STEP:
                return
            if job.open_items and not job.is_ended:
                continue
            if jobs.choose_member(job.job_id, members) != self._settings.vm:
                continue
            dropped += 1
            self._ledger.submit(jobs.DropJob(job.job_id))
            _LOGGER.info(
                'job_dropped',
                extra={'job': job.job_id, 'results': len(job.results)},
            )

    async def _watch_reload(self) -> None:
        await self._signals.watch_reload(self._take_settings)

    def _take_settings(self) -> None:
        """Reads the settings again and takes what may change in a process."""
        settings = self._reload_settings()
        if settings is None:
            return
        self._peers_api.seeds = settings.seeds
        logging.getLogger().setLevel(settings.log_level.value.upper())
        _LOGGER.info(
            'settings_reloaded',
            extra={
                'seeds': [str(seed) for seed in settings.seeds],
                'log_level': settings.log_level.value,
            },
        )


def create_gateway(
    settings: configuration.GatewaySettings,
    reload_settings: Callable[[], configuration.GatewaySettings | None],
    outside: _outside_services.OutsideServices,
    metrics: telemetry.Metrics,
    log_handler: telemetry.BoundedHandler | None = None,
    signals: _process_signals.ProcessSignals | None = None,
) -> Gateway:
    """Creates a gateway.

    Args:
        settings: Its settings.
        reload_settings: Reads the settings again; None if they have faults.
        outside: The platform that it runs on.
        metrics: Where its counters go.
        log_handler: Writes the log; its losses are reported.
        signals: How it is told to stop; by default the system's signals.
    """
    return Gateway(
        settings,
        reload_settings,
        outside,
        metrics,
        log_handler,
        signals or _process_signals.create_system_signals(),
    )
