"""Tests of the assumed versions in the store."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import stream_origins
from siskinmount import transport
from siskinmount.gateway import _version_keeper
from siskinmount.gateway.tests import members as members_module
from siskinmount.stream_origins import _version_policy

_ROUTE = fleet.FleetRoute(
    name='r',
    host='h',
    path_prefix='/',
    kind=fleet.RouteKind.STREAMING,
    shares=(fleet.ServiceShare('s', 1),),
    timeout_ms=5000,
    target_ms=100,
    resumable=True,
)


class _Log:
    """A log with conditional appends, which counts calls."""

    def __init__(self):
        self.values = {}
        self.end_offset = 0
        self.is_away = False
        self.calls = 0

    async def read_newest(self):
        self.calls += 1
        await trio.sleep(0.01)
        if self.is_away:
            return results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'away')
        records = [
            keyed_log.KeyedRecord(key, value, 0)
            for key, value in self.values.items()
        ]
        return keyed_log.LogPage(records, self.end_offset)

    async def append(self, records, at_offset):
        self.calls += 1
        await trio.sleep(0.01)
        if self.is_away:
            return results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'away')
        if at_offset != self.end_offset:
            return keyed_log.AppendRefusal.END_MOVED
        self.end_offset += len(records)
        for record in records:
            self.values[record.key] = record.value
        return at_offset


class _Member:
    """A member with its view, its table of rows and its keeper."""

    def __init__(self, log):
        self.view = fleet.create_fleet_view(None, None)
        self.view.document = fleet.FleetDocument(1, [_ROUTE], {}, None, b'')
        self.members = members_module.Members()
        self.table = stream_origins.create_version_table()
        self.keeper = _version_keeper.create_version_keeper(
            log, self.table, self.view, self.members.directory
        )

    def list_versions(self, *versions):
        """Replaces the listed upstreams."""
        self.view.upstreams.clear()
        for number, version in enumerate(versions):
            self.view.upstreams[f'u{number}'] = fleet.Upstream(
                upstream_id=f'u{number}',
                service='s',
                address=transport.Address('127.0.0.1', 1),
                failure_domain='a',
                state=fleet.UpstreamState.READY,
                slot_count=1,
                started_at_ms=1,
                software_version=version,
            )

    def get_row(self):
        row = self.table.rows.get('s')
        if row is None:
            return None
        return row.generation, row.assumed_version, row.is_settled


class VersionKeeperTest(testtools.TestCase):

    def _run(self, check, count=1):
        async def main():
            log = _Log()
            members = [_Member(log) for _ in range(count)]
            async with trio.open_nursery() as nursery:
                for member in members:
                    member.list_versions('v1', 'v1')
                    nursery.start_soon(member.keeper.run)
                await check(log, members)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_calm_fleet_reads_once_and_writes_one_row(self):
        async def check(log, members):
            await trio.sleep(600)
            self.assertEqual((1, 'v1', True), members[0].get_row())
            self.assertEqual(['s'], list(log.values))
            # At the start, and the read and the append of the row.
            self.assertEqual(3, log.calls)

        self._run(check)

    def test_of_two_members_that_decide_one_writes(self):
        async def check(log, members):
            await trio.sleep(2)
            self.assertEqual(1, log.end_offset)
            for member in members:
                self.assertEqual((1, 'v1', True), member.get_row())

        self._run(check, 2)

    def test_version_that_is_gone_is_replaced_after_all_are_recorded(self):
        async def check(log, members):
            (member,) = members
            await trio.sleep(2)
            member.list_versions('v1', 'v2')
            await trio.sleep(60)
            self.assertEqual((1, 'v1', True), member.get_row())
            member.list_versions('v2', 'v2')
            await trio.sleep(_version_policy.UNLISTED_S + 1)
            self.assertEqual((2, 'v1', False), member.get_row())
            await trio.sleep(_version_policy.RECORD_ALL_S + 1)
            self.assertEqual((3, 'v2', True), member.get_row())

        self._run(check)

    def test_rows_of_peers_are_taken_without_the_store(self):
        async def check(log, members):
            (member,) = members
            log.is_away = True
            await trio.sleep(1)
            rows = {'s': stream_origins.VersionRow(7, 'v9', True)}
            member.members.hear('p', stream_versions=rows)
            self.assertEqual((7, 'v9', True), member.get_row())
            rows = {'s': stream_origins.VersionRow(6, 'v8', True)}
            member.members.hear('p', stream_versions=rows)
            self.assertEqual((7, 'v9', True), member.get_row())

        self._run(check)

    def test_member_that_does_not_know_the_row_is_waited_for(self):
        async def check(log, members):
            (member,) = members
            await trio.sleep(2)
            member.list_versions('v2', 'v2')
            old = {'s': stream_origins.VersionRow(1, 'v1', True)}
            for _ in range(80):
                member.members.hear('p', stream_versions=old)
                await trio.sleep(1)
            self.assertEqual((2, 'v1', False), member.get_row())
            new = {'s': stream_origins.VersionRow(2, 'v1', False)}
            member.members.hear('p', stream_versions=new)
            await trio.sleep(1)
            self.assertEqual((3, 'v2', True), member.get_row())

        self._run(check)

    def test_members_of_an_earlier_release_are_waited_for(self):
        # Streams that these begin are not recorded.
        async def check(log, members):
            (member,) = members
            for _ in range(80):
                member.members.hear('p')
                await trio.sleep(1)
            self.assertEqual((1, '', False), member.get_row())
            rows = {'s': stream_origins.VersionRow(1, '', False)}
            for _ in range(40):
                member.members.hear('p', stream_versions=rows)
                await trio.sleep(1)
            self.assertEqual((2, 'v1', True), member.get_row())

        async def start_with_older_member(log, members):
            members[0].members.hear('p')
            await check(log, members)

        self._run(start_with_older_member)

    def test_invalid_records_are_left_out(self):
        async def check(log, members):
            log.values['s'] = b'{"generation": "x"}'
            log.values['t'] = b'1'
            await trio.sleep(2)
            self.assertEqual((1, 'v1', True), members[0].get_row())

        self._run(check)
