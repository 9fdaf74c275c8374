"""Lines of items that are started or passed over."""

import types

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount import telemetry
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_client
from siskinmount.gateway import _item_runner
from siskinmount.gateway import _result_writer
from siskinmount.gateway.tests import members as members_module
from siskinmount.jobs.tests import fake_table
from siskinmount.jobs.tests import test_job_ledger

_LOGGER_NAME = 'siskinmount.gateway._item_runner'


class _Table(fake_table.FakeTable):

    def __init__(self):
        job = test_job_ledger.make_job('a', 1)
        job.known_since_s = trio.current_time()
        super().__init__(job)


class _Document:

    def find_route_by_name(self, name):
        return fleet.FleetRoute(
            name='r',
            host='h',
            path_prefix='/',
            kind=fleet.RouteKind.BATCH,
            shares=(fleet.ServiceShare('s', 1.0),),
            timeout_ms=1000,
            target_ms=100,
        )


class _View:
    """A view with one route, and one upstream that has a free slot."""

    def __init__(self):
        self.document = _Document()
        self.upstreams = {}

    def list_ready(self, service):
        return [_Upstream()]


class _Upstream:
    upstream_id = 'u'
    software = fleet.Software('s', 'v1')


class _Placer:

    def list_batch_slots(self, service, reserved_slots):
        return placement.create_batch_slots([(1, _Upstream())])

    def count_free(self, service, reserved_slots):
        return 1

    def list_passed_over(self, service):
        return ['v']

    def record_send(self, upstream_id):
        pass


class _Client:
    """A client whose runs last until they are cancelled."""

    async def run(self, next_item, progress, upstream):
        await trio.sleep_forever()
        return _item_client.RunOutcome.CANCELLED, ''


class _Member:
    """A runner with one open item."""

    def __init__(self):
        members = members_module.Members()
        members.membership.mark_started()
        self.members = members
        table = _Table()
        self.scheduler = jobs.create_item_scheduler(
            table,
            'm',
            members.membership.list_eligible_members,
            members.membership.list_peer_items,
        )
        self.runner = _item_runner.create_item_runner(
            membership=members.membership,
            view=_View(),
            table=table,
            scheduler=self.scheduler,
            placer=_Placer(),
            load=members.load,
            health=members.health,
            client=_Client(),
            result_writer=_result_writer.create_result_writer(
                members.membership, self.scheduler, None, None, 4096
            ),
            metrics=_gateway_metrics.create_gateway_metrics(
                telemetry.create_metrics()
            ),
        )


class ItemRunnerTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            member = _Member()
            await trio.sleep(3)
            async with trio.open_nursery() as nursery:
                with self.assertLogs(_LOGGER_NAME) as logs:
                    nursery.start_soon(member.runner.run)
                    await check(member, logs.records)
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_start_is_logged_with_its_inputs(self):
        cases = [
            # Output kept of the item, reason of the start, last event id.
            ([], 'responsible', None),
            (['x', 'y'], 'output_kept', 1),
        ]
        for events, because, last_event_id in cases:

            async def check(
                member,
                lines,
                events=events,
                because=because,
                last_event_id=last_event_id,
            ):
                tag = jobs.make_tag('a', 'i0')
                progress = member.scheduler.get_progress(tag)
                progress.events = events
                progress.last_event_id = last_event_id
                progress.service = 's'
                progress.software_version = 'v1'
                member.members.follower.current_at_s = trio.current_time()
                await trio.sleep(1)
                (line,) = lines
                self.assertEqual('item_run_started', line.message)
                self.assertEqual(
                    ('a', 'i0', tag, 'u', because, 1, last_event_id),
                    (
                        line.job,
                        line.item,
                        line.tag,
                        line.upstream,
                        line.because,
                        line.members,
                        line.resumed_from,
                    ),
                )
                self.assertEqual(len(events), line.events)
                self.assertTrue(line.has_current_jobs)
                self.assertEqual(3000, line.known_ms)
                self.assertEqual(['v'], line.leaving)
                self.assertIn(tag, member.runner.running_tags)

            self._run(check)

    def test_upstream_that_failed_an_item_is_left_out_while_there_are_others(
        self,
    ):
        async def check(member):
            ready = [_make_ready('a'), _make_ready('b')]
            member.runner._view = types.SimpleNamespace(
                list_ready=lambda service: ready
            )
            progress = member.scheduler.get_progress('t')
            for failed, expected in (
                (set(), set()),
                ({'a'}, {'a'}),
                ({'a', 'gone'}, {'a', 'gone'}),
                ({'a', 'b'}, set()),
            ):
                progress.failed_upstreams = set(failed)
                self.assertEqual(
                    expected, member.runner._list_excluded('t', 's'), failed
                )

        async def main():
            await check(_Member())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _make_ready(upstream_id):
    return types.SimpleNamespace(upstream_id=upstream_id)
