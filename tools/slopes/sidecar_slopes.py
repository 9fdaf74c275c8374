"""Measures a sidecar's costs: idle, per request and per token.

Runs a small fleet with one model engine, then sends requests directly to
the sidecar. Prints one JSON line per figure.
"""

import time

from absl import app
from absl import flags
import orjson
import trio

from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from standins import processes
from tools import fleet

_IDLE_S = flags.DEFINE_float('idle_s', 10.0, 'Time of the idle measurement.')
_REQUESTS = flags.DEFINE_integer('requests', 200, 'Requests of each run.')
_PARALLEL = flags.DEFINE_integer('parallel', 8, 'Requests at once.')
_SHORT_TOKENS = flags.DEFINE_integer('short_tokens', 10, 'Short answers.')
_LONG_TOKENS = flags.DEFINE_integer('long_tokens', 110, 'Long answers.')
_TIME_SCALE = flags.DEFINE_float('time_scale', 0.5, 'Scale of engine times.')

SERVICE = 'wordsmith'
PROMPT = 'Write a listing for a house by the beach. ' * 4
MS_PER_S = 1000


def _report(figure: str, value: float, unit: str) -> None:
    """Prints one figure."""
    document = {'figure': figure, 'value': round(value, 4), 'unit': unit}
    print(orjson.dumps(document).decode('ascii'), flush=True)


class _SidecarUsage:
    """Reads a sidecar's processor time and memory."""

    __slots__ = ('_process',)

    def __init__(self, process: processes.ManagedProcess) -> None:
        self._process = process

    def read_cpu_s(self) -> float:
        """Returns the processor time used so far."""
        usage = self._process.read_usage()
        return 0.0 if usage is None else usage.cpu_s

    def read_resident_mb(self) -> float:
        """Returns the resident memory."""
        usage = self._process.read_usage()
        return 0.0 if usage is None else usage.resident_bytes / 1e6


async def _run_request(
    client: transport.HttpClient, request_id: str, tokens: int
) -> None:
    """Runs one request to its end.

    Raises:
        RuntimeError: The request failed or its answer is incomplete.
    """
    request = transport.ClientRequest(
        'POST',
        f'/run/{SERVICE}',
        [(relay.RelayHeader.REQUEST_ID, request_id.encode('ascii'))],
        orjson.dumps({'prompt': PROMPT, 'max_tokens': tokens}),
    )
    exchange = await client.send(request)
    if isinstance(exchange, results.Failure):
        raise RuntimeError(repr(exchange))
    with exchange:
        data = await exchange.read_body(1 << 24)
    if isinstance(data, results.Failure) or b'"end"' not in data:
        raise RuntimeError(f'{request_id}: incomplete answer: {data!r}')


async def _run_requests(
    client: transport.HttpClient, name: str, tokens: int
) -> None:
    """Runs the requests of one measurement, with a bound on concurrency."""
    limiter = trio.CapacityLimiter(_PARALLEL.value)

    async def run(request_id: str) -> None:
        async with limiter:
            await _run_request(client, request_id, tokens)

    async with trio.open_nursery() as nursery:
        for number in range(_REQUESTS.value):
            nursery.start_soon(run, f'{name}-{number}')


async def _measure_requests(
    client: transport.HttpClient, sidecar_usage: _SidecarUsage
) -> None:
    """Derives the costs per request and per token from two answer lengths."""
    await _run_requests(client, 'warm-up', _SHORT_TOKENS.value)
    cpu_s: list[float] = []
    for name, tokens in (
        ('short', _SHORT_TOKENS.value),
        ('long', _LONG_TOKENS.value),
    ):
        before_s = sidecar_usage.read_cpu_s()
        started_s = time.monotonic()
        await _run_requests(client, name, tokens)
        elapsed_s = time.monotonic() - started_s
        cpu_s.append(sidecar_usage.read_cpu_s() - before_s)
        rate = _REQUESTS.value * tokens / elapsed_s
        _report(f'tokens_per_s_{name}', rate, '1/s')
    requests = _REQUESTS.value
    more_tokens = requests * (_LONG_TOKENS.value - _SHORT_TOKENS.value)
    per_token_s = (cpu_s[1] - cpu_s[0]) / more_tokens
    per_request_s = cpu_s[0] / requests - per_token_s * _SHORT_TOKENS.value
    _report('cpu_per_token', per_token_s * MS_PER_S, 'ms')
    _report('cpu_per_request', per_request_s * MS_PER_S, 'ms')
    _report('resident_after', sidecar_usage.read_resident_mb(), 'MB')


async def _measure_idle(sidecar_usage: _SidecarUsage) -> None:
    """Measures a sidecar that has no requests and only contacts entries."""
    _report('resident_idle', sidecar_usage.read_resident_mb(), 'MB')
    before_s = sidecar_usage.read_cpu_s()
    await trio.sleep(_IDLE_S.value)
    share = (sidecar_usage.read_cpu_s() - before_s) / _IDLE_S.value
    _report('cpu_idle', share * 100, '% of a core')


async def _measure() -> None:
    """Starts the fleet and measures its only model sidecar."""
    plan = fleet.plan_fleet(
        entry_count=2, model_services={SERVICE: 1}, plain_services={}
    )
    async with fleet.open_fleet(plan) as running:
        running.engine_arguments = [f'--time_scale={_TIME_SCALE.value}']
        await running.start_all()
        document = fleet.format_document(
            model_services=[SERVICE],
            plain_services=[],
            callers=fleet.create_callers(['caller']),
        )
        await fleet.publish_document(plan.log_address, document, 0)
        await running.wait_ready()
        sidecar = plan.sidecars[0]
        sidecar_usage = _SidecarUsage(running.group.processes[sidecar.vm])
        await trio.sleep(2.0)
        await _measure_idle(sidecar_usage)
        client = transport.create_http_client(sidecar.peers_address)
        await _measure_requests(client, sidecar_usage)
        client.close()


def main(unused_argv: list[str]) -> None:
    """Runs all measurements."""
    trio.run(_measure)


if __name__ == '__main__':
    app.run(main)
