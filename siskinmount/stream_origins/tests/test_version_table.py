"""Tests of the assumed versions and of those listed of late."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import stream_origins
from siskinmount.stream_origins import _version_table

_V1 = fleet.Software('s', 'v1')
_V2 = fleet.Software('s', 'v2')
_OTHER = fleet.Software('t', 'v9')
_ROW = stream_origins.VersionRow


class VersionTableTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            await check(stream_origins.create_version_table())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_only_streams_of_a_settled_version_need_no_record(self):
        async def check(table):
            self.assertTrue(table.needs_record(_V1))
            cases = [
                # Row, whether v1 and v2 need a record.
                (_ROW(1, 'v1', True), False, True),
                (_ROW(2, 'v1', False), True, True),
                (_ROW(3, 'v2', True), True, False),
                # An older row changes nothing.
                (_ROW(2, 'v1', True), True, False),
                (_ROW(4, '', False), True, True),
            ]
            for row, needs_v1, needs_v2 in cases:
                table.apply_row('s', row, 'test')
                self.assertEqual(
                    (needs_v1, needs_v2),
                    (table.needs_record(_V1), table.needs_record(_V2)),
                    row.generation,
                )
            self.assertIsNone(table.get_assumed('s'))
            self.assertIsNone(table.get_assumed('t'))

        self._run(check)

    def test_only_version_of_a_time(self):
        async def check(table):
            table.record_listed({_V1, _OTHER})
            self.assertIsNone(table.find_only_version('s', 30))
            await trio.sleep(31)
            table.record_listed({_V1, _V2})
            self.assertIsNone(table.find_only_version('s', 30))
            await trio.sleep(29)
            table.record_listed({_V2})
            self.assertIsNone(table.find_only_version('s', 30))
            await trio.sleep(2)
            table.record_listed({_V2})
            self.assertEqual(_V2, table.find_only_version('s', 30))
            self.assertIsNone(table.find_only_version('s', 60))
            kept_s = _version_table.SEEN_KEPT_S
            for _ in range(3):
                await trio.sleep(kept_s)
                table.record_listed({_V2})
                table.forget_unlisted()
            self.assertEqual(_V2, table.find_only_version('s', kept_s))
            self.assertIsNone(table.find_only_version('s', kept_s + 1))

        self._run(check)
