"""Measures a gateway's costs: start, idle by members, request, event, item.

Runs real gateways before stand-ins of the store and the engines. Prints one
JSON line per figure.
"""

import base64
import pathlib
import tempfile

from absl import app
from absl import flags
import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import processes
from tools.slopes import _figures
from tools.slopes import _fleet_usage
from tools.slopes import _gateway_fleet

_MEMBERS = flags.DEFINE_list(
    'members', ['6', '30', '90'], 'Sizes of the fleet to measure when idle.'
)
_IDLE_S = flags.DEFINE_float('idle_s', 10.0, 'Time of an idle measurement.')
_REQUESTS = flags.DEFINE_integer('requests', 300, 'Requests of each run.')
_ITEMS = flags.DEFINE_integer('items', 200, 'Batch items.')

ENGINE_COUNT = 8
SHORT_EVENTS = 5
LONG_EVENTS = 105
PARALLEL = 16
SETTLING_TIME_S = 4.0
ITEMS_PER_JOB = 20
JOB_POLL_S = 0.25
MS_PER_S = 1000

_report = _figures.print_figure


async def _call(
    address: transport.Address,
    method: str,
    target: str,
    request_id: str,
    body: bytes = b'',
) -> bytes:
    """Makes a call and returns the body of the response.

    Raises:
        RuntimeError: The call failed.
    """
    client = transport.create_http_client(address)
    answer = await client.send(
        transport.ClientRequest(
            method,
            target,
            [(b'x-request-id', request_id.encode('ascii'))],
            body,
            _gateway_fleet.HOST.encode('ascii'),
        )
    )
    if isinstance(answer, results.Failure):
        raise RuntimeError(f'{target}: {answer.reason}')
    content = await answer.read_body(1 << 24)
    status = answer.status
    answer.close()
    client.close()
    if isinstance(content, results.Failure) or status not in (200, 202):
        raise RuntimeError(f'{target}: status {status}')
    return content


async def _send_streams(
    fleet: _gateway_fleet.GatewayFleet, service: str, count: int
) -> None:
    """Sends streaming requests to the first gateway, some at a time."""
    numbers = iter(range(count))

    async def send() -> None:
        for number in numbers:
            await _call(
                fleet.get_callers_address(0),
                'POST',
                f'/streaming/{service}/x',
                f'{service}-{number}',
                b'{}',
            )

    async with trio.open_nursery() as nursery:
        for _ in range(PARALLEL):
            nursery.start_soon(send)


async def _run_job(
    fleet: _gateway_fleet.GatewayFleet, service: str, number: int
) -> None:
    """Submits a job at one gateway, and waits until another lists it whole."""
    items = []
    for index in range(ITEMS_PER_JOB):
        items.append(
            {
                'id': f'i{number}-{index}',
                'path': f'/batch/{service}/x',
                'headers': {},
                'body': base64.b64encode(b'{}').decode('ascii'),
                'token_count': 10,
            }
        )
    job_id = f'job-{service}-{number}'
    member_count = len(fleet.gateways)
    await _call(
        fleet.get_callers_address(number % member_count),
        'POST',
        f'/batch/{service}/',
        job_id,
        orjson.dumps({'items': items}),
    )
    while True:
        await trio.sleep(JOB_POLL_S)
        page = orjson.loads(
            await _call(
                fleet.get_callers_address((number + 1) % member_count),
                'GET',
                f'/siskinmount/lots/{job_id}?after=0',
                f'read-{job_id}',
            )
        )
        if page['next'] == ITEMS_PER_JOB:
            return


class GatewayMeasurement:
    """Measures the gateways of one fleet."""

    __slots__ = ('_fleet', '_meters', '_member_count')

    def __init__(self, fleet: _gateway_fleet.GatewayFleet) -> None:
        self._fleet = fleet
        self._meters = [
            _fleet_usage.ProcessUsageMeter(gateway)
            for gateway in fleet.gateways
        ]
        self._member_count = len(fleet.gateways)

    async def measure_idle(self, duration_s: float) -> None:
        """Reports start, idle use and memory."""
        suffix = f'{self._member_count} members'
        start_s = self._read_all() / self._member_count
        _report(f'start, {suffix}', start_s * MS_PER_S, 'ms')
        await trio.sleep(SETTLING_TIME_S)
        self._read_all()
        before = await self._read_counters()
        await trio.sleep(duration_s)
        used_s = self._read_all()
        after = await self._read_counters()
        share = used_s / duration_s / self._member_count
        _report(f'idle, {suffix}', share * 100, '% of a core')
        for name in ('peer_datagrams_total', 'store_calls_total'):
            per_s = (after[name] - before[name]) / duration_s
            _report(f'{name}, idle, {suffix}', per_s, '1/s')
        memory_mb = max(meter.read_resident_mb() for meter in self._meters)
        _report(f'memory, {suffix}', memory_mb, 'MB')

    async def measure_requests(self, count: int) -> None:
        """Reports the first gateway's time a request and an event."""
        meter = self._meters[0]
        costs_ms: list[float] = []
        for service in ('short', 'long'):
            await _send_streams(self._fleet, service, PARALLEL)
            meter.read_cpu_delta_s()
            await _send_streams(self._fleet, service, count)
            costs_ms.append(meter.read_cpu_delta_s() / count * MS_PER_S)
        event_ms = (costs_ms[1] - costs_ms[0]) / (LONG_EVENTS - SHORT_EVENTS)
        _report('event relayed', event_ms, 'ms')
        _report(
            'request without its events',
            costs_ms[0] - SHORT_EVENTS * event_ms,
            'ms',
        )

    async def measure_items(self, count: int) -> None:
        """Reports the time of all gateways a batch item and an event of it."""
        costs_ms: list[float] = []
        for service in ('short', 'long'):
            self._read_all()
            async with trio.open_nursery() as nursery:
                for number in range(count // ITEMS_PER_JOB):
                    nursery.start_soon(_run_job, self._fleet, service, number)
            costs_ms.append(self._read_all() / count * MS_PER_S)
        event_ms = (costs_ms[1] - costs_ms[0]) / (LONG_EVENTS - SHORT_EVENTS)
        _report('event of an item', event_ms, 'ms')
        _report(
            'item without its events',
            costs_ms[0] - SHORT_EVENTS * event_ms,
            'ms',
        )

    def _read_all(self) -> float:
        """Returns the processor time of all since the last call."""
        return sum(meter.read_cpu_delta_s() for meter in self._meters)

    async def _read_counters(self) -> dict[str, float]:
        """Returns the sums of the first gateway's counters, by name."""
        text = await _call(
            self._fleet.get_metrics_address(0), 'GET', '/metrics', 'metrics'
        )
        sums = {'peer_datagrams_total': 0.0, 'store_calls_total': 0.0}
        for line in text.decode('utf-8').splitlines():
            name = line.partition('{')[0].removeprefix('siskinmount_')
            if name in sums and not line.startswith('#'):
                sums[name] += float(line.rpartition(' ')[2])
        return sums


async def _measure(member_count: int, is_loaded: bool) -> None:
    with tempfile.TemporaryDirectory() as directory:
        async with processes.open_process_group() as group:
            async with trio.open_nursery() as nursery:
                fleet = _gateway_fleet.GatewayFleet(
                    nursery, group, pathlib.Path(directory)
                )
                await fleet.start(
                    member_count,
                    {'short': SHORT_EVENTS, 'long': LONG_EVENTS},
                    ENGINE_COUNT,
                )
                measurement = GatewayMeasurement(fleet)
                await measurement.measure_idle(_IDLE_S.value)
                if is_loaded:
                    await measurement.measure_requests(_REQUESTS.value)
                    await measurement.measure_items(_ITEMS.value)
                nursery.cancel_scope.cancel()


async def _measure_all() -> None:
    for index, text in enumerate(_MEMBERS.value):
        await _measure(int(text), is_loaded=index == 0)


def main(unused_argv: list[str]) -> None:
    """Measures fleets of all sizes, and loads the first."""
    trio.run(_measure_all)


if __name__ == '__main__':
    app.run(main)
