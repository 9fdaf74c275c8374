"""Liveness of members, their messages, and who starts batch items."""

import json
import math

import hypothesis
from hypothesis import strategies
import orjson
import testtools
import trio
import trio.testing

from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import results
from siskinmount import stream_origins


def _make_message(member='p', incarnation=1, sequence=1, **fields):
    values = {
        'address': '127.0.0.1',
        'is_leaving': False,
        'knows_jobs': True,
        'document_version': 1,
        'counts': {'u': placement.UpstreamCounts(2, 1, 5)},
        'held_tags': {'t'},
        'kept_tags': {'k'},
        'crashes': {'f': [placement.CrashReport('v/1/0', 1.5, True)]},
        'failure_tallies': {},
        **fields,
    }
    return peering.PeerMessage(
        member=member, incarnation=incarnation, sequence=sequence, **values
    )


class PeerDirectoryTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            load = placement.create_load_table()
            crash_tracker = placement.create_crash_tracker()
            health = placement.create_upstream_health(crash_tracker)
            directory = peering.create_peer_directory(
                'm', load, crash_tracker, health
            )
            self.health = health
            await check(directory, load)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_messages_are_understood_by_the_next_release_and_the_one_before(
        self,
    ):
        # Guards against members that do not hear each other in an upgrade.
        async def check(directory, load):
            report = placement.PartReport(3, 0, 3, 1.0, 2.5, frozenset({'g@m'}))
            row = peering.encode_message(
                _make_message(suspect_parts={'p@m': report})
            )
            head, _, body = row.rpartition(b' ')
            fields = orjson.loads(body)
            decoded = peering.decode_message(row).suspect_parts['p@m']
            for name in placement.PartReport.__slots__:
                self.assertEqual(getattr(report, name), getattr(decoded, name))
            # A member of the release before sends no such field.
            del fields['suspect_parts']
            older = peering.decode_message(head + b' ' + orjson.dumps(fields))
            self.assertEqual({}, older.suspect_parts)
            self.assertEqual({'t'}, older.held_tags)
            # One of a later release may send more.
            fields['added_later'] = [1]
            newer = peering.decode_message(head + b' ' + orjson.dumps(fields))
            self.assertEqual({'t'}, newer.held_tags)

        self._run(check)

    def test_reports_of_rate_limits_pass_between_releases(self):
        async def check(directory, load):
            reports = {
                'u': placement.RateLimitReport(7, 12, 3, 0.25, 2.5),
                'ended': placement.RateLimitReport(7, 12, 0, 1.0, None),
                'unanswered': placement.RateLimitReport(7, 1, 1, None, None),
            }
            row = peering.encode_message(
                _make_message(rate_limits=reports, demand={'s': 40})
            )
            decoded = peering.decode_message(row)
            self.assertEqual({'s': 40}, decoded.demand)
            self.assertEqual(reports.keys(), decoded.rate_limits.keys())
            for upstream_id, report in reports.items():
                for name in placement.RateLimitReport.__slots__:
                    self.assertEqual(
                        getattr(report, name),
                        getattr(decoded.rate_limits[upstream_id], name),
                    )
            # A member of the release before sends no such fields.
            head, _, body = row.rpartition(b' ')
            fields = orjson.loads(body)
            del fields['rate_limits'], fields['demand']
            older = peering.decode_message(head + b' ' + orjson.dumps(fields))
            self.assertEqual(({}, {}), (older.rate_limits, older.demand))
            self.assertEqual({'t'}, older.held_tags)

        self._run(check)

    def test_invalid_reports_of_rate_limits_are_refused(self):
        async def check(directory, load):
            report = placement.RateLimitReport(7, 12, 3, 0.25, 2.5)
            row = peering.encode_message(
                _make_message(rate_limits={'u': report})
            )
            head, _, body = row.rpartition(b' ')
            cases = [
                (0, 'x'),
                (1, -1),
                (1, 10**15),
                (2, 13),
                (3, 'soon'),
                (4, float('nan')),
                (4, float('inf')),
                (4, 'many'),
            ]
            for index, value in cases:
                fields = orjson.loads(body)
                fields['rate_limits']['u'][index] = value
                data = json.dumps(fields, separators=(',', ':')).encode()
                self.assertIsInstance(
                    peering.decode_message(head + b' ' + data),
                    results.Failure,
                    (index, value),
                )

        self._run(check)

    def test_windows_that_a_message_tells_again_are_not_applied_again(self):
        applied = []

        class Paces:

            def apply_reports(self, peer, reports):
                applied.append(
                    {name: each.good for name, each in reports.items()}
                )

        async def check(directory, load):
            del directory
            crash_tracker = placement.create_crash_tracker()
            directory = peering.create_peer_directory(
                'm', load, crash_tracker, self.health, paces=Paces()
            )
            messages = [{'a': 1, 'b': 1}, {'a': 1, 'b': 2, 'c': 0}, {'c': 0}]
            for sequence, good_by_upstream in enumerate(messages):
                message = _make_message(
                    sequence=sequence,
                    paces={
                        name: placement.PaceReport(9, good, 0)
                        for name, good in good_by_upstream.items()
                    },
                )
                row = peering.split_row(peering.encode_message(message))
                directory.apply_row(row)
            # A start of the member tells all anew.
            message = _make_message(
                incarnation=2, paces={'c': placement.PaceReport(9, 0, 0)}
            )
            directory.apply_row(
                peering.split_row(peering.encode_message(message))
            )

        self._run(check)
        self.assertEqual(
            [{'a': 1, 'b': 1}, {'b': 2, 'c': 0}, {}, {'c': 0}], applied
        )

    def test_reports_of_windows_pass_between_members(self):
        # Guards against members that hold an upstream back by unlike windows.
        async def check(directory, load):
            reports = {'u': placement.PaceReport(1_700_000_000_000, 7, 2, 3)}
            row = peering.encode_message(_make_message(paces=reports))
            decoded = peering.decode_message(row).paces['u']
            self.assertEqual(
                (1_700_000_000_000, 7, 2, 3),
                (
                    decoded.started_at_ms,
                    decoded.good,
                    decoded.bad,
                    decoded.episode,
                ),
            )
            none = peering.decode_message(
                peering.encode_message(_make_message())
            )
            self.assertEqual({}, none.paces)

        self._run(check)

    def test_invalid_reports_of_windows_cost_only_themselves(self):
        # Guards against a member that counts as silent for one damaged row.
        async def check(directory, load):
            head, _, body = peering.encode_message(_make_message()).rpartition(
                b' {'
            )
            fields = orjson.loads(b'{' + body)
            bad_rows = [
                None,
                7,
                [],
                [1, 2],
                [1, -1, 0],
                [1, 0, 10**9],
                [1, 0, 0, -1],
                ['x', 0, 0],
                [1, None, 0],
                {'a': 1},
                [1, 1e400, 0],
            ]
            for bad_row in bad_rows:
                fields['paces'] = {'a': [5, 1, 0], 'b': bad_row}
                encoded = json.dumps(fields).replace('Infinity', '1e99')
                decoded = peering.decode_message(head + b' ' + encoded.encode())
                self.assertEqual(['a'], list(decoded.paces), bad_row)
            for rows in ([], 'x', 5, None):
                fields['paces'] = rows
                decoded = peering.decode_message(
                    head + b' ' + orjson.dumps(fields)
                )
                self.assertEqual({}, decoded.paces, rows)
            fields['paces'] = {f'u{n}': [1, 0, 0] for n in range(200)}
            decoded = peering.decode_message(head + b' ' + orjson.dumps(fields))
            self.assertEqual(64, len(decoded.paces))

        self._run(check)

    def test_rows_of_versions_pass_between_releases(self):
        async def check(directory, load):
            rows = {'s': stream_origins.VersionRow(4, 'v1', True)}
            data = peering.encode_message(_make_message(stream_versions=rows))
            row = peering.decode_message(data).stream_versions['s']
            self.assertEqual(
                (4, 'v1', True),
                (row.generation, row.assumed_version, row.is_settled),
            )
            # A member of the release before sends no such field.
            head, _, body = data.rpartition(b' ')
            fields = orjson.loads(body)
            del fields['stream_versions']
            older = peering.decode_message(head + b' ' + orjson.dumps(fields))
            self.assertIsNone(older.stream_versions)
            self.assertEqual({'t'}, older.held_tags)
            for invalid in ([1], ['x', 'v', True], [-1, 'v', True], None, 7):
                fields['stream_versions'] = {'s': invalid}
                self.assertIsInstance(
                    peering.decode_message(head + b' ' + orjson.dumps(fields)),
                    results.Failure,
                    invalid,
                )

        self._run(check)

    def test_members_that_record_nothing_are_told_from_others(self):
        async def check(directory, load):
            self.assertEqual(math.inf, directory.get_older_release_age_s())
            directory.apply_message(_make_message())
            await trio.sleep(2)
            self.assertEqual(2, directory.get_older_release_age_s())
            self.assertFalse(directory.is_row_confirmed('s', 1))
            rows = {'s': stream_origins.VersionRow(1, 'v1', True)}
            directory.apply_message(
                _make_message(sequence=2, stream_versions=rows)
            )
            self.assertEqual(math.inf, directory.get_older_release_age_s())
            self.assertTrue(directory.is_row_confirmed('s', 1))
            self.assertFalse(directory.is_row_confirmed('s', 2))
            await trio.sleep(61)
            self.assertTrue(directory.is_row_confirmed('s', 2))

        self._run(check)

    def test_silent_members_keep_their_share_for_a_time(self):
        cases = [
            # Live peers, silent ones, seconds of silence, and the share.
            (3, 0, 0, 1.0),
            (3, 1, 1.0, 1.0),
            (3, 1, 5.0, 4 / 5),
            (3, 1, 12.0, 1.0),
            # Most are silent: this member is rather cut off itself.
            (1, 6, 30.0, 2 / 8),
            (0, 6, 30.0, 1 / 7),
            (0, 6, 70.0, 1.0),
        ]
        for live, silent, seconds, expected in cases:

            async def check(
                directory,
                load,
                live=live,
                silent=silent,
                seconds=seconds,
                expected=expected,
            ):
                names = [f'p{number}' for number in range(live + silent)]
                sequence = 1
                for name in names:
                    directory.apply_message(_make_message(member=name))
                for _ in range(round(seconds * 4)):
                    await trio.sleep(0.25)
                    sequence += 1
                    for name in names[:live]:
                        directory.apply_message(
                            _make_message(member=name, sequence=sequence)
                        )
                self.assertAlmostEqual(
                    expected, directory.get_reachable_share()
                )

            self._run(check)

    def test_a_member_that_said_that_it_leaves_keeps_no_share(self):
        async def check(directory, load):
            directory.apply_message(_make_message(member='p'))
            directory.apply_message(
                _make_message(member='p', sequence=2, is_leaving=True)
            )
            await trio.sleep(3)
            self.assertEqual(1, directory.get_reachable_share())

        self._run(check)

    def test_invalid_reports_of_parts_are_refused(self):
        async def check(directory, load):
            report = placement.PartReport(3, 0, 3, 1.0, 2.5, frozenset())
            row = peering.encode_message(
                _make_message(suspect_parts={'p': report})
            )
            head, _, body = row.rpartition(b' ')
            for index, value in (
                (0, -1),
                (2, 10**9),
                (3, 'soon'),
                (4, float('inf')),
                (5, 7),
            ):
                fields = orjson.loads(body)
                fields['suspect_parts']['p'][index] = value
                data = json.dumps(fields, separators=(',', ':')).encode()
                self.assertIsInstance(
                    peering.decode_message(head + b' ' + data),
                    results.Failure,
                    (index, value),
                )

        self._run(check)

    def test_message_is_decoded_as_encoded(self):
        async def check(directory, load):
            sent = _make_message(
                failure_tallies={'u': placement.FailureTally(1.5, 4.0)}
            )
            decoded = peering.decode_message(peering.encode_message(sent))
            self.assertEqual(sent.held_tags, decoded.held_tags)
            self.assertEqual(sent.kept_tags, decoded.kept_tags)
            (crash,) = decoded.crashes['f']
            self.assertEqual(
                ('v/1/0', 1.5, True),
                (crash.crash_id, crash.age_s, crash.had_output),
            )
            counts = decoded.counts['u']
            self.assertEqual(
                (2, 1, 5), (counts.online, counts.batch, counts.newest_job)
            )
            tally = decoded.failure_tallies['u']
            self.assertEqual((1.5, 4.0), (tally.failures, tally.runs))

        self._run(check)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=40))
    def test_invalid_datagrams_never_raise(self, data):
        self.assertIsInstance(peering.decode_message(data), results.Failure)

    def test_figures_that_are_not_finite_are_refused(self):
        # Guards against ages for which a crash never expires.
        for name, row in (
            ('departures', [1, 'nan']),
            ('departures', [1, 'inf']),
            ('troubled', ['nan', 1]),
            ('crash_reports', [['c', 'nan', False]]),
        ):
            fields = {'address': 'a', 'version': 1, name: {'u': row}}
            decoded = peering.decode_message(b'p 1 1 ' + orjson.dumps(fields))
            self.assertIsInstance(decoded, results.Failure, (name, row))

    def test_counts_of_a_silent_peer_are_dropped(self):
        async def check(directory, load):
            directory.apply_message(_make_message())
            self.assertEqual(1, len(directory.list_live()))
            self.assertEqual(2, load.sum_counts()['u'].online)
            await trio.sleep(2)
            self.assertEqual([], directory.list_live())
            self.assertEqual({}, load.sum_counts())

        self._run(check)

    def test_tallies_of_a_live_peer_are_included(self):
        async def check(directory, load):
            tallies = {'u': placement.FailureTally(3.0, 4.0)}
            directory.apply_message(_make_message(failure_tallies=tallies))
            self.assertGreater(self.health.get_failure_share('u'), 0.3)
            self.assertTrue(self.health.is_avoided('u'))
            directory.apply_message(_make_message(sequence=2))
            self.assertEqual(0, self.health.get_failure_share('u'))

        self._run(check)

    def test_crashes_of_a_member_that_sends_no_ids_are_its_own(self):
        # An older member sends a JSON object without a head.
        fields = {
            'member': 'p',
            'incarnation': 1,
            'sequence': 1,
            'address': '127.0.0.1',
            'leaving': False,
            'knows_jobs': True,
            'version': 1,
            'counts': {},
            'held': [],
            'kept': [],
            'troubled': {},
        }
        fields['crash_ids'] = {'f': ['u/1/0', 'v/1/0']}
        fields['crashes'] = {'f': 2}
        for expected in (['u/1/0', 'v/1/0'], ['p/0', 'p/1']):
            decoded = peering.decode_message(orjson.dumps(fields))
            self.assertEqual(
                expected, [crash.crash_id for crash in decoded.crashes['f']]
            )
            fields.pop('crash_ids', None)

    def test_crash_that_several_members_see_counts_once(self):
        # Guards against the quarantine of a request whose copies ran at one
        # upstream for three members when it crashed.
        cases = [
            # Upstreams at which the runs of each member ended, outcome.
            (('u', 'u', 'u'), False),
            (('u', 'v', 'w'), True),
        ]
        for upstream_ids, expected in cases:

            async def main(upstream_ids=upstream_ids, expected=expected):
                crash_trackers = []
                for upstream_id in upstream_ids:
                    crash_tracker = placement.create_crash_tracker()
                    crash_tracker.record_interrupted_run('f', upstream_id)
                    crash_tracker.record_upstream_down(upstream_id)
                    crash_trackers.append(crash_tracker)
                own = crash_trackers[0]
                directory = peering.create_peer_directory(
                    'm',
                    placement.create_load_table(),
                    own,
                    placement.create_upstream_health(own),
                )
                for number, sender in enumerate(crash_trackers[1:]):
                    message = _make_message(
                        f'p{number}', crashes=sender.list_reports()
                    )
                    decoded = peering.decode_message(
                        peering.encode_message(message)
                    )
                    directory.apply_message(decoded)
                self.assertEqual(expected, own.is_quarantined('f'))

            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_stale_messages_are_ignored(self):
        async def check(directory, load):
            directory.apply_message(_make_message(incarnation=5, sequence=9))
            directory.apply_message(
                _make_message(incarnation=5, sequence=8, is_leaving=True)
            )
            directory.apply_message(
                _make_message(incarnation=4, sequence=99, is_leaving=True)
            )
            self.assertFalse(directory.peers['p'].message.is_leaving)

        self._run(check)

    def test_process_with_lower_incarnation_is_accepted_after_silence(self):
        async def check(directory, load):
            directory.apply_message(_make_message(incarnation=5, sequence=9))
            await trio.sleep(2)
            directory.apply_message(_make_message(incarnation=4, sequence=1))
            self.assertEqual(1, len(directory.list_live()))

        self._run(check)

    def test_members_that_start_items(self):
        cases = [
            # Own state (leaving, knows jobs), peer's, members.
            ((False, True), (False, True), ['m', 'p']),
            ((True, True), (False, True), ['p']),
            ((False, False), (False, True), ['p']),
            ((False, True), (False, False), ['m']),
            ((False, False), (False, False), ['m', 'p']),
            ((False, True), (True, True), ['m']),
        ]
        for own, peer, expected in cases:

            async def check(directory, load, own=own, peer=peer, want=expected):
                directory.apply_message(
                    _make_message(is_leaving=peer[0], knows_jobs=peer[1])
                )
                self.assertEqual(
                    want, sorted(directory.list_responsible(*own)), (own, peer)
                )

            self._run(check)

    def test_peers_that_know_the_jobs_are_counted(self):
        cases = [
            # Whether the peer is leaving, whether it knows the jobs, count.
            (False, True, 1),
            (False, False, 0),
            (True, True, 0),
        ]
        for is_leaving, knows_jobs, expected in cases:

            async def check(
                directory,
                load,
                is_leaving=is_leaving,
                knows_jobs=knows_jobs,
                expected=expected,
            ):
                directory.apply_message(
                    _make_message(is_leaving=is_leaving, knows_jobs=knows_jobs)
                )
                self.assertEqual(expected, directory.count_informed())
                await trio.sleep(2)
                self.assertEqual(0, directory.count_informed())

            self._run(check)

    def test_invalid_member_records_are_ignored(self):
        async def check(directory, load):
            for value in (b'{', b'[]', b'{"address": 1}', b'null'):
                directory.apply_record(keyed_log.KeyedRecord('x', value, 0))
            directory.apply_record(
                keyed_log.KeyedRecord(
                    'y',
                    orjson.dumps({'address': '127.0.0.2', 'incarnation': 3}),
                    0,
                )
            )
            self.assertEqual(['y'], list(directory.peers))
            self.assertEqual(1, len(directory.list_due()))
            self.assertEqual(0, len(directory.list_due()))

        self._run(check)
