"""Measures what one entry costs: idle, by request, token, item and change.

Runs a small fleet with one entry in front of stand-ins and calls the entry as
a caller. Prints one JSON line per figure.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import gc
import logging
import time
import tracemalloc

from absl import app
from absl import flags
import orjson
import trio

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import membership
from siskinmount import transport
from tools import fleet
from tools.slopes import _entry_calls
from tools.slopes import _figures
from tools.slopes import _fleet_usage
from tools.slopes import _sample_member

_IDLE_S = flags.DEFINE_float('idle_s', 10.0, 'Time of an idle measurement.')
_REQUESTS = flags.DEFINE_integer('requests', 200, 'Requests of each run.')
_ITEMS = flags.DEFINE_integer('items', 2000, 'Items of the large batch job.')
_JOBS = flags.DEFINE_integer('jobs', 40, 'Batch jobs with one item.')
_STREAMS = flags.DEFINE_integer('streams', 200, 'Streams open at once.')
_CALLERS = flags.DEFINE_integer('callers', 2000, 'Callers of a document.')
_CHANGES = flags.DEFINE_integer('changes', 4, 'Configuration changes per run.')
_TIME_SCALE = flags.DEFINE_float('time_scale', 0.5, 'Scale of engine times.')

MODEL_SERVICE = 'wordsmith'
PLAIN_SERVICE = 'swapdesk'
PROMPT = 'Write a listing for a house by the beach. ' * 4
ENGINE_COUNT = 2
EXTRA_SIDECAR_COUNT = 8
SLOTS = 256
PARALLEL = 16
SHORT_TOKENS = 10
LONG_TOKENS = 110
OPEN_TOKENS = 2000
ITEM_TOKENS = 2
STATE_STREAM = 'state-0'
SETTLE_S = 3.0
#: A sidecar ends a request within this time after its reader was cut.
UNREAD_RUN_S = 13.0
CHANGE_POLL_S = 0.02
MEMBER_COUNT = 2000
MS_PER_S = 1000

_report = _figures.print_figure


class EntryMeasurement:
    """Measures the only entry of a running fleet."""

    __slots__ = ('_fleet', '_callers', '_calls', '_cost', '_log', '_version')

    def __init__(
        self, running: fleet.Fleet, callers: list[fleet.Caller]
    ) -> None:
        entry = running.plan.entries[0]
        self._fleet = running
        self._callers = callers
        self._calls = _entry_calls.EntryCalls(entry.callers_address, callers[0])
        self._cost = _fleet_usage.ProcessCost(running.group.processes[entry.vm])
        self._log = _fleet_usage.StreamCounter(
            backing_services.create_log_client(running.plan.log_address),
            STATE_STREAM,
        )
        self._version = 0

    async def publish(self, callers: list[fleet.Caller]) -> int:
        """Publishes a document with these callers; returns its size."""
        document = fleet.format_document(
            model_services=[MODEL_SERVICE],
            plain_services=[PLAIN_SERVICE],
            callers=callers,
            slots=SLOTS,
        )
        self._version = await fleet.publish_document(
            self._fleet.plan.log_address, document, self._version
        )
        return len(document)

    async def run(self, extra_sidecars: list[fleet.SidecarPlan]) -> None:
        """Runs all measurements, one after the other."""
        await self._measure_idle(extra_sidecars)
        await self._run_streams('warm-up', SHORT_TOKENS)
        await self._measure_streams()
        await self._measure_requests()
        await self._measure_plain_calls()
        await self._measure_items()
        await self._measure_changes()
        _report('resident_after', self._cost.read_resident_mb(), 'MB')
        self._calls.close()

    async def _measure_idle(
        self, extra_sidecars: list[fleet.SidecarPlan]
    ) -> None:
        """Derives the cost of a sidecar's heartbeats from two idle times."""
        await trio.sleep(SETTLE_S)
        many = await self._cost.measure_idle_share(_IDLE_S.value)
        async with trio.open_nursery() as nursery:
            for sidecar in extra_sidecars:
                process = self._fleet.group.processes[sidecar.vm]
                nursery.start_soon(process.stop)
        await trio.sleep(SETTLE_S)
        few = await self._cost.measure_idle_share(_IDLE_S.value)
        stopped = len(extra_sidecars)
        _report('cpu_idle', few * 100, '% of a core')
        _report('cpu_per_sidecar', (many - few) / stopped * 100, '% of a core')
        _report('resident_idle', self._cost.read_resident_mb(), 'MB')

    async def _measure_streams(self) -> None:
        """Measures the memory of streams that are open."""
        before_mb = self._cost.read_resident_mb()
        exchanges: list[transport.ClientExchange] = []

        async def open_stream(number: int) -> None:
            exchange = await self._calls.open_stream(
                MODEL_SERVICE, f'{number} {PROMPT}', OPEN_TOKENS
            )
            exchanges.append(exchange)
            await exchange.receive_chunk()

        await _entry_calls.run_in_parallel(
            open_stream, _STREAMS.value, PARALLEL
        )
        grown_mb = self._cost.read_resident_mb() - before_mb
        _report('memory_per_stream', grown_mb * 1000 / len(exchanges), 'kB')
        for exchange in exchanges:
            exchange.close()
        await trio.sleep(UNREAD_RUN_S)

    async def _run_streams(self, name: str, tokens: int) -> int:
        """Runs streamed completions; returns the reads that brought data."""
        read_count = 0

        async def run_stream(number: int) -> None:
            nonlocal read_count
            own_count = await self._calls.run_stream(
                MODEL_SERVICE, f'{name} {number} {PROMPT}', tokens
            )
            read_count += own_count

        await _entry_calls.run_in_parallel(
            run_stream, _REQUESTS.value, PARALLEL
        )
        return read_count

    async def _measure_requests(self) -> None:
        """Derives the costs of a request and of a token from two runs."""
        cpu_s: list[float] = []
        for tokens in (SHORT_TOKENS, LONG_TOKENS):
            self._cost.read_cpu_delta_s()
            started_s = time.monotonic()
            read_count = await self._run_streams('measured', tokens)
            elapsed_s = time.monotonic() - started_s
            cpu_s.append(self._cost.read_cpu_delta_s())
            token_count = _REQUESTS.value * tokens
            suffix = f'{tokens}_tokens'
            _report(f'rate_{suffix}', token_count / elapsed_s, 'tokens/s')
            _report(f'reads_{suffix}', read_count / token_count, 'reads/token')
        more_tokens = _REQUESTS.value * (LONG_TOKENS - SHORT_TOKENS)
        per_token_s = (cpu_s[1] - cpu_s[0]) / more_tokens
        per_request_s = cpu_s[0] / _REQUESTS.value - per_token_s * SHORT_TOKENS
        _report('cpu_per_token', per_token_s * MS_PER_S, 'ms')
        _report('cpu_per_request', per_request_s * MS_PER_S, 'ms')

    async def _measure_plain_calls(self) -> None:
        """Measures plain calls, and those that are kept under a key."""

        async def ping(number: int) -> None:
            await self._calls.call('GET', f'/{PLAIN_SERVICE}/ping/{number}')

        async def book(number: int) -> None:
            await self._calls.call(
                'POST',
                f'/{PLAIN_SERVICE}/booking',
                b'{"house": 7}',
                f'booking-{number}',
            )

        await self._measure_calls('plain_call', ping)
        usage = await self._measure_calls('keyed_call', book)
        calls = _REQUESTS.value
        appends = usage.append_count / calls
        _report('keyed_call_appends', appends, 'appends/call')
        _report('keyed_call_bytes', usage.size_bytes / calls, 'bytes/call')

    async def _measure_calls(
        self, name: str, call: Callable[[int], Awaitable[None]]
    ) -> _fleet_usage.LogUsage:
        """Measures the cost of calls of one kind."""
        await self._log.take()
        self._cost.read_cpu_delta_s()
        started_s = time.monotonic()
        await _entry_calls.run_in_parallel(call, _REQUESTS.value, PARALLEL)
        elapsed_s = time.monotonic() - started_s
        cpu_ms = self._cost.read_cpu_delta_s() * MS_PER_S / _REQUESTS.value
        _report(f'cpu_per_{name}', cpu_ms, 'ms')
        _report(f'rate_{name}', _REQUESTS.value / elapsed_s, 'calls/s')
        return await self._log.take()

    async def _measure_items(self) -> None:
        """Measures one job with many items, then many with one."""
        items = _ITEMS.value
        idle = await self._cost.measure_idle_share(SETTLE_S)
        await self._log.take()
        self._cost.read_cpu_delta_s()
        started_s = time.monotonic()
        job = await self._calls.submit_job(MODEL_SERVICE, _item_lines(items))
        submit_s = self._cost.read_cpu_delta_s()
        _report('cpu_per_item_submit', submit_s / items * MS_PER_S, 'ms')
        await self._calls.wait_finished(job)
        elapsed_s = time.monotonic() - started_s
        rate = items / elapsed_s
        run_s = self._cost.read_cpu_delta_s() - idle * elapsed_s
        _report('cpu_per_item_run', run_s / items * MS_PER_S, 'ms')
        _report('rate_items', rate, 'items/s')
        usage = await self._log.take()
        _report('item_appends', usage.append_count / items, 'appends/item')
        _report('item_bytes', usage.size_bytes / items, 'bytes/item')
        done_count = await self._calls.read_results(job)
        if done_count != items:
            raise RuntimeError(f'{done_count} of {items} items are done')
        read_s = self._cost.read_cpu_delta_s()
        _report('cpu_per_item_read', read_s / items * MS_PER_S, 'ms')
        per_item_s = (submit_s + run_s + read_s) / items
        await self._measure_jobs(per_item_s)

    async def _measure_jobs(self, per_item_s: float) -> None:
        """Measures jobs of one item; the item's own cost is taken off."""

        async def run_job(number: int) -> None:
            job = await self._calls.submit_job(
                MODEL_SERVICE, _item_lines(1, f'job {number} ')
            )
            await self._calls.wait_finished(job)
            await self._calls.read_results(job)

        await _entry_calls.run_in_parallel(run_job, _JOBS.value, PARALLEL)
        per_job_s = self._cost.read_cpu_delta_s() / _JOBS.value - per_item_s
        _report('cpu_per_job', per_job_s * MS_PER_S, 'ms')
        usage = await self._log.take()
        _report('job_appends', usage.append_count / _JOBS.value, 'appends/job')
        _report('job_bytes', usage.size_bytes / _JOBS.value, 'bytes/job')
        status = await self._read_status()
        jobs = status['jobs']
        if not isinstance(jobs, list):
            raise RuntimeError(f'no jobs in {status}')
        size_bytes = len(orjson.dumps(jobs))
        _report('status_bytes_per_job', size_bytes / len(jobs), 'bytes')

    async def _measure_changes(self) -> None:
        """Measures changes of a small and of a large document."""
        others = fleet.create_callers(
            [f'customer-{number}' for number in range(_CALLERS.value)]
        )
        cpu_s: list[float] = []
        sizes_bytes: list[int] = []
        for name, callers in (
            ('small', self._callers),
            ('large', [*self._callers, *others]),
        ):
            idle = await self._cost.measure_idle_share(SETTLE_S)
            started_s = time.monotonic()
            delays_ms: list[float] = []
            for _ in range(_CHANGES.value):
                size_bytes = await self.publish(callers)
                delays_ms.append(await self._wait_in_force() * MS_PER_S)
            idle_s = idle * (time.monotonic() - started_s)
            cpu_s.append(
                (self._cost.read_cpu_delta_s() - idle_s) / _CHANGES.value
            )
            sizes_bytes.append(size_bytes)
            _report(f'cpu_per_change_{name}', cpu_s[-1] * MS_PER_S, 'ms')
            _report(f'in_force_{name}', max(delays_ms), 'ms, longest')
        per_caller_s = (cpu_s[1] - cpu_s[0]) / _CALLERS.value
        _report('cpu_per_change_and_caller', per_caller_s * 1e6, 'us')
        per_caller = (sizes_bytes[1] - sizes_bytes[0]) / _CALLERS.value
        _report('document_per_caller', per_caller, 'bytes')

    async def _wait_in_force(self) -> float:
        """Waits until the entry serves by the version; returns the time."""
        started_s = time.monotonic()
        while True:
            status = await self._read_status()
            if status['configuration_version'] == self._version:
                return time.monotonic() - started_s
            await trio.sleep(CHANGE_POLL_S)

    async def _read_status(self) -> dict[str, object]:
        """Returns what the entry says of itself."""
        answer = await self._fleet.send_control(
            self._fleet.plan.entries[0].peers_address, 'GET', '/status'
        )
        if not isinstance(answer, bytes):
            raise RuntimeError(repr(answer))
        return orjson.loads(answer)


def _item_lines(count: int, label: str = '') -> list[bytes]:
    """Returns the items of a batch job."""
    return [
        orjson.dumps(
            {
                'prompt': f'{label}{number} {PROMPT}',
                'max_tokens': ITEM_TOKENS,
            }
        )
        for number in range(count)
    ]


def _measure_document(caller_count: int) -> None:
    """Measures the memory of a document that has been parsed."""
    callers = fleet.create_callers(
        [f'customer-{number}' for number in range(caller_count)]
    )
    text = fleet.format_document(
        model_services=[MODEL_SERVICE], plain_services=[], callers=callers
    )
    tracemalloc.start()
    document = configuration.parse_document(text)
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if isinstance(document, list):
        raise RuntimeError(f'the document has {len(document)} faults')
    _report('memory_per_caller', held_bytes / caller_count / 1000, 'kB')


def _measure_members() -> None:
    """Measures the memory of a member in an entry's table."""
    tracemalloc.start()
    table = membership.create_member_table(clock=time.monotonic)
    before_bytes, _ = tracemalloc.get_traced_memory()
    for number in range(MEMBER_COUNT):
        table.apply_heartbeat(
            _sample_member.create_sample_member(
                f'sidecar-{number}', membership.MemberRole.SIDECAR
            )
        )
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    per_member_kb = (after_bytes - before_bytes) / MEMBER_COUNT / 1000
    _report('memory_per_member', per_member_kb, 'kB')


async def _measure() -> None:
    """Starts the fleet and measures its only entry."""
    plan = fleet.plan_fleet(
        entry_count=1,
        model_services={MODEL_SERVICE: ENGINE_COUNT},
        plain_services={PLAIN_SERVICE: 1 + EXTRA_SIDECAR_COUNT},
        stream_count=1,
    )
    callers = fleet.create_callers(['caller'])
    async with fleet.open_fleet(plan) as running:
        running.engine_arguments = [
            f'--time_scale={_TIME_SCALE.value}',
            f'--max_running={SLOTS}',
        ]
        running.gate_lines = f'slots = {SLOTS}\n'
        await running.start_all()
        measurement = EntryMeasurement(running, callers)
        await measurement.publish(callers)
        await running.wait_ready()
        await measurement.run(plan.sidecars[ENGINE_COUNT + 1 :])


def main(unused_argv: list[str]) -> None:
    """Runs all measurements."""
    logging.disable(logging.INFO)
    _measure_members()
    _measure_document(_CALLERS.value)
    trio.run(_measure)


if __name__ == '__main__':
    app.run(main)
