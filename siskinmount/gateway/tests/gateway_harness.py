"""Runs gateways in the test's process against fakes of store and engines."""

import base64
import os

import orjson
import trio

from siskinmount import configuration
from siskinmount import gateway
from siskinmount import platform
from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from standins import event_engine
from standins import faults as faults_module
from standins import keyed_store
from standins import serving

TEST_TIMEOUT_S = 40
POLL_S = 0.01
RESTART_S = 0.1
MEMBERS_TOPIC = 'keyed.members'
JOBS_TOPIC = 'keyed.jobs'
QUARANTINE_TOPIC = 'keyed.quarantine'
VERSIONS_TOPIC = 'keyed.versions'
ORIGINS_TOPIC = 'keyed.origins'
MAX_RECORD_BYTES = 16 * 1024
MAX_CALL_BYTES = 64 * 1024
HOST = 'fleet.example'

STREAM_ROUTE = {
    'name': 'r-stream',
    'host': HOST,
    'path_prefix': '/stream/',
    'kind': 'streaming',
    'timeout_ms': 5000,
    'goal_ms': 100,
    'priority': 0,
    'service': 'model',
    'max_attempts': 2,
    'resumable': True,
    'gap_goal_ms': 100,
}
ONCE_ROUTE = {
    **STREAM_ROUTE,
    'name': 'r-once',
    'path_prefix': '/once/',
    'resumable': False,
    'max_attempts': 1,
}
PLAIN_ROUTE = {
    'name': 'r-plain',
    'host': HOST,
    'path_prefix': '/plain/',
    'kind': 'idempotent',
    'timeout_ms': 3000,
    'goal_ms': 100,
    'priority': 1,
    'service': 'plain',
    'max_attempts': 2,
}
BOOKING_ROUTE = {
    **PLAIN_ROUTE,
    'name': 'r-booking',
    'path_prefix': '/booking/',
    'kind': 'non_idempotent',
    'max_attempts': 1,
}
BATCH_ROUTE = {
    'name': 'r-batch',
    'host': HOST,
    'path_prefix': '/batch/',
    'kind': 'batch',
    'timeout_ms': 15_000,
    'goal_ms': 400,
    'run_goal_ms': 18_000,
    'retention_s': 60,
    'priority': 2,
    'service': 'model',
    'max_attempts': 3,
    'cap': 1000,
}
ROUTES = [STREAM_ROUTE, ONCE_ROUTE, PLAIN_ROUTE, BOOKING_ROUTE, BATCH_ROUTE]


def make_document(version, routes=ROUTES, tenants=None, **limits):
    """Returns a document in the platform's format.

    Args:
        version: Version of the document.
        routes: Its routes.
        tenants: Its customers; None for a document without the field.
        limits: Limits that differ from the usual ones.
    """
    fields = {} if tenants is None else {'tenants': tenants}
    return orjson.dumps(
        {
            **fields,
            'version': version,
            'routes': routes,
            'services': [
                {'name': 'model', 'max_conns': 50},
                {'name': 'plain', 'max_conns': 50},
            ],
            'limits': {
                'header_bytes': 16_384,
                'body_bytes': 4_194_304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15_000,
                **limits,
            },
        }
    )


class EventSignals:
    """Implements `gateway.ProcessSignals` with `trio.Event`."""

    def __init__(self):
        self.stop = trio.Event()
        self.reload = trio.Event()

    async def wait_stop(self):
        await self.stop.wait()

    async def watch_reload(self, reload_settings):
        while True:
            await self.reload.wait()
            self.reload = trio.Event()
            reload_settings()


class RunningGateway:
    """A gateway that a test can stop or kill."""

    def __init__(self, host, port):
        self.host = host
        self.address = transport.Address(host, port)
        self.ready_address = transport.Address(host, port + 1)
        self.signals = EventSignals()
        self.daemon = None
        self.settings = None
        self.next_settings = None
        self.scope = trio.CancelScope()
        self.ended = trio.Event()

    def kill(self):
        """Cancels the gateway at once, with all its connections."""
        self.scope.cancel()


class Answer:
    """The response that a caller got.

    Attributes:
        status: HTTP status.
        headers: Headers, by name.
        body: The bytes received.
        is_whole: Whether the body arrived to its end.
    """

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    def json(self):
        return orjson.loads(self.body)


class Fleet:
    """Fake services and gateways of one test."""

    def __init__(self, nursery, host_base):
        self._nursery = nursery
        self._host_base = host_base
        self.store_faults = faults_module.Faults()
        self.store = keyed_store.create_keyed_store(self.store_faults)
        self.store_address = None
        self.engines = {}
        self.engine_faults = {}
        self.crashed = []
        # Limits of callers; None for those of any client.
        self.caller_limits = None
        self.addresses = {}
        self.gateways = []
        self.results_kept_s = 120
        # Further settings of the gateways, by name.
        self.settings = {}
        self.strict_revocation = False
        self.key_max_age_ms = 5000

    async def start(self, gateway_count, engine_ids, plain_ids=()):
        """Starts all parts and waits until the gateways are ready."""
        self.store_address = await self._nursery.start(
            serving.serve,
            transport.Address('127.0.0.1', 0),
            self.store.handle,
            self.store_faults,
            (self.store.run_late_appends,),
        )
        self.store.put('keyed.op', 'config', make_document(1))
        for engine_id in engine_ids:
            await self.start_engine(engine_id, 'model', True)
        for engine_id in plain_ids:
            await self.start_engine(engine_id, 'plain', False)
        for number in range(gateway_count):
            await self.start_gateway(number)
        for running in self.gateways:
            await self.wait_ready(running)

    async def start_engine(
        self,
        engine_id,
        service,
        is_streaming,
        version='v1',
        idle_timeout_ms=75_000,
    ):
        """Starts an engine and registers it in the store."""
        engine, address = await self._start_process(
            engine_id,
            is_streaming,
            transport.Address('127.0.0.1', 0),
            idle_timeout_ms,
        )
        self.list_engine(engine_id, service, address, version=version)
        return engine

    async def restart_engine(self, engine_id, is_streaming=True):
        """Ends an engine and starts it again under its id and address.

        Its entry stays as it was.
        """
        address = self.addresses[engine_id]
        self.engines[engine_id].crash()
        await trio.sleep(RESTART_S)
        engine, _ = await self._start_process(
            engine_id, is_streaming, address, 75_000
        )
        return engine

    async def _start_process(
        self, engine_id, is_streaming, address, idle_timeout_ms
    ):
        """Starts the process of an engine; returns it and its address."""
        engine = event_engine.create_event_engine(
            engine_id, is_streaming=is_streaming
        )
        faults = faults_module.Faults()
        scope = trio.CancelScope()

        def crash():
            self.crashed.append(engine_id)
            scope.cancel()

        engine.crash = crash
        address = await self._nursery.start(
            self._serve_engine, engine, faults, scope, address, idle_timeout_ms
        )
        self.engines[engine_id] = engine
        self.engine_faults[engine_id] = faults
        self.addresses[engine_id] = address
        return engine, address

    async def _serve_engine(
        self, engine, faults, scope, address, idle_timeout_ms, task_status
    ):
        with scope:
            await serving.serve(
                address,
                engine.handle,
                faults,
                task_status=task_status,
                limits=transport.ServerLimits(idle_timeout_ms=idle_timeout_ms),
            )

    def list_engine(
        self,
        engine_id,
        service,
        address,
        state='ready',
        born=1,
        version='v1',
        seq_no=1,
    ):
        """Writes an engine's entry to the store."""
        entry = {
            'service': service,
            'address': str(address),
            'zone': 'a',
            'version': version,
            'slot_count': 8,
            'state': state,
            'cold_left_ms': 0,
            'born': born,
            'seq_no': seq_no,
        }
        self.store.put('keyed.servers', engine_id, orjson.dumps(entry))

    async def start_gateway(self, number):
        """Starts a gateway on an IP address of its own."""
        host = f'{self._host_base}.{number + 1}'
        running = RunningGateway(host, 18_000)
        self.gateways.append(running)
        await self._nursery.start(self._run_gateway, running, number)
        return running

    async def _run_gateway(self, running, number, task_status):
        metrics = telemetry.create_metrics()
        store = platform.create_store(self.store_address, metrics)
        settings = configuration.GatewaySettings(
            vm=f'vm-{number}',
            region='r',
            failure_domain='a',
            log_level=configuration.LogLevel.INFO,
            callers_address=running.address,
            ready_address=running.ready_address,
            control_address=transport.Address(running.host, 18_002),
            metrics_address=transport.Address(running.host, 18_003),
            peers_port=18_004,
            store_address=self.store_address,
            max_record_bytes=MAX_RECORD_BYTES,
            max_call_bytes=MAX_CALL_BYTES,
            upstream_heartbeat_ms=1200,
            stop_grace_s=6,
            results_kept_s=self.results_kept_s,
            seeds=[],
            **{
                'strict_revocation': self.strict_revocation,
                'key_max_age_ms': self.key_max_age_ms,
                **self.settings,
            },
        )
        running.settings = settings
        daemon = gateway.create_gateway(
            settings,
            lambda: running.next_settings,
            gateway.OutsideServices(
                document_log=store.open_log(platform.DOCUMENT_TOPIC, 0),
                upstreams_log=store.open_log(platform.UPSTREAMS_TOPIC, 0),
                members_log=store.open_log(MEMBERS_TOPIC, 0),
                jobs_log=store.open_log(JOBS_TOPIC, 0),
                quarantine_log=store.open_log(QUARANTINE_TOPIC, 0),
                versions_log=store.open_log(VERSIONS_TOPIC, 0),
                origins_log=store.open_log(ORIGINS_TOPIC, 0),
                wire=platform.create_wire(),
                decode_document=platform.decode_document,
                decode_upstream=platform.decode_upstream,
            ),
            metrics,
            None,
            running.signals,
        )
        running.daemon = daemon
        with running.scope:
            await daemon.run(task_status)
        running.ended.set()

    async def wait_ready(self, running):
        """Returns when the readiness check of a gateway succeeds."""
        while True:
            answer = await call(running.ready_address, 'GET', '/ready')
            if answer is not None and answer.status == 200:
                return
            await trio.sleep(POLL_S)

    async def call(self, number, method, target, body=b'', **headers):
        """Sends a caller's request to a gateway."""
        return await call(
            self.gateways[number].address,
            method,
            target,
            body,
            limits=self.caller_limits,
            **headers,
        )

    async def submit(self, number, job_id, items):
        """Submits a job."""
        return await self.call(
            number,
            'POST',
            f'/batch/{job_id}',
            orjson.dumps({'items': items}),
            x_request_id=job_id,
        )

    async def read_results(self, number, job_id, after=0):
        """Reads a job's results."""
        return await self.call(
            number,
            'GET',
            f'/siskinmount/lots/{job_id}?after={after}',
            x_request_id=f'read-{job_id}',
        )

    async def wait_results(self, number, job_id, count):
        """Returns the results once there are at least `count`."""
        while True:
            answer = await self.read_results(number, job_id)
            if answer is not None and answer.status == 200:
                document = answer.json()
                if len(document['results']) >= count:
                    return document
            await trio.sleep(POLL_S)


def make_item(item_id, tokens=10, body=b'prompt'):
    """Returns an item of a job in the platform's format."""
    return {
        'id': item_id,
        'path': f'/batch/run/{item_id}',
        'headers': {'X-Model': 'm', 'X-Token-Count': '5,5'},
        'body': base64.b64encode(body).decode('ascii'),
        'token_count': tokens,
    }


def make_output(item_id, event_count=6):
    """Returns the complete output of an item."""
    return '\n'.join(f'{item_id}-{n}' for n in range(1, event_count + 1))


async def call(address, method, target, body=b'', limits=None, **headers):
    """Sends one request on a new connection; returns None if it fails."""
    client = transport.create_http_client(address, limits)
    pairs = []
    for name, value in headers.items():
        pairs.append(
            (name.replace('_', '-').encode(), str(value).encode('latin-1'))
        )
    request = transport.ClientRequest(
        method, target, pairs, body, HOST.encode()
    )
    exchange = await client.send(request)
    if isinstance(exchange, results.Failure):
        return None
    parts = []
    with exchange:
        while True:
            chunk = await exchange.receive_chunk()
            if isinstance(chunk, results.Failure) or not chunk:
                break
            parts.append(chunk)
    client.close()
    return Answer(
        exchange.status,
        dict(exchange.headers),
        b''.join(parts),
        not isinstance(chunk, results.Failure),
    )


async def wait_until(condition):
    """Returns once the condition holds; `run_fleet` bounds the wait."""
    while True:
        if condition():
            return
        await trio.sleep(POLL_S)


def _choose_host_base():
    """Returns the first three parts of a loopback address, by process id."""
    process = os.getpid()
    return f'127.{20 + process // 250 % 200}.{process % 250}'


def run_fleet(check, gateway_count=1, engines=('e1',), plain=()):
    """Runs `check(fleet)` against a new fleet.

    Args:
        check: Coroutine function that tests the fleet.
        gateway_count: Number of gateways.
        engines: Ids of the model engines to start.
        plain: Ids of the non-streaming engines to start.
    """

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery, _choose_host_base())
                await fleet.start(gateway_count, engines, plain)
                await check(fleet)
                nursery.cancel_scope.cancel()

    trio.run(main)
