"""Tests of items whose runs are interrupted: next runs and claims."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount import supervision
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_client
from siskinmount.gateway import _item_runner
from siskinmount.jobs.tests import fake_table

_RUN_S = 0.1
_REPORT_INTERVAL_S = 0.05
#: Crashes of upstreams under one item, in a burst that then ends.
_CRASHES = 6
#: Shortest pauses between runs whose upstreams crash under an item.
_PAUSES_S = [0.3, 0.6, 1.2, 2.0, 2.0]
_INTERRUPTED = _item_client.RunOutcome.LOST, 'connection closed'


class _CrashingUpstreams:
    """Fake of `ItemClient`: upstreams crash during their runs.

    Attributes:
        run_count: Number of runs.
        began_at_s: When each run began.
        outcome: Outcome of each interrupted run.
    """

    def __init__(self, events_by_run, crash_count=1000):
        """Creates the fake.

        Args:
            events_by_run: Events that each run adds to the output; later runs
                add as many as the last.
            crash_count: Number of runs during which the upstream crashes; later
                ones complete.
        """
        self.run_count = 0
        self.began_at_s = []
        self.outcome = _INTERRUPTED
        self._events_by_run = events_by_run
        self._crash_count = crash_count
        self._down = []

    async def run(self, next_item, progress, upstream):
        last = len(self._events_by_run) - 1
        events = self._events_by_run[min(self.run_count, last)]
        self.run_count += 1
        self.began_at_s.append(trio.current_time())
        await trio.sleep(_RUN_S)
        if self.run_count > self._crash_count:
            return _item_client.RunOutcome.DONE, 'complete'
        progress.events.extend(['data'] * events)
        self._down.append(upstream.upstream_id)
        return self.outcome

    def take_refusing(self):
        """Returns the upstreams that refuse connections since the last call."""
        down, self._down = self._down, []
        return down


class _LiveUpstreams:
    """Fake of `ItemClient`: upstreams reset each run of the first item.

    Each then completes a run of another item, and the next connection to it
    times out.
    """

    def __init__(self):
        self.run_count = 0
        self._interrupted = set()
        self._refusing = []

    async def run(self, next_item, progress, upstream):
        was_interrupted = upstream.upstream_id in self._interrupted
        await trio.sleep(_RUN_S)
        if next_item.item.item_id == 'i0':
            self.run_count += 1
            self._interrupted.add(upstream.upstream_id)
            return _INTERRUPTED
        if was_interrupted:
            self._interrupted.discard(upstream.upstream_id)
            self._refusing.append(upstream.upstream_id)
        return _item_client.RunOutcome.DONE, 'complete'

    def take_refusing(self):
        """Returns the upstreams whose next connection fails."""
        refusing, self._refusing = self._refusing, []
        return refusing


class _FaultyClient:
    """Fake of `ItemClient` whose first run raises while others are running."""

    def __init__(self):
        self.run_count = 0

    async def run(self, next_item, progress, upstream):
        self.run_count += 1
        if self.run_count == 1:
            # The others have begun by then and have not ended.
            await trio.sleep(_item_runner.STEP_INTERVAL_S * 2)
            raise ValueError('a fault of the program')
        await trio.sleep(_RUN_S)
        return _item_client.RunOutcome.DONE, 'complete'

    def take_refusing(self):
        return []


class _Membership:
    """Fake of `BatchMembership` of the only member."""

    vm = 'm'

    def may_start_items(self):
        return True

    def list_eligible_members(self):
        return [self.vm]

    def has_current_jobs(self):
        return True

    def get_view_age_ms(self):
        return 0

    def get_message_delay_s(self):
        return 0.0


class _ResultWriter:
    """Fake of `ResultWriter` that lists each item at once."""

    async def hand_over_pending(self):
        pass

    async def write_complete(self, next_item, tag):
        del next_item.job.open_items[next_item.item.item_id]


class _Table(fake_table.FakeTable):
    """Fake of `JobTable` with one job."""

    def __init__(self, item_count):
        items = []
        for number in range(item_count):
            items.append(jobs.JobItem(f'i{number}', '/p', [], b'', 1))
        job = jobs.Job(
            job_id='j', route_name='r', host='h', accepted_at_ms=0, items=items
        )
        super().__init__(job)


def _decode_document(source):
    route = fleet.FleetRoute(
        name='r',
        host='h',
        path_prefix='/',
        kind=fleet.RouteKind.BATCH,
        shares=(fleet.ServiceShare('s', 1),),
        timeout_ms=5000,
        target_ms=100,
    )
    limits = fleet.CallerLimits(1, 1, 1, 1)
    return fleet.FleetDocument(1, [route], {}, limits, source)


def _decode_upstream(upstream_id, source):
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=1,
        started_at_ms=0,
    )


async def _report_down(upstreams, health):
    """Marks upstreams down whose connections fail."""
    while True:
        await trio.sleep(_REPORT_INTERVAL_S)
        for upstream_id in upstreams.take_refusing():
            health.mark_down(upstream_id, 'unreachable')


class ItemRunnerTest(testtools.TestCase):

    def _count_runs(
        self,
        upstreams,
        upstream_count=30,
        item_count=1,
        progress=None,
        crash_count=0,
    ):
        """Returns the runs of the first item within some time.

        Args:
            upstreams: Fake of `ItemClient`.
            upstream_count: Number of upstreams.
            item_count: Number of items.
            progress: State of the first item at the start.
            crash_count: Crashes that a peer has counted for the first item.
        """

        async def main():
            view = fleet.create_fleet_view(_decode_document, _decode_upstream)
            view.apply_document(b'document', 'test')
            for number in range(upstream_count):
                view.apply_upstream_record(
                    keyed_log.KeyedRecord(f'u{number}', b'entry', 0)
                )
            load = placement.create_load_table()
            crash_tracker = placement.create_crash_tracker()
            self.crash_tracker = crash_tracker
            table = _Table(item_count)
            self.open_items = table.jobs['j'].open_items
            health = placement.create_upstream_health(crash_tracker)
            scheduler = jobs.create_item_scheduler(
                table,
                'm',
                lambda: ['m'],
                lambda: jobs.PeerItems(set(), {}),
            )
            runner = _item_runner.create_item_runner(
                membership=_Membership(),
                view=view,
                table=table,
                scheduler=scheduler,
                placer=placement.create_placer(view, load, health),
                load=load,
                health=health,
                client=upstreams,
                result_writer=_ResultWriter(),
                metrics=_gateway_metrics.create_gateway_metrics(
                    telemetry.create_metrics()
                ),
            )
            children = [supervision.Child('items', runner.run)]
            tag = jobs.make_tag('j', 'i0')
            reports = [
                placement.CrashReport(f'v/{n}/0', 0.0, False)
                for n in range(crash_count)
            ]
            crash_tracker.apply_reports({tag: reports})
            if progress is not None:
                scheduler.progress[tag] = progress
            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervision.run_supervisor, 'test', children)
                nursery.start_soon(_report_down, upstreams, health)
                await trio.sleep(20)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return upstreams.run_count

    def test_item_under_which_upstreams_crash_is_placed_again(self):
        for events_by_run in ([0], [1], [5, 0], [0, 5, 0], [5]):
            upstreams = _CrashingUpstreams(events_by_run, _CRASHES)
            run_count = self._count_runs(upstreams)
            self.assertEqual(
                (_CRASHES + 1, {}), (run_count, self.open_items), events_by_run
            )

    def test_item_is_placed_again_although_peers_count_crashes(self):
        # Members of an older version count crashes against items.
        upstreams = _CrashingUpstreams([0], 0)
        self._count_runs(upstreams, crash_count=3)
        self.assertEqual((1, {}), (upstreams.run_count, self.open_items))

    def test_item_waits_longer_after_each_crash(self):
        # Guards against crashes in quick succession under one item.
        upstreams = _CrashingUpstreams([0], _CRASHES)
        self._count_runs(upstreams)
        for number, pause_s in enumerate(_PAUSES_S):
            waited_s = (
                upstreams.began_at_s[number + 1]
                - upstreams.began_at_s[number]
                - _RUN_S
            )
            self.assertGreaterEqual(waited_s + 1e-6, pause_s, number)

    def test_error_statuses_do_not_count_as_crashes(self):
        # Guards against taking an upstream that answers for a crashed one.
        upstreams = _CrashingUpstreams([0])
        upstreams.outcome = _item_client.RunOutcome.ERROR_STATUS, 'status 503'
        self.assertGreater(self._count_runs(upstreams), 3)
        self.assertEqual({}, self.crash_tracker.counts)

    def test_item_goes_on_if_upstreams_have_served_since(self):
        # Guards against taking a full or slow upstream for a crashed one.
        self.assertGreater(self._count_runs(_LiveUpstreams(), 3, 500), 3)
        self.assertEqual({}, self.crash_tracker.counts)

    def test_items_are_run_again_after_a_fault_of_the_runner(self):
        # Guards against claims on items that outlive the tasks that ran them.
        run_count = self._count_runs(_FaultyClient(), 3, 3)
        # Each item once, and the one with the fault again.
        self.assertEqual((4, {}), (run_count, self.open_items))

    def test_complete_item_is_listed_without_a_run(self):
        upstreams = _CrashingUpstreams([0])
        progress = jobs.ItemProgress()
        progress.events = ['data']
        progress.is_complete = True
        self._count_runs(upstreams, progress=progress, crash_count=3)
        self.assertEqual((0, {}), (upstreams.run_count, self.open_items))
