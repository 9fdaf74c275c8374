"""Lines and gauges of open items that no member runs."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import telemetry
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_watch
from siskinmount.gateway.tests import members as members_module
from siskinmount.jobs.tests import fake_table
from siskinmount.jobs.tests import test_job_ledger

_LOGGER_NAME = 'siskinmount.gateway._item_watch'
_TAG = jobs.make_tag('a', 'i0')


class _Table(fake_table.FakeTable):

    def __init__(self, item_count):
        job = test_job_ledger.make_job('a', item_count)
        job.known_since_s = trio.current_time()
        super().__init__(job)


class _Document:

    def find_route_by_name(self, name):
        return fleet.FleetRoute(
            name=name,
            host='h',
            path_prefix='/',
            kind=fleet.RouteKind.BATCH,
            shares=(fleet.ServiceShare('s', 1.0),),
            timeout_ms=1000,
            target_ms=100,
        )


class _Upstream:

    def __init__(self, upstream_id):
        self.upstream_id = upstream_id


class _View:
    """A view with one route and two upstreams."""

    def __init__(self):
        self.document = _Document()

    def list_ready(self, service):
        return [_Upstream('u'), _Upstream('v')]


class _Runner:

    def __init__(self):
        self.running_tags = set()
        self.stepped_at_s = trio.current_time()
        self.free_slots = 8

    def count_free_slots(self, route_name):
        return self.free_slots


class _ResultWriter:

    def __init__(self):
        self.writing_tags = set()
        self.handing_over_tags = set()


class _Member:
    """Member `m`, its peer `p`, and open items of one job."""

    def __init__(self, item_count):
        self.members = members_module.Members()
        self.members.membership.mark_started()
        self.table = _Table(item_count)
        self.scheduler = jobs.create_item_scheduler(
            self.table,
            'm',
            self.members.membership.list_eligible_members,
            self.members.membership.list_peer_items,
        )
        self.view = _View()
        self.runner = _Runner()
        self.result_writer = _ResultWriter()
        self.metrics = _gateway_metrics.create_gateway_metrics(
            telemetry.create_metrics()
        )
        self.peer_fields = None
        self.failing_upstream = None
        self.watch = _item_watch.create_item_watch(
            membership=self.members.membership,
            directory=self.members.directory,
            table=self.table,
            scheduler=self.scheduler,
            runner=self.runner,
            result_writer=self.result_writer,
            view=self.view,
            health=self.members.health,
            metrics=self.metrics,
        )

    async def keep_current(self):
        """Has all that is not under test go on, until cancelled."""
        while True:
            self.members.follower.current_at_s = trio.current_time()
            if self.peer_fields is not None:
                self.members.hear('p', **self.peer_fields)
            if self.failing_upstream is not None:
                self.members.health.record_failure(
                    self.failing_upstream, 'test'
                )
            await trio.sleep(0.25)


class ItemWatchTest(testtools.TestCase):

    def _run(self, prepare, duration_s, item_count=1):
        """Returns the member and its lines after a time."""

        async def main():
            member = _Member(item_count)
            prepare(member)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(member.keep_current)
                nursery.start_soon(member.watch.run)
                await trio.sleep(duration_s)
                nursery.cancel_scope.cancel()
            return member

        with self.assertLogs('siskinmount') as logs:
            member = trio.run(
                main, clock=trio.testing.MockClock(autojump_threshold=0)
            )
        lines = [line for line in logs.records if line.name == _LOGGER_NAME]
        return member, lines

    def _assert_reason(self, prepare, reason, fields, duration_s=7.5):
        member, lines = self._run(prepare, duration_s)
        self.assertEqual(1, len(lines), reason)
        line = lines[0]
        self.assertEqual('item_waiting', line.message)
        self.assertEqual(('a', 'i0', _TAG), (line.job, line.item, line.tag))
        self.assertEqual(reason, line.reason)
        for name, value in fields.items():
            self.assertEqual(value, getattr(line, name), (reason, name))
        self.assertEqual(1, member.metrics.items_waiting.get(reason))

    def test_reason_why_this_member_does_not_start_an_item(self):
        def hold(member):
            member.scheduler.held_tags.add(_TAG)

        def write(member):
            hold(member)
            member.result_writer.writing_tags.add(_TAG)

        def hand_over(member):
            write(member)
            member.result_writer.handing_over_tags.add(_TAG)

        def back_off(member):
            progress = member.scheduler.get_progress(_TAG)
            progress.events = ['x', 'y']
            progress.not_before_s = trio.current_time() + 30

        def leave(member):
            member.members.membership.is_leaving = True

        def lose_store(member):
            member.members.follower.is_reachable = False
            member.peer_fields = {}

        def remove_route(member):
            member.view.document = None

        def fill_slots(member):
            member.runner.free_slots = 0

        def avoid(member):
            fill_slots(member)
            member.failing_upstream = 'u'

        cases = [
            (hold, 'held_here', {'activity': 'none'}),
            (write, 'held_here', {'activity': 'write'}),
            (hand_over, 'held_here', {'activity': 'handover'}),
            (back_off, 'backing_off', {'own_events': 2}),
            (leave, 'not_eligible', {'obstacle': 'leaving'}),
            (
                lose_store,
                'not_eligible',
                {'obstacle': 'jobs_log_unreachable', 'responsible': 'p'},
            ),
            (remove_route, 'route_missing', {'route': 'r'}),
            (
                fill_slots,
                'no_free_slot',
                {'free_slots': 0, 'upstreams_ready': 2, 'upstreams_avoided': 0},
            ),
            (avoid, 'no_free_slot', {'upstreams_avoided': 1}),
            (
                lambda member: None,
                'startable',
                {'free_slots': 8, 'runner_step_ms': 6000},
            ),
        ]
        for prepare, reason, fields in cases:
            self._assert_reason(prepare, reason, fields)

    def test_reasons_that_lie_with_a_peer_are_logged_later(self):
        def hold(member):
            member.peer_fields = {'held_tags': {_TAG}}

        def keep(member):
            member.peer_fields = {'kept_tags': {_TAG}, 'knows_jobs': False}

        def keep_and_leave(member):
            member.peer_fields = {'kept_tags': {_TAG}, 'is_leaving': True}

        def own(member):
            # This peer is responsible for the item by hash.
            member.peer_fields = {}
            self.assertEqual('p', jobs.choose_member(_TAG, ['m', 'p']))

        cases = [
            (hold, 'held_by_peer', {'peer': 'p', 'peer_knows_jobs': True}),
            (keep_and_leave, 'held_by_peer', {'peer': 'p'}),
            (
                keep,
                'output_kept_by_peer',
                {'peer': 'p', 'peer_knows_jobs': False},
            ),
            (own, 'responsible_elsewhere', {'peer': 'p'}),
        ]
        for prepare, reason, fields in cases:
            self._assert_reason(prepare, reason, fields, 12.5)
            member, lines = self._run(prepare, 9.5)
            self.assertEqual([], lines, reason)
            self.assertEqual(1, member.metrics.items_waiting.get(reason))

    def test_item_that_runs_or_was_just_started_is_left_out(self):
        def run(member):
            member.scheduler.held_tags.add(_TAG)
            member.runner.running_tags.add(_TAG)

        def start(member):
            member.scheduler.started_at_s[_TAG] = trio.current_time() + 4

        for prepare, duration_s in ((run, 30.5), (start, 8.5)):
            member, lines = self._run(
                lambda member, prepare=prepare: (
                    prepare(member),
                    setattr(member, 'peer_fields', {}),
                ),
                duration_s,
            )
            self.assertEqual([], lines)
            self.assertEqual(
                duration_s - 0.5, member.metrics.oldest_open_item.get()
            )

    def test_item_that_waits_on_is_logged_every_ten_seconds(self):
        _, lines = self._run(lambda member: None, 26.5)
        self.assertEqual([6.0, 16.0, 26.0], [line.waiting_s for line in lines])

    def test_lines_of_one_check_are_bounded_and_oldest_first(self):
        member, lines = self._run(lambda member: None, 7.5, 250)
        self.assertEqual(
            [f'i{n}' for n in range(2 * _item_watch.MAX_LINES_PER_CHECK)],
            [line.item for line in lines],
        )
        total = 0
        for reason in _item_watch.WaitReason:
            total += member.metrics.items_waiting.get(reason.value)
        self.assertEqual(_item_watch.MAX_CHECKED_ITEMS, total)
        # Items before it take all free slots.
        self.assertEqual(8, member.metrics.items_waiting.get('startable'))

    def test_ended_jobs_are_left_out(self):
        def end(member):
            member.table.jobs['a'].is_ended = True
            member.peer_fields = {}

        member, lines = self._run(end, 12.5)
        self.assertEqual([], lines)
        self.assertEqual(0, member.metrics.oldest_open_item.get())

    def test_check_that_raises_is_logged_and_repeated(self):
        def break_view(member):
            member.table.jobs = None

        _, lines = self._run(break_view, 2.5)
        self.assertEqual(
            ['item_check_failed'] * 2, [line.message for line in lines]
        )
