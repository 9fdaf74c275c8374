"""Gateway processes with a store and engines behind loopback proxies."""

import pathlib

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import event_engine
from standins import faults as faults_module
from standins import keyed_store
from standins import processes
from standins import serving
from tools.soak import _checker
from tools.soak import _loopback_proxy
from tools.soak import _observations

GATEWAY_COUNT = 3
MODEL_ENGINES = 3
PLAIN_ENGINES = 2
EVENT_INTERVAL_MS = 15.0
STOP_GRACE_S = 8
RESTART_PAUSE_S = 0.5
READY_POLL_S = 0.05
HOST = 'soak.example'
DOCUMENT_TOPIC = 'keyed.op'
UPSTREAMS_TOPIC = 'keyed.servers'
#: Times after the crash of an engine at which another one starts, and at which
#: its entry is dropped.
ENGINE_RESTART_S = 2.0
ENTRY_LIFETIME_S = 3.6
#: Time for which a draining engine stays listed.
DRAIN_PERIOD_S = 4.0
#: Time for which an engine says in its answers, and not in its entry, that it
#: leaves: longer than the time in which it must get no more requests.
SILENT_LEAVING_S = 3.5
_CALLERS_PORT = 18_000
#: Log events that no injected fault may cause.
_FORBIDDEN_EVENTS = (
    b'"invariant_broken"',
    b'"child_failed"',
    b'"daemon_failed"',
    b'"log_lines_dropped"',
)


def _route(name: str, kind: str, service: str, **fields: object) -> dict:
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': int(_checker.ROUTE_TIMEOUT_S * 1000),
        'goal_ms': 300,
        'gap_goal_ms': 300,
        'service': service,
        'max_attempts': 1,
        **fields,
    }


_ROUTES = (
    _route('stream', 'streaming', 'model', max_attempts=2, resumable=True),
    _route('once', 'streaming', 'model'),
    _route('plain', 'idempotent', 'plain', max_attempts=2),
    _route('booking', 'non_idempotent', 'plain'),
    _route(
        'batch',
        'batch',
        'model',
        max_attempts=3,
        run_goal_ms=18_000,
        retention_s=600,
    ),
)


class SoakGateway:
    """One gateway and its link to the store.

    Attributes:
        number: Index among the gateways.
        address: Address for callers.
        ready_address: Address of the readiness check.
        store_proxy: Proxy of the link to the store.
        process: Current process; None before the first start.
        is_ended_on_purpose: Whether an exit of the process is expected, as it
            follows from an injected fault.
    """

    __slots__ = (
        'number',
        'address',
        'ready_address',
        'store_proxy',
        'process',
        'is_ended_on_purpose',
    )

    def __init__(
        self, number: int, host: str, store_proxy: _loopback_proxy.LoopbackProxy
    ) -> None:
        self.number = number
        self.address = transport.Address(host, _CALLERS_PORT)
        self.ready_address = transport.Address(host, _CALLERS_PORT + 1)
        self.store_proxy = store_proxy
        self.process: processes.ManagedProcess | None = None
        self.is_ended_on_purpose = False


class SoakEngine:
    """One engine and the link to it.

    Attributes:
        engine: Stand-in of the engine.
        service: Service that the engine belongs to.
        proxy: Proxy of the link to the engine.
        scope: Cancelled when the engine crashes: closes its connections and
            refuses new ones.
    """

    __slots__ = ('engine', 'service', 'proxy', 'scope')

    def __init__(
        self,
        engine: event_engine.EventEngine,
        service: str,
        proxy: _loopback_proxy.LoopbackProxy,
        scope: trio.CancelScope,
    ) -> None:
        self.engine = engine
        self.service = service
        self.proxy = proxy
        self.scope = scope


class SoakFleet:
    """Processes and stand-ins of a soak.

    Attributes:
        observed: Records for the checks.
        store: Stand-in of the store.
        store_faults: Faults applied to all answers of the store.
        gateways: Gateways, by number.
        engines: Engines that are listed now.
        version_count: Number of versions that model engines run side by side.
        release: The version of model engines that start, if there is one.
    """

    __slots__ = (
        'observed',
        'store',
        'store_faults',
        'gateways',
        'engines',
        'version_count',
        'release',
        '_nursery',
        '_group',
        '_directory',
        '_host_base',
        '_version',
        '_engine_count',
    )

    def __init__(
        self,
        nursery: trio.Nursery,
        group: processes.ProcessGroup,
        directory: pathlib.Path,
        host_base: str,
    ) -> None:
        self.observed = _observations.Observations(GATEWAY_COUNT)
        self.store_faults = faults_module.Faults()
        self.store = keyed_store.create_keyed_store(self.store_faults)
        self.gateways: list[SoakGateway] = []
        self.engines: list[SoakEngine] = []
        self.version_count = 1
        self.release: int | None = None
        self._nursery = nursery
        self._group = group
        self._directory = directory
        self._host_base = host_base
        self._version = 0
        self._engine_count = 0

    async def start(self) -> None:
        """Starts the store, engines and gateways; waits for the gateways."""
        store_address = await self._nursery.start(
            serving.serve,
            transport.Address('127.0.0.1', 0),
            self.store.handle,
            self.store_faults,
            (self.store.run_late_appends,),
        )
        self.publish_document()
        for _ in range(MODEL_ENGINES):
            await self.start_engine('model')
        for _ in range(PLAIN_ENGINES):
            await self.start_engine('plain')
        for number in range(GATEWAY_COUNT):
            proxy = _loopback_proxy.LoopbackProxy(store_address)
            await self._nursery.start(proxy.run)
            host = f'{self._host_base}.{number + 1}'
            gateway = SoakGateway(number, host, proxy)
            self.gateways.append(gateway)
            await self.start_gateway(gateway)
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    def publish_document(self) -> None:
        """Publishes the next version of the configuration document."""
        self._version += 1
        document = {
            'version': self._version,
            'routes': list(_ROUTES),
            'services': [
                {'name': 'model', 'max_conns': 100},
                {'name': 'plain', 'max_conns': 100},
            ],
            'limits': {
                'header_bytes': 16_384,
                'body_bytes': 4_194_304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15_000,
            },
        }
        self.store.put(DOCUMENT_TOPIC, 'config', orjson.dumps(document))

    async def start_engine(self, service: str) -> SoakEngine:
        """Starts an engine behind a proxy and lists it in the store."""
        self._engine_count += 1
        engine = event_engine.create_event_engine(
            f'i-{self._engine_count}',
            event_count=_checker.EVENT_COUNT,
            event_interval_ms=EVENT_INTERVAL_MS,
            is_streaming=service == 'model',
        )
        if service == 'model':
            version = self._engine_count % self.version_count
            if self.release is not None:
                version = self.release
            engine.version = f'v{version}'
            engine.crashing_part = _observations.CRASHING_PART
        scope = trio.CancelScope()
        proxy = await self._nursery.start(self._serve_engine, engine, scope)
        running = SoakEngine(engine, service, proxy, scope)

        def crash() -> None:
            self._nursery.start_soon(self._crash_engine, running)

        engine.crash = crash
        self.observed.engines.append(engine)
        self.engines.append(running)
        self.register_engine(running, 'ready')
        return running

    async def _serve_engine(
        self,
        engine: event_engine.EventEngine,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves an engine behind a proxy until its scope is cancelled."""
        with scope:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    serving.serve,
                    transport.Address('127.0.0.1', 0),
                    engine.handle,
                    faults_module.Faults(),
                )
                proxy = _loopback_proxy.LoopbackProxy(address)
                await nursery.start(proxy.run)
                task_status.started(proxy)

    async def _crash_engine(self, running: SoakEngine) -> None:
        """Ends an engine under a request with the crashing part."""
        if not running.scope.cancel_called:
            self.observed.part_crashes_at_s.append(trio.current_time())
        await self.end_engine(running)

    async def end_engine(self, running: SoakEngine) -> None:
        """Ends an engine, and starts another one after some seconds.

        Its connections are closed in order, as those of a process that exits.
        """
        if running.scope.cancel_called:
            return
        running.scope.cancel()
        if running in self.engines:
            self.engines.remove(running)
        await trio.sleep(ENGINE_RESTART_S)
        await self.start_engine(running.service)
        await trio.sleep(ENTRY_LIFETIME_S - ENGINE_RESTART_S)
        self.store.put(UPSTREAMS_TOPIC, running.engine.engine_id, b'')

    async def replace_engine(self, number: int) -> None:
        """Drains an engine after starting one in its place."""
        leaving = self.engines.pop(number % len(self.engines))
        # For a time only its answers say that it leaves.
        leaving.engine.is_leaving = True
        await trio.sleep(SILENT_LEAVING_S)
        await self.start_engine(leaving.service)
        self.register_engine(leaving, 'draining')
        engine_id = leaving.engine.engine_id
        self.observed.leaving.append(_observations.LeavingEngine(engine_id))
        await trio.sleep(DRAIN_PERIOD_S)
        self.store.put(UPSTREAMS_TOPIC, engine_id, b'')

    async def start_gateway(self, gateway: SoakGateway) -> None:
        """Starts the process of a gateway."""
        gateway.is_ended_on_purpose = False
        path = self._directory / f'gateway-{gateway.number}.ini'
        path.write_text(self._format_settings(gateway), encoding='utf-8')
        gateway.process = await self._group.start_module(
            f'gateway-{gateway.number}',
            'siskinmount',
            ['gateway', f'--settings={path}'],
            waits_for_line=False,
        )

    async def wait_ready(self, gateway: SoakGateway) -> None:
        """Returns once the readiness check of a gateway passes."""
        while True:
            client = transport.create_http_client(gateway.ready_address)
            answer = await client.send(
                transport.ClientRequest('GET', '/ready', [], b'')
            )
            is_ready = False
            if not isinstance(answer, results.Failure):
                is_ready = answer.status == 200
                answer.close()
            client.close()
            if is_ready:
                return
            await trio.sleep(READY_POLL_S)

    async def watch_gateway(self, gateway: SoakGateway) -> None:
        """Restarts a gateway whenever its process has ended."""
        while True:
            process = gateway.process
            if process is not None:
                status = await process.wait()
                if not gateway.is_ended_on_purpose:
                    self.observed.process_faults.append(
                        f'{process.name} ended by itself with {status}'
                    )
                self.check_log(process)
            await trio.sleep(RESTART_PAUSE_S)
            await self.start_gateway(gateway)

    def check_log(self, process: processes.ManagedProcess) -> None:
        """Records log lines that no injected fault may cause."""
        for line in bytes(process.log).splitlines():
            for event in _FORBIDDEN_EVENTS:
                if event in line:
                    text = line.decode('utf-8', 'replace')[:300]
                    self.observed.process_faults.append(
                        f'{process.name}: {text}'
                    )

    def register_engine(self, running: SoakEngine, state: str) -> None:
        """Writes the entry of an engine."""
        entry = {
            'service': running.service,
            'address': str(running.proxy.address),
            'zone': 'a',
            'version': running.engine.version,
            'slot_count': 8,
            'state': state,
            'cold_left_ms': 0,
            'born': 1,
            'seq_no': 1,
        }
        self.store.put(
            UPSTREAMS_TOPIC, running.engine.engine_id, orjson.dumps(entry)
        )

    def _format_settings(self, gateway: SoakGateway) -> str:
        host = gateway.address.host
        return f"""[daemon]
vm = vm-{gateway.number}
region = r
failure_domain = a
log_level = info
callers_address = {gateway.address}
ready_address = {gateway.ready_address}
control_address = {host}:{_CALLERS_PORT + 2}
metrics_address = {host}:{_CALLERS_PORT + 3}
peers_port = {_CALLERS_PORT + 4}
stop_grace_s = {STOP_GRACE_S}
results_kept_s = 600

[store]
address = {gateway.store_proxy.address}
max_record_bytes = 16384
max_call_bytes = 65536

[seeds]
addresses = {self._host_base}.1:{_CALLERS_PORT + 2}
"""
