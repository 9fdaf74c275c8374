"""Helpers for tests of batch jobs."""

import orjson
import trio
import trio.testing

from siskinmount import batch
from siskinmount.backing_services.tests import seeded_run
from siskinmount.state.tests import stream_fixtures

NAME = 'state-0'


class Owner:
    """Runs a shard in a task."""

    def __init__(self, shard):
        self.shard = shard
        self.batch = shard.batch
        self.stream = shard.stream
        self.ended = trio.Event()
        self.end = None

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._act)
            self.end = await self.stream.run()
            nursery.cancel_scope.cancel()
        self.ended.set()

    async def _act(self):
        if await self.stream.wait_owned():
            await self.shard.run()


async def start_owner(
    log, nursery, vm='vm-a', *, stream_limits=None, **options
):
    shard = batch.create_batch_shard(
        NAME,
        log,
        stream_fixtures.new_writer(vm),
        stream_limits=stream_limits or stream_fixtures.limits(),
        is_live=lambda vm: False,
        clock_ms=stream_fixtures.clock_ms,
        **options,
    )
    owner = Owner(shard)
    nursery.start_soon(owner.run)
    assert await owner.stream.wait_owned()
    await trio.testing.wait_all_tasks_blocked()
    return owner


def request(job='job', caller='swapnest', **changes):
    fields = {
        'job': job,
        'caller': caller,
        'service': 'wordsmith',
        'due_at_ms': stream_fixtures.clock_ms() + 3_600_000,
    }
    return batch.JobRequest(**{**fields, **changes})


def bodies(count, prefix='item'):
    return [
        orjson.dumps({'prompt': f'{prefix} {number}', 'max_tokens': 4})
        for number in range(count)
    ]


def pull(credit=10, vm='vm-s', incarnation=1, service='wordsmith'):
    return batch.PullRequest(vm, incarnation, service, credit)


def report(
    item, outcome=batch.ReportedOutcome.DONE, vm='vm-s', incarnation=1, **fields
):
    if outcome is batch.ReportedOutcome.DONE:
        fields.setdefault('output', {'text': item.body.get('prompt')})
    return batch.ReportRequest(
        vm,
        incarnation,
        [batch.ItemReport(item.job, item.index, item.lease, outcome, **fields)],
    )


async def finish_all(owner, credit=10, vm='vm-s'):
    """Pulls items and reports them done until none is ready.

    Returns:
        Indexes of the items in the order of the reports.
    """
    done = []
    while True:
        reply = await owner.batch.pull(pull(credit, vm))
        if not reply.items:
            return done
        for item in reply.items:
            await owner.batch.report(report(item, vm=vm))
            done.append(item.index)


def run_with_log(check, fake_log_class):
    async def main():
        log = fake_log_class()
        with trio.fail_after(100_000_000):
            async with trio.open_nursery() as nursery:
                await check(log, nursery)
                nursery.cancel_scope.cancel()

    seeded_run.run(0, main)
