"""Runs gateways in processes of their own, before stand-ins in this one."""

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

HOST = 'slopes.example'
DOMAIN_COUNT = 3
SLOT_COUNT = 64
HEARTBEAT_S = 1.0
_CALLERS_PORT = 18_000
_READY_PORT = 18_001
_CONTROL_PORT = 18_002
_METRICS_PORT = 18_003
_PEERS_PORT = 18_004
_READY_POLL_S = 0.05
_ROUTE = {
    'host': HOST,
    'timeout_ms': 30_000,
    'goal_ms': 300,
    'gap_goal_ms': 400,
    'max_attempts': 1,
}


class GatewayFleet:
    """Gateways, a store and engines.

    Attributes:
        gateways: The processes, by number.
        store: Stand-in of the store.
    """

    __slots__ = (
        'gateways',
        'store',
        '_nursery',
        '_group',
        '_directory',
        '_engine_addresses',
        '_store_address',
    )

    def __init__(
        self,
        nursery: trio.Nursery,
        group: processes.ProcessGroup,
        directory: pathlib.Path,
    ) -> None:
        self.gateways: list[processes.ManagedProcess] = []
        self.store = keyed_store.create_keyed_store(faults_module.Faults())
        self._nursery = nursery
        self._group = group
        self._directory = directory
        self._engine_addresses: dict[str, tuple[str, transport.Address]] = {}
        self._store_address = transport.Address('127.0.0.1', 0)

    async def start(
        self, member_count: int, event_counts: dict[str, int], engine_count: int
    ) -> None:
        """Starts all parts, and waits until each gateway is ready.

        Args:
            member_count: Number of gateways.
            event_counts: Events of an answer, by service.
            engine_count: Number of engines of each service.
        """
        self._store_address = await self._nursery.start(
            serving.serve,
            transport.Address('127.0.0.1', 0),
            self.store.handle,
            faults_module.Faults(),
        )
        self._publish_document(list(event_counts))
        for service, event_count in event_counts.items():
            for number in range(engine_count):
                await self._start_engine(
                    f'{service}-{number}', service, event_count
                )
        self._nursery.start_soon(self._renew_entries)
        for number in range(member_count):
            path = self._directory / f'gateway-{number}.ini'
            path.write_text(self._format_settings(number), encoding='utf-8')
            self.gateways.append(
                await self._group.start_module(
                    f'gateway-{number}',
                    'siskinmount',
                    ['gateway', f'--settings={path}'],
                    waits_for_line=False,
                )
            )
        for number in range(member_count):
            await self._wait_ready(number)

    def get_callers_address(self, number: int) -> transport.Address:
        """Returns the address of a gateway for callers."""
        return transport.Address(_get_host(number), _CALLERS_PORT)

    def get_metrics_address(self, number: int) -> transport.Address:
        """Returns the address of a gateway's metrics."""
        return transport.Address(_get_host(number), _METRICS_PORT)

    def _publish_document(self, services: list[str]) -> None:
        routes = []
        for service in services:
            for kind in ('streaming', 'batch'):
                route = {
                    **_ROUTE,
                    'name': f'{kind}-{service}',
                    'path_prefix': f'/{kind}/{service}/',
                    'kind': kind,
                    'service': service,
                }
                if kind == 'batch':
                    route['retention_s'] = 600
                routes.append(route)
        document = {
            'version': 1,
            'routes': routes,
            'services': [
                {'name': service, 'max_conns': 400} for service in services
            ],
            'limits': {},
        }
        self.store.put('keyed.op', 'config', orjson.dumps(document))

    async def _start_engine(
        self, engine_id: str, service: str, event_count: int
    ) -> None:
        engine = event_engine.create_event_engine(
            engine_id,
            event_count=event_count,
            event_interval_ms=20.0,
            is_streaming=True,
        )
        address = await self._nursery.start(
            serving.serve,
            transport.Address('127.0.0.1', 0),
            engine.handle,
            faults_module.Faults(),
        )
        self._engine_addresses[engine_id] = (service, address)

    async def _renew_entries(self) -> None:
        """Renews the entries of all engines, as engines do."""
        sequence = 0
        while True:
            sequence += 1
            for engine_id, row in self._engine_addresses.items():
                service, address = row
                entry = {
                    'service': service,
                    'address': str(address),
                    'zone': 'a',
                    'version': 'v1',
                    'slot_count': SLOT_COUNT,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'born': 1,
                    'seq_no': sequence,
                }
                self.store.put('keyed.servers', engine_id, orjson.dumps(entry))
                await trio.sleep(HEARTBEAT_S / len(self._engine_addresses))

    async def _wait_ready(self, number: int) -> None:
        while True:
            client = transport.create_http_client(
                transport.Address(_get_host(number), _READY_PORT)
            )
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
            await trio.sleep(_READY_POLL_S)

    def _format_settings(self, number: int) -> str:
        host = _get_host(number)
        return f"""[daemon]
vm = vm-{number}
region = r
failure_domain = d{number % DOMAIN_COUNT}
log_level = info
callers_address = {host}:{_CALLERS_PORT}
ready_address = {host}:{_READY_PORT}
control_address = {host}:{_CONTROL_PORT}
metrics_address = {host}:{_METRICS_PORT}
peers_port = {_PEERS_PORT}
stop_grace_s = 8
results_kept_s = 600

[store]
address = {self._store_address}
max_record_bytes = 65536
max_call_bytes = 1048576

[seeds]
addresses = {_get_host(0)}:{_CONTROL_PORT}
"""


def _get_host(number: int) -> str:
    return f'127.77.{number // 200}.{number % 200 + 1}'
