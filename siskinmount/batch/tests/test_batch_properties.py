"""Property tests of owners, sidecars and callers with a faulty log."""

import random

import hypothesis
from hypothesis import strategies
import testtools
import trio

from siskinmount import batch
from siskinmount import results
from siskinmount.backing_services.tests import fake_log
from siskinmount.backing_services.tests import faulty_log
from siskinmount.backing_services.tests import seeded_run
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state.tests import stream_fixtures

ITEM_COUNT = 12


class _Run:
    """Simulation of two entries, three sidecars and several callers."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.log = fake_log.FakeLog()
        self.views = [
            faulty_log.FaultyLog(self.log, self.generator, 0.1)
            for _ in range(2)
        ]
        self.owners = {}
        self.accepted = {}
        self.effects = {}
        self.read = {}
        self.cancelled = {}
        self.violations = []
        self.is_settling = False

    async def main(self):
        async with trio.open_nursery() as nursery:
            for number, view in enumerate(self.views):
                nursery.start_soon(self.run_owner, number, view)
            await trio.sleep(1)
            for number in range(3):
                nursery.start_soon(self.pull, f'vm-s{number}')
            for step in range(50):
                await self.step(step, nursery)
            for view in self.views:
                view.fault_share = 0
                view.thaw()
            self.log.is_down = False
            self.is_settling = True
            self.owners[1].stream.resign()
            await trio.sleep(200)
            await self.check_end()
            nursery.cancel_scope.cancel()

    async def step(self, step, nursery):
        view = self.generator.choice(self.views)
        match self.generator.randrange(12):
            case 0 | 1 | 2:
                nursery.start_soon(self.submit, f'job-{step // 8}')
            case 3:
                nursery.start_soon(self.cancel)
            case 4 | 5:
                nursery.start_soon(self.read_page)
            case 6:
                view.freeze()
            case 7 | 8:
                view.thaw()
            case 9:
                view.deliver_late()
            case 10:
                self.log.is_down = not self.log.is_down
            case 11:
                self.owners[self.views.index(view)].stream.resign()
        await trio.sleep(self.generator.uniform(0, 4))

    async def run_owner(self, number, view):
        writer = stream_fixtures.new_writer(f'vm-{number}')
        while number == 0 or not self.is_settling:
            shard = batch.create_batch_shard(
                batch_fixtures.NAME,
                view,
                writer,
                stream_limits=stream_fixtures.limits(
                    snapshot_after_records=25, claim_wait_ms=3000
                ),
                batch_limits=batch.BatchLimits(lease_ms=6000, adoption_ms=3000),
                clock_ms=stream_fixtures.clock_ms,
            )
            self.owners[number] = batch_fixtures.Owner(shard)
            await self.owners[number].run()
            await trio.sleep(self.generator.uniform(0, 1))

    def any_owner(self):
        return self.generator.choice(list(self.owners.values())).batch

    async def submit(self, job):
        outcome = await self.any_owner().submit(
            batch_fixtures.request(job, idempotent=int(job[4:]) % 2 == 0),
            batch_fixtures.bodies(ITEM_COUNT, job),
        )
        if isinstance(outcome, batch.JobStatus):
            self.accepted[job] = True

    async def cancel(self):
        if not self.accepted:
            return
        job = self.generator.choice(list(self.accepted))
        outcome = await self.any_owner().cancel(job, 'swapnest')
        if (
            isinstance(outcome, batch.JobStatus)
            and outcome.state is batch.JobState.CANCELLED
        ):
            self.cancelled.setdefault(job, trio.current_time())

    async def read_page(self):
        if not self.accepted:
            return
        job = self.generator.choice(list(self.accepted))
        page = await self.any_owner().results_page(job, 'swapnest')
        if not isinstance(page, results.Failure):
            self.record_page(job, page)

    def record_page(self, job, page):
        for result in page.results:
            seen = (result.state, result.output)
            first = self.read.setdefault((job, result.index), seen)
            if first != seen:
                self.violations.append(f'{job} {result.index} changed')

    async def pull(self, vm):
        incarnation = 1
        while True:
            await trio.sleep(self.generator.uniform(0.1, 1))
            if self.generator.random() < 0.03:
                incarnation += 1
            reply = await self.any_owner().pull(
                batch_fixtures.pull(4, vm, incarnation)
            )
            if isinstance(reply, results.Failure):
                continue
            for item in reply.items:
                await self.run_item(item, vm, incarnation)

    async def run_item(self, item, vm, incarnation):
        """Runs an item with a random outcome and reports it.

        The item may be neither run nor reported, run without a report, or
        reported late, failed or yielded.
        """
        outcome_kind = self.generator.choice(
            ('done',) * 6
            + ('yielded', 'failed', 'not_run', 'slow', 'report_lost')
        )
        outcome = batch.ReportedOutcome.DONE
        fields = {}
        if outcome_kind == 'not_run':
            return
        if outcome_kind == 'slow':
            await trio.sleep(self.generator.uniform(0, 20))
        if outcome_kind == 'yielded':
            outcome = batch.ReportedOutcome.YIELDED
        else:
            number = len(self.effects.setdefault((item.job, item.index), []))
            self.effects[(item.job, item.index)].append(vm)
            fields['output'] = {'run': number, 'of': item.body['prompt']}
        if outcome_kind == 'failed':
            outcome = batch.ReportedOutcome.FAILED
            fields['code'] = int(results.ResultCode.UPSTREAM_LOST)
        if outcome_kind == 'report_lost':
            return
        report = batch_fixtures.report(item, outcome, vm, incarnation, **fields)
        for _ in range(10):
            reply = await self.any_owner().report(report)
            if not isinstance(reply, results.Failure) and reply.accepted[0]:
                return
            await trio.sleep(1)

    async def check_end(self):
        """Checks the results that callers see against the runs of the items."""
        [owner] = [
            one.batch for one in self.owners.values() if one.stream.is_owned
        ]
        for job in self.accepted:
            status = owner.status(job, 'swapnest')
            if isinstance(status, results.Failure):
                self.violations.append(f'{job} does not exist: {status}')
                continue
            if status.state is batch.JobState.RUNNING:
                self.violations.append(f'{job} has not ended')
            page = await owner.results_page(job, 'swapnest')
            self.record_page(job, page)
            idempotent = int(job[4:]) % 2 == 0
            if idempotent and status.state is batch.JobState.FINISHED:
                if status.done_count != ITEM_COUNT:
                    self.violations.append(f'{job} has failed items')
            if job in self.cancelled and (
                status.state is not batch.JobState.CANCELLED
            ):
                self.violations.append(f'{job} was cancelled and is not')
        for (job, index), vms in self.effects.items():
            if int(job[4:]) % 2 == 1 and len(vms) > 1:
                self.violations.append(f'{job} {index} ran on {vms}')
        for (job, index), (state, _) in self.read.items():
            ran = (job, index) in self.effects
            if state is batch.ItemState.DONE and not ran:
                self.violations.append(f'{job} {index} was never run')


class BatchPropertiesTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=20)
    @hypothesis.given(strategies.integers(0, 1 << 32))
    def test_each_accepted_item_ends_once(self, seed):
        run = _Run(seed)
        seeded_run.run(seed, run.main)
        self.assertEqual([], run.violations)
