"""Tests of quota rows in messages, and of how the directory passes them on."""

import orjson
import testtools
import trio
import trio.testing

from siskinmount import admission
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement


class _Log:

    def __init__(self):
        self.regained_at_s = float('-inf')
        self.end = None

    def get_end(self):
        return self.end


class _Quotas:

    def __init__(self):
        self.rows = []

    def apply_use(self, peer, rows, silent_s, max_silent_s):
        del max_silent_s
        self.rows.append(
            (peer, {n: r.count for n, r in rows.items()}, silent_s)
        )


def _make_message(sequence, quota_use=None, incarnation=1, is_leaving=False):
    return peering.PeerMessage(
        member='p',
        incarnation=incarnation,
        sequence=sequence,
        address='p',
        is_leaving=is_leaving,
        knows_jobs=True,
        document_version=1,
        counts={},
        held_tags=set(),
        kept_tags=set(),
        crashes={},
        failure_tallies={},
        quota_use=quota_use,
    )


def _encode(*args, **kwargs):
    return peering.split_row(
        peering.encode_message(_make_message(*args, **kwargs))
    )


def _make_record(offset=0):
    value = orjson.dumps({'address': 'p', 'incarnation': 1})
    return keyed_log.KeyedRecord('p', value, offset)


class QuotaRowsTest(testtools.TestCase):

    def test_rows_are_passed_on_and_invalid_ones_ignored(self):
        # Guards against one bad row that costs the whole message.
        use = admission.QuotaUse(7, 3, 9)
        row = _encode(1, {'c': use})
        message = peering.decode_message(row.data)
        read = message.quota_use['c']
        self.assertEqual(
            (7, 3, 9), (read.count, read.recent_count, read.asked_count)
        )
        fields = orjson.loads(row.body)
        fields['quota_use'] = {
            'good': [5, 1],
            'negative': [-1, 0],
            'more_recent': [1, 2],
            'short': [1],
            'text': 'x',
            'x' * 300: [1, 1],
        }
        data = b'p 1 2 ' + orjson.dumps(fields)
        self.assertEqual(['good'], list(peering.decode_message(data).quota_use))
        fields['quota_use'] = [1]
        data = b'p 1 3 ' + orjson.dumps(fields)
        self.assertEqual({}, peering.decode_message(data).quota_use)


class QuotaMembersTest(testtools.TestCase):

    def _create(self):
        load = placement.create_load_table()
        crash_tracker = placement.create_crash_tracker()
        self.directory = peering.create_peer_directory(
            'own',
            load,
            crash_tracker,
            placement.create_upstream_health(crash_tracker),
        )
        self.quotas = _Quotas()
        self.members = peering.create_quota_members(self.directory, self.quotas)
        self.log = _Log()
        self.members.watch_log(self.log)
        self.directory.watch_messages(self.members)

    def _run(self, play):
        async def main():
            self._create()
            await play()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _read_log(self):
        self.log.end = keyed_log.LogEnd(1, trio.current_time())

    async def _pass(self, seconds):
        for _ in range(int(seconds * 4)):
            await trio.sleep(0.25)
            self._read_log()
            self.members.get_filled_s()

    def test_changed_counts_are_applied_and_repeated_ones_known(self):
        async def play():
            first = _encode(1, {'c': admission.QuotaUse(1, 1, 1)})
            again = _encode(2, {'c': admission.QuotaUse(1, 1, 1)})
            changed = _encode(3, {'c': admission.QuotaUse(2, 2, 2)})
            outcomes = []
            for row in (first, again, changed):
                outcomes.append(self.directory.apply_row(row).value)
                await trio.sleep(0.1)
            self.assertEqual(['changed', 'repeated', 'changed'], outcomes)
            counts = [rows['c'] for _, rows, _ in self.quotas.rows]
            self.assertEqual([1, 1, 2], counts)
            self.assertEqual(float('inf'), self.quotas.rows[0][2])

        self._run(play)

    def test_nothing_fills_before_the_log_was_read(self):
        # Guards against a whole quota for each member that starts.
        async def play():
            await trio.sleep(1)
            self.assertEqual(0.0, self.members.get_filled_s())
            self._read_log()
            await trio.sleep(0.25)
            self.members.get_filled_s()
            await trio.sleep(1)
            self.assertAlmostEqual(1.0, self.members.get_filled_s(), 3)

        self._run(play)

    def test_silent_member_counts_until_its_record_is_old(self):
        # Guards against two halves that each take the other for gone.
        async def play():
            self._read_log()
            self.directory.apply_record(_make_record())
            self.directory.apply_message(_make_message(1))
            for number in range(10):
                await self._pass(5)
                self.assertTrue(self.members.misses_peers())
                self.directory.apply_record(_make_record(number))
                self.assertEqual(0.5, self.members.get_share())
            await self._pass(14)
            self.assertEqual(0.5, self.members.get_share())
            await self._pass(2)
            self.assertEqual(1.0, self.members.get_share())
            self.assertFalse(self.members.misses_peers())
            self.directory.apply_record(_make_record(20))
            await self._pass(1)
            self.assertEqual(0.5, self.members.get_share())

        self._run(play)

    def test_nobody_is_removed_while_the_log_is_not_read(self):
        # Guards against members counted as gone that could not be seen.
        async def play():
            self._read_log()
            self.directory.apply_message(_make_message(1))
            for _ in range(240):
                await trio.sleep(0.25)
                self.members.get_filled_s()
            self.assertEqual(0.5, self.members.get_share())
            # The others need time to write again too.
            self.log.regained_at_s = trio.current_time()
            await self._pass(14)
            self.assertEqual(0.5, self.members.get_share())
            await self._pass(2)
            self.assertEqual(1.0, self.members.get_share())

        self._run(play)

    def test_member_that_leaves_does_not_count(self):
        async def play():
            self._read_log()
            self.directory.apply_message(_make_message(1))
            await self._pass(2)
            self.assertEqual(0.5, self.members.get_share())
            self.directory.apply_message(_make_message(2, is_leaving=True))
            await self._pass(0.25)
            self.assertEqual(1.0, self.members.get_share())

        self._run(play)
