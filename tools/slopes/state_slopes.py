"""Measures state streams and batch jobs with an in-memory log.

Prints one JSON line per figure: the owner's cost per item in processor time,
log appends, log bytes and memory, and the cost of replay.
"""

import gc
import time
import tracemalloc

from absl import app
from absl import flags
import orjson
import trio

from siskinmount import batch
from siskinmount import results
from siskinmount import state
from siskinmount.backing_services.tests import fake_log

_ITEMS = flags.DEFINE_integer('items', 50_000, 'Items of the measured job.')
_SIDECARS = flags.DEFINE_integer('sidecars', 8, 'Sidecars that pull at once.')
_KEYS = flags.DEFINE_integer('keys', 20_000, 'Idempotency keys.')
_CREDIT = flags.DEFINE_integer('credit', 64, 'Items that one pull asks for.')

STREAM = 'state-0'
CALLER = 'caller'
SERVICE = 'service'
PROMPT = 'Match this swap offer with the families that asked for one. ' * 8
ANSWER = 'The family of four near the beach would suit this offer well. ' * 8
DUE_MS = 8 * 3600 * 1000
RESULTS_PER_PAGE = 1000
NO_SNAPSHOTS = 1 << 60
CONCURRENT_KEYS = 500


def _report(figure: str, value: float, unit: str) -> None:
    """Prints one figure."""
    document = {'figure': figure, 'value': round(value, 4), 'unit': unit}
    print(orjson.dumps(document).decode('ascii'), flush=True)


def _create_shard(log: fake_log.FakeLog, vm: str) -> batch.BatchShard:
    """Creates a shard that writes no snapshots on its own."""
    return batch.create_batch_shard(
        STREAM,
        log,
        state.Writer(vm, 1),
        is_live=lambda other: False,
        stream_limits=state.StreamLimits(
            snapshot_after_records=NO_SNAPSHOTS,
            snapshot_after_bytes=NO_SNAPSHOTS,
        ),
        batch_limits=batch.BatchLimits(adoption_ms=0),
    )


class _PhaseCosts:
    """Reports processor time and log usage per phase of a measurement.

    Attributes:
        log: The log whose appends are counted.
    """

    __slots__ = ('log', '_cpu_s', '_appends', '_bytes')

    def __init__(self, log: fake_log.FakeLog) -> None:
        self.log = log
        self._cpu_s = time.process_time()
        self._appends = log.append_count
        self._bytes = log.appended_bytes

    def report(self, phase: str, item_count: int) -> None:
        """Prints the costs per item of a phase, and starts the next phase."""
        cpu_s = time.process_time() - self._cpu_s
        appends = self.log.append_count - self._appends
        size_bytes = self.log.appended_bytes - self._bytes
        _report(f'{phase}_cpu', cpu_s / item_count * 1e6, 'us/item')
        _report(f'{phase}_appends', appends / item_count, 'appends/item')
        _report(f'{phase}_log_bytes', size_bytes / item_count, 'bytes/item')
        self._cpu_s = time.process_time()
        self._appends = self.log.append_count
        self._bytes = self.log.appended_bytes


async def _submit(
    owner: batch.BatchOwner, job: str, *, idempotent: bool
) -> None:
    """Submits a job with the measured number of items."""
    upload = owner.open_upload(
        batch.JobRequest(
            job=job,
            caller=CALLER,
            service=SERVICE,
            due_at_ms=state.wall_clock_ms() + DUE_MS,
            idempotent=idempotent,
        )
    )
    if isinstance(upload, results.Failure):
        raise RuntimeError(repr(upload))
    for number in range(_ITEMS.value):
        body = {'prompt': f'{number} {PROMPT}', 'max_tokens': 100}
        failure = await upload.add(orjson.dumps(body))
        if failure is not None:
            raise RuntimeError(repr(failure))
    status = await owner.finish_upload(upload)
    if isinstance(status, results.Failure):
        raise RuntimeError(repr(status))


async def _process_items(owner: batch.BatchOwner, vm: str) -> None:
    """Pulls items as one sidecar and reports them done until none is left."""
    while True:
        reply = await owner.pull(
            batch.PullRequest(vm, 1, SERVICE, _CREDIT.value)
        )
        if isinstance(reply, results.Failure):
            raise RuntimeError(repr(reply))
        if not reply.items:
            return
        await owner.report(
            batch.ReportRequest(
                vm,
                1,
                [
                    batch.ItemReport(
                        item.job,
                        item.index,
                        item.lease,
                        batch.ReportedOutcome.DONE,
                        {'text': ANSWER},
                    )
                    for item in reply.items
                ],
            )
        )


async def _run_items(owner: batch.BatchOwner) -> None:
    """Runs all waiting items on concurrent sidecars."""
    async with trio.open_nursery() as nursery:
        for number in range(_SIDECARS.value):
            nursery.start_soon(_process_items, owner, f'vm-{number}')


async def _read_results(owner: batch.BatchOwner, job: str) -> int:
    """Reads all results; returns their number."""
    after = -1
    count = 0
    while True:
        page = await owner.results_page(job, CALLER, after, RESULTS_PER_PAGE)
        if isinstance(page, results.Failure):
            raise RuntimeError(repr(page))
        count += len(page.results)
        after = page.next_after
        if not page.has_more:
            return count


async def _measure_jobs(log: fake_log.FakeLog) -> None:
    """Measures submitting, running and reading one job of each kind."""
    shard = _create_shard(log, 'vm-a')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shard.stream.run)
        await shard.stream.wait_owned()
        nursery.start_soon(shard.run)
        for job, idempotent in (('idempotent', True), ('once', False)):
            costs = _PhaseCosts(log)
            await _submit(shard.batch, job, idempotent=idempotent)
            costs.report(f'{job}_submit', _ITEMS.value)
            started_s = time.monotonic()
            await _run_items(shard.batch)
            elapsed_s = time.monotonic() - started_s
            costs.report(f'{job}_run', _ITEMS.value)
            _report(f'{job}_rate', _ITEMS.value / elapsed_s, 'items/s')
            count = await _read_results(shard.batch, job)
            costs.report(f'{job}_read', count)
        nursery.cancel_scope.cancel()


async def _measure_replay(log: fake_log.FakeLog, phase: str) -> None:
    """Measures a new owner's replay until it owns the stream."""
    started_s = time.process_time()
    shard = _create_shard(log, f'vm-{phase}')
    item_count = 2 * _ITEMS.value
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shard.stream.run)
        await shard.stream.wait_owned()
        cpu_s = time.process_time() - started_s
        _report(f'{phase}_cpu', cpu_s / item_count * 1e6, 's/million items')
        await _measure_snapshots(shard, log)
        nursery.cancel_scope.cancel()


async def _measure_memory(
    log: fake_log.FakeLog, phase: str, count: int
) -> None:
    """Measures the memory of a replayed state."""
    tracemalloc.start()
    shard = _create_shard(log, 'vm-memory')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shard.stream.run)
        await shard.stream.wait_owned()
        gc.collect()
        held_bytes, _ = tracemalloc.get_traced_memory()
        _report(f'{phase}_memory', held_bytes / count, 'bytes/item')
        nursery.cancel_scope.cancel()
    tracemalloc.stop()


async def _measure_snapshots(
    shard: batch.BatchShard, log: fake_log.FakeLog
) -> None:
    """Has snapshots written and measures their size and processor time."""
    before_bytes = log.appended_bytes
    started_s = time.process_time()
    shard.stream.limits.snapshot_after_records = 0
    await trio.sleep(2.5)
    shard.stream.limits.snapshot_after_records = NO_SNAPSHOTS
    cpu_s = time.process_time() - started_s
    size_bytes = log.appended_bytes - before_bytes
    item_count = 2 * _ITEMS.value
    _report('snapshots_bytes', size_bytes / item_count, 'bytes/item, all')
    _report('snapshots_cpu', cpu_s / item_count * 1e6, 'us/item, all')


async def _run_key(keys: state.KeyTable, number: int) -> None:
    """Runs one request under an idempotency key."""
    key = f'booking-{number}'
    started = await keys.begin(key, CALLER, f'{number:032x}')
    if not isinstance(started, state.Started):
        raise RuntimeError(repr(started))
    failure = await keys.finish(
        key, CALLER, started.attempt, ANSWER.encode('ascii')
    )
    if failure is not None:
        raise RuntimeError(repr(failure))


async def _measure_keys() -> None:
    """Measures idempotency keys, with many requests at a time."""
    log = fake_log.FakeLog()
    shard = _create_shard(log, 'vm-keys')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shard.stream.run)
        await shard.stream.wait_owned()
        costs = _PhaseCosts(log)
        for first in range(0, _KEYS.value, CONCURRENT_KEYS):
            async with trio.open_nursery() as requests:
                for number in range(first, first + CONCURRENT_KEYS):
                    requests.start_soon(_run_key, shard.keys, number)
        costs.report('keys', len(shard.keys))
        nursery.cancel_scope.cancel()
    await _measure_memory(log, 'keys', len(shard.keys))


async def _main() -> None:
    """Runs all measurements in sequence."""
    log = fake_log.FakeLog()
    await _measure_jobs(log)
    await _measure_replay(log, 'replay_records')
    await _measure_replay(log, 'replay_snapshot')
    await _measure_memory(log, 'items', 2 * _ITEMS.value)
    await _measure_keys()


def main(arguments: list[str]) -> None:
    """Runs the measurements."""
    del arguments
    trio.run(_main)


if __name__ == '__main__':
    app.run(main)
