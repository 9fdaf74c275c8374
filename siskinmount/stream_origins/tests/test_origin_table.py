"""Tests of what is known of streams."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import stream_origins

_V1 = fleet.Software('s', 'v1')
_V2 = fleet.Software('s', 'v2')


def _key(request_id, fingerprint='f'):
    return stream_origins.make_stream_key(request_id, fingerprint)


def _origin(request_id, software, ordinal=0, fingerprint='f'):
    return stream_origins.StreamOrigin(
        _key(request_id, fingerprint), software, ordinal
    )


class OriginTableTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            await check(stream_origins.create_origin_table())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_last_run_that_was_recorded_counts(self):
        # The events of an earlier one have not reached the caller.
        async def check(table):
            table.apply_record('m/1', [_origin('q', _V2, 1)])
            table.apply_record('m/0', [_origin('q', _V1, 0)])
            table.apply_record('m/2', [_origin('r', _V1, 0)])
            table.apply_record('m/3', [_origin('r', _V2, 1)])
            self.assertEqual(_V2, table.find(_key('q')))
            self.assertEqual(_V2, table.find(_key('r')))
            self.assertIsNone(table.find_own(_key('q')))

        self._run(check)

    def test_attempt_of_another_request_is_not_taken_for_this_one(self):
        async def check(table):
            table.add_own(_origin('q', _V1, fingerprint='other'))
            self.assertIsNone(table.find(_key('q')))
            self.assertTrue(table.has_foreign(_key('q')))
            self.assertFalse(table.has_foreign(_key('r')))
            self.assertFalse(table.has_foreign(_key('')))

        self._run(check)

    def test_streams_of_a_request_are_found_without_the_attempt(self):
        async def check(table):
            table.apply_record('m/0', [_origin('q', _V1), _origin('r', _V2)])
            self.assertEqual({_V1, _V2}, table.list_of_request(_key('')))
            table.apply_record('m/0', [_origin('q', _V1)])
            self.assertEqual({_V1}, table.list_of_request(_key('')))
            table.apply_record('m/0', [])
            self.assertEqual(set(), table.list_of_request(_key('')))
            self.assertIsNone(table.find(_key('q')))

        self._run(check)

    def test_own_streams_are_forgotten_after_their_life(self):
        async def check(table):
            table.add_own(_origin('q', _V1))
            await trio.sleep(stream_origins.STREAM_LIFE_S - 1)
            table.add_own(_origin('r', _V1))
            table.expire()
            self.assertEqual(_V1, table.find(_key('q')))
            await trio.sleep(2)
            table.expire()
            self.assertIsNone(table.find(_key('q')))
            self.assertEqual(_V1, table.find(_key('r')))

        self._run(check)
