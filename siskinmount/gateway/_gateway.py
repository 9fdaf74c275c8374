"""The gateway daemon: its components, from start to graceful shutdown."""

from collections.abc import Callable
import logging
import time

import trio

from siskinmount import admission
from siskinmount import configuration
from siskinmount import customers
from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import stream_origins
from siskinmount import supervision
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _callers_api
from siskinmount.gateway import _connection_limits
from siskinmount.gateway import _crash_verifier
from siskinmount.gateway import _customer_check
from siskinmount.gateway import _departure_reader
from siskinmount.gateway import _eligible_members_watch
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _graceful_shutdown
from siskinmount.gateway import _housekeeping
from siskinmount.gateway import _item_client
from siskinmount.gateway import _item_runner
from siskinmount.gateway import _item_watch
from siskinmount.gateway import _jobs_api
from siskinmount.gateway import _jobs_writer
from siskinmount.gateway import _key_proofs
from siskinmount.gateway import _listed_processes
from siskinmount.gateway import _member_announcer
from siskinmount.gateway import _online_context
from siskinmount.gateway import _origin_finder
from siskinmount.gateway import _origin_registrar
from siskinmount.gateway import _outside_services
from siskinmount.gateway import _peers_api
from siskinmount.gateway import _process_signals
from siskinmount.gateway import _quarantine_log
from siskinmount.gateway import _rate_limit_reader
from siskinmount.gateway import _response_buffers
from siskinmount.gateway import _result_writer
from siskinmount.gateway import _shutdown_admission
from siskinmount.gateway import _unframed_end
from siskinmount.gateway import _upstream_clients
from siskinmount.gateway import _version_keeper

_LOGGER = logging.getLogger(__name__)

#: Idle connections are kept longer than the document's idle timeout, within
#: which callers reuse them, so that no request arrives while the gateway closes
#: its connection.
IDLE_TIMEOUT_FACTOR = 1.25
#: Intervals of reads of a log that brings a record each time. Upstreams renew
#: their entries about once a second each, and changes of them must be in force
#: within two seconds. Members are needed when they send messages, which make
#: them known as well. Results of items are read by callers twice a second.
UPSTREAMS_READ_INTERVAL_S = 0.25
MEMBERS_READ_INTERVAL_S = 0.25
JOBS_READ_INTERVAL_S = 0.1
#: Longest time after the start for which the log of jobs waits until the list of
#: upstreams has been loaded.
URGENT_LOGS_S = 5.0


class Gateway:
    """One gateway process."""

    __slots__ = (
        '_settings',
        '_reload_settings',
        '_outside',
        '_signals',
        '_started_at_s',
        '_incarnation',
        '_view',
        '_load',
        '_overdue',
        '_directory',
        '_quotas',
        '_quota_members',
        '_crash_verifier',
        '_quarantine_log',
        '_version_keeper',
        '_origin_recorder',
        '_membership',
        '_announcer',
        '_housekeeping',
        '_metrics',
        '_key_age',
        '_customer_check',
        '_document_follower',
        '_key_proofs',
        '_upstreams_follower',
        '_members_follower',
        '_jobs_follower',
        '_ledger',
        '_runner',
        '_item_watch',
        '_peers_api',
        '_limits',
        '_budget',
        '_applied_document',
        '_callers_server',
        '_shutdown',
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
        self._signals = signals
        self._started_at_s = trio.current_time()
        self._incarnation = time.time_ns() // 1_000_000
        self._budget = transport.create_byte_budget(settings.memory_bytes)
        self._view = fleet.create_fleet_view(
            outside.decode_document, outside.decode_upstream
        )
        self._load = placement.create_load_table()
        crash_tracker = placement.create_crash_tracker(
            settings.upstream_heartbeat_ms
        )
        paces = placement.create_upstream_paces(self._view, self._load)
        run_times = placement.create_run_times()
        health = placement.create_upstream_health(crash_tracker, paces)
        self._crash_verifier = _crash_verifier.create_crash_verifier(
            view=self._view,
            load=self._load,
            health=health,
            crash_tracker=crash_tracker,
        )
        self._overdue = placement.create_overdue_runs(health)
        rate_limits = placement.create_rate_limits()
        self._directory = peering.create_peer_directory(
            settings.vm, self._load, crash_tracker, health, rate_limits, paces
        )
        self._quotas = admission.create_customer_quotas(
            settings.quota_window_s,
            settings.quota_excess_share,
            settings.quota_slack_requests,
        )
        self._quota_members = peering.create_quota_members(
            self._directory, self._quotas, self._is_leaving
        )
        self._directory.watch_messages(self._quota_members)
        rate_limits.watch_members(
            self._directory.get_reachable_share, self._get_message_delay_s
        )
        self._quarantine_log = _quarantine_log.create_quarantine_log(
            outside.quarantine_log, crash_tracker.parts, self._directory
        )
        stream_versions = stream_origins.create_version_table()
        self._version_keeper = _version_keeper.create_version_keeper(
            outside.versions_log, stream_versions, self._view, self._directory
        )
        self._origin_recorder = stream_origins.create_origin_recorder(
            outside.origins_log, settings.vm
        )
        self._metrics = _gateway_metrics.create_gateway_metrics(metrics)
        key_max_age_s: float | None = None
        if settings.strict_revocation:
            key_max_age_s = settings.key_max_age_ms / 1000
        self._key_age = customers.create_key_age(
            key_max_age_s, get_version=self._get_document_version
        )
        self._customer_check = _customer_check.create_customer_check(
            self._view,
            self._key_age,
            self._quotas,
            self._metrics,
        )
        origin_table = stream_origins.create_origin_table()
        origins = _origin_finder.create_origin_finder(
            table=origin_table,
            versions=stream_versions,
            log=outside.origins_log,
            view=self._view,
            directory=self._directory,
            metrics=self._metrics,
            get_outage_s=self._get_outage_s,
        )
        crash_tracker.watch_outcomes(self._metrics.interrupted_runs.increment)
        departures = _departure_reader.create_departure_reader(
            outside.wire, self._view, self._load, self._metrics
        )
        limit_reader = _rate_limit_reader.create_rate_limit_reader(
            outside.wire, rate_limits, self._load, self._metrics
        )
        clients = _upstream_clients.create_upstream_clients(self._view)
        table = jobs.create_job_table()
        time_calls = self._metrics.work_times.wrap
        self._document_follower = keyed_log.create_log_follower(
            'document',
            outside.document_log,
            time_calls('document_records', self._view.apply_document_record),
            read_wait_ms=_key_proofs.compute_read_wait_ms(key_max_age_s),
            boot_clock=self._key_age.get_time_s,
        )
        self._key_proofs = _key_proofs.create_key_proofs(
            self._key_age,
            self._view,
            outside.document_log,
            self._document_follower,
            self._metrics,
        )
        self._upstreams_follower = keyed_log.create_log_follower(
            'upstreams',
            outside.upstreams_log,
            time_calls('upstream_records', self._view.apply_upstream_record),
            self._view.retain_upstreams,
            read_interval_s=UPSTREAMS_READ_INTERVAL_S,
        )
        self._members_follower = keyed_log.create_log_follower(
            'members',
            outside.members_log,
            time_calls('member_records', self._directory.apply_record),
            read_interval_s=MEMBERS_READ_INTERVAL_S,
        )
        self._quota_members.watch_log(self._members_follower)
        self._jobs_follower = keyed_log.create_log_follower(
            'jobs',
            outside.jobs_log,
            time_calls('job_records', table.apply_record),
            read_interval_s=JOBS_READ_INTERVAL_S,
            may_load=self._may_load_jobs,
        )
        self._membership = _batch_membership.create_batch_membership(
            settings.vm, self._directory, self._jobs_follower
        )
        self._quotas.watch_members(self._quota_members, self._load.announce)
        self._ledger = jobs.create_job_ledger(
            outside.jobs_log,
            self._jobs_follower,
            table,
            settings.max_call_bytes,
        )
        scheduler = jobs.create_item_scheduler(
            table,
            settings.vm,
            self._membership.list_eligible_members,
            self._membership.list_peer_items,
        )
        self._announcer = _member_announcer.create_member_announcer(
            membership=self._membership,
            address=settings.control_address.host,
            failure_domain=settings.failure_domain,
            incarnation=self._incarnation,
            members_log=outside.members_log,
            view=self._view,
            load=self._load,
            health=health,
            rate_limits=rate_limits,
            paces=paces,
            crash_tracker=crash_tracker,
            scheduler=scheduler,
            directory=self._directory,
            stream_versions=stream_versions,
            quotas=self._quotas,
            quota_members=self._quota_members,
            link_mbps=settings.link_mbps,
        )
        self._housekeeping = _housekeeping.create_housekeeping(
            membership=self._membership,
            view=self._view,
            clients=clients,
            crash_tracker=crash_tracker,
            health=health,
            rate_limits=rate_limits,
            paces=paces,
            run_times=run_times,
            overdue=self._overdue,
            origins=origins,
            directory=self._directory,
            members_watch=(
                _eligible_members_watch.create_eligible_members_watch(
                    self._membership, self._directory
                )
            ),
            table=table,
            ledger=self._ledger,
            results_kept_s=settings.results_kept_s,
            log_handler=log_handler,
            metrics=self._metrics,
            budget=self._budget,
            quotas=self._quotas,
        )
        placer = placement.create_placer(
            self._view,
            self._load,
            health,
            self._get_message_delay_s,
            rate_limits,
            paces,
            run_times,
        )
        self._peers_api = _peers_api.create_peers_api(
            view=self._view,
            document_follower=self._document_follower,
            upstreams_follower=self._upstreams_follower,
            directory=self._directory,
            scheduler=scheduler,
            ledger=self._ledger,
            origins=origins,
            key_proofs=self._key_proofs,
            own_address=settings.control_address,
            seeds=settings.seeds,
        )
        origins.set_peers(self._peers_api.ask_origin)
        self._ledger.set_writer(
            _jobs_writer.create_jobs_writer(self._membership, self._peers_api)
        )
        result_writer = _result_writer.create_result_writer(
            self._membership,
            scheduler,
            self._ledger,
            self._peers_api.hand_over,
            settings.max_record_bytes,
        )
        upstreams_sync = keyed_log.create_shared_sync(self._upstreams_follower)
        processes = _listed_processes.create_listed_processes(
            self._view,
            clients,
            crash_tracker,
            upstreams_sync,
            settings.upstream_heartbeat_ms,
        )
        end_check = _unframed_end.create_unframed_end_check(
            self._view,
            upstreams_sync,
            self._metrics,
            settings.upstream_heartbeat_ms,
        )
        self._runner = _item_runner.create_item_runner(
            membership=self._membership,
            view=self._view,
            table=table,
            scheduler=scheduler,
            placer=placer,
            load=self._load,
            health=health,
            client=_item_client.create_item_client(
                clients,
                processes,
                health,
                paces,
                departures,
                limit_reader,
                outside.wire,
                self._metrics,
                end_check,
                self._view,
            ),
            result_writer=result_writer,
            metrics=self._metrics,
        )
        self._item_watch = _item_watch.create_item_watch(
            membership=self._membership,
            directory=self._directory,
            table=table,
            scheduler=scheduler,
            runner=self._runner,
            result_writer=result_writer,
            view=self._view,
            health=health,
            metrics=self._metrics,
        )
        self._shutdown = _shutdown_admission.create_shutdown_admission()
        context = _online_context.OnlineContext(
            placer=placer,
            load=self._load,
            health=health,
            overdue=self._overdue,
            paces=paces,
            run_times=run_times,
            crash_tracker=crash_tracker,
            clients=clients,
            processes=processes,
            departures=departures,
            rate_limits=limit_reader,
            origins=origins,
            upstreams_sync=upstreams_sync,
            end_check=end_check,
            registrar=_origin_registrar.create_origin_registrar(
                origin_table,
                stream_versions,
                self._origin_recorder,
                self._view,
                self._metrics,
            ),
            buffers=_response_buffers.create_response_buffers(self._budget),
            wire=outside.wire,
            metrics=self._metrics,
            customer_check=self._customer_check,
            shares=admission.create_customer_shares(self._quotas),
            shutdown=self._shutdown,
        )
        callers_api = _callers_api.create_callers_api(
            self._view,
            context,
            _jobs_api.create_jobs_api(
                wire=outside.wire,
                table=table,
                ledger=self._ledger,
                follower=self._jobs_follower,
                metrics=self._metrics,
                max_record_bytes=settings.max_record_bytes,
                view=self._view,
                customer_check=self._customer_check,
                budget=self._budget,
            ),
        )
        limits = _connection_limits.choose_connection_limits(
            settings.max_descriptors
        )
        self._limits = limits.callers
        self._callers_server = transport.create_http_server(
            callers_api.handle, self._limits, self._budget
        )
        self._servers = [
            (self._callers_server, settings.callers_address),
            (
                transport.create_http_server(
                    self._handle_ready, limits.checks, self._budget
                ),
                settings.ready_address,
            ),
            (
                transport.create_http_server(
                    self._peers_api.handle, limits.peers, self._budget
                ),
                settings.control_address,
            ),
            (
                transport.create_http_server(
                    self._handle_metrics, limits.checks, self._budget
                ),
                settings.metrics_address,
            ),
        ]
        self._applied_document: fleet.FleetDocument | None = None
        self._view.add_listener(self._apply_limits)
        self._view.watch_store(self._get_time_since_outage_s)
        self._view.watch_log_end(self._upstreams_follower.get_end)
        self._directory.watch_departures(self._view.record_peer_departures)

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until a graceful shutdown has completed."""
        self._membership.mark_started()
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
            supervision.Child('documents', self._document_follower.run),
            supervision.Child('key_proofs', self._key_proofs.run),
            supervision.Child('upstreams', self._upstreams_follower.run),
            supervision.Child('members', self._members_follower.run),
            supervision.Child('jobs', self._follow_jobs),
            supervision.Child('ledger', self._ledger.run),
            supervision.Child('items', self._runner.run),
            supervision.Child('item_watch', self._item_watch.run),
            supervision.Child('overdue', self._overdue.run),
            supervision.Child('crash_verifier', self._crash_verifier.run),
            supervision.Child('quarantine_log', self._quarantine_log.run),
            supervision.Child('version_keeper', self._version_keeper.run),
            supervision.Child('origin_recorder', self._origin_recorder.run),
            supervision.Child('peers_api', self._peers_api.run),
            supervision.Child('peer_exchange', self._create_exchange().run),
            supervision.Child('member_record', self._announcer.keep_record),
            supervision.Child('housekeeping', self._housekeeping.run),
            supervision.Child('reload', self._watch_reload),
        ]
        async with trio.open_nursery() as nursery:
            for server, address in self._servers:
                await nursery.start(server.run, address)
            nursery.start_soon(self._supervise, children)
            task_status.started()
            await self._signals.wait_stop()
            self._membership.is_leaving = True
            self._load.announce()
            await _graceful_shutdown.drain(
                self._callers_server,
                self._runner,
                self._ledger,
                self._shutdown,
                self._settings.stop_grace_s,
            )
            nursery.cancel_scope.cancel()
        _LOGGER.info('daemon_stopped')

    async def _follow_jobs(self) -> None:
        """Follows the log of jobs once callers' requests can be placed."""
        with trio.move_on_after(URGENT_LOGS_S):
            while not self._may_load_jobs():
                await self._upstreams_follower.wait_changed()
        await self._jobs_follower.run()

    def _may_load_jobs(self) -> bool:
        """Returns whether what is needed to place requests is known.

        The log of jobs is by far the largest, and when all members start at
        once, the reads of it take the store many seconds.
        """
        waited_s = trio.current_time() - self._started_at_s
        return self._upstreams_follower.is_loaded or waited_s >= URGENT_LOGS_S

    async def _supervise(self, children: list[supervision.Child]) -> None:
        """Runs the parts; one that fails is restarted, and not the process."""
        await supervision.run_supervisor(
            'gateway',
            children,
            escalates=False,
            count_failure=self._metrics.part_failures.increment,
        )

    def _get_time_since_outage_s(self) -> float:
        """Returns the time since the store became reachable; 0 in an outage."""
        if not self._upstreams_follower.is_reachable:
            return 0.0
        return trio.current_time() - self._upstreams_follower.regained_at_s

    def _get_outage_s(self) -> float:
        """Returns for how long the store has been out of reach; 0 if it is not."""
        if self._upstreams_follower.is_reachable:
            return 0.0
        return trio.current_time() - self._upstreams_follower.lost_at_s

    def _is_leaving(self) -> bool:
        return self._membership.is_leaving

    def _get_message_delay_s(self) -> float:
        """Returns the mean age of the counts of peers."""
        return self._directory.message_delay_s

    def _get_document_version(self) -> int | None:
        """Returns the version of the document in force; None without one."""
        document = self._view.document
        return document.version if document else None

    def _apply_limits(self) -> None:
        """Applies the document's limits on callers and quotas of customers."""
        document = self._view.document
        if document is None:
            return
        if document is not self._applied_document:
            self._applied_document = document
            table = document.customers
            self._quotas.apply_customers(
                table.customers.values() if table is not None else ()
            )
        limits = document.limits
        self._limits.max_header_bytes = limits.max_header_bytes
        self._limits.max_body_bytes = limits.max_body_bytes
        self._limits.header_timeout_ms = limits.header_timeout_ms
        self._limits.idle_timeout_ms = int(
            limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR
        )

    async def _handle_ready(self, exchange: transport.ServerExchange) -> None:
        """Answers the readiness check of the load balancer."""
        is_leaving = self._membership.is_leaving
        is_ready = (
            self._view.document is not None
            and self._quarantine_log.may_serve()
            and self._version_keeper.may_serve()
            and self._key_proofs.may_serve()
            and not is_leaving
        )
        await exchange.send_json(
            200 if is_ready else 503,
            {'ready': is_ready, 'leaving': is_leaving},
        )

    async def _handle_metrics(self, exchange: transport.ServerExchange) -> None:
        """Answers a scrape of the metrics."""
        await exchange.send_whole(
            200,
            [(b'content-type', telemetry.CONTENT_TYPE.encode('ascii'))],
            telemetry.render_metrics(
                self._metrics.metrics, self._metrics.histograms
            ),
        )

    def _create_exchange(self) -> peering.PeerExchange:
        return peering.create_peer_exchange(
            host=self._settings.control_address.host,
            port=self._settings.peers_port,
            failure_domain=self._settings.failure_domain,
            directory=self._directory,
            load=self._load,
            create_message=self._announcer.create_message,
            link_mbps=self._settings.link_mbps,
            count_datagram=self._metrics.peer_datagrams.increment,
            count_rows=self._metrics.count_peer_rows,
            work_times=self._metrics.work_times,
        )

    async def _watch_reload(self) -> None:
        await self._signals.watch_reload(self._apply_settings)

    def _apply_settings(self) -> None:
        """Reloads the settings and applies those that can change."""
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
        settings: Settings of the daemon.
        reload_settings: Reads the settings again; returns None if they are
            invalid.
        outside: Services of the platform.
        metrics: Registry to which the counters are added.
        log_handler: Writes the log; its dropped lines are reported.
        signals: Signals to stop and reload; by default those of the operating
            system.
    """
    return Gateway(
        settings,
        reload_settings,
        outside,
        metrics,
        log_handler,
        signals or _process_signals.create_system_signals(),
    )
