"""Tests of how it is found out what began a stream that a caller resumes."""

import time
import types

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import stream_origins
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _origin_finder

_V1 = fleet.Software('s', 'v1')
_V2 = fleet.Software('s', 'v2')
_SETTLED_AT_V1 = stream_origins.VersionRow(1, 'v1', True)
_Source = _origin_finder.OriginSource
_PeerOrigin = _origin_finder.PeerOrigin
#: What most peers say in an outage of the store.
_LOST_TO_PEERS = _PeerOrigin(None, False, is_log_lost=True)


class _Log:
    """A log with these records, which may be out of reach."""

    def __init__(self, records, is_away):
        self._records = records
        self._is_away = is_away
        self.read_count = 0

    async def read_newest(self):
        self.read_count += 1
        await trio.sleep(0.01)
        if self._is_away:
            return results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'away')
        return keyed_log.LogPage(self._records, 1)

    async def read(self, from_offset, wait_ms):
        return keyed_log.LogPage([], 1)


def _make_record(request_id, software, fingerprint='f', ordinal=0):
    origin = stream_origins.StreamOrigin(
        stream_origins.make_stream_key(request_id, fingerprint),
        software,
        ordinal,
    )
    return keyed_log.KeyedRecord(
        f'm/{request_id}{ordinal}', stream_origins.encode_origins([origin]), 0
    )


def _make_upstream(upstream_id, software, started_at_ms):
    return fleet.Upstream(
        upstream_id=upstream_id,
        service=software.service,
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=1,
        started_at_ms=started_at_ms,
        software_version=software.version,
    )


class _Case:
    """What a finder is created with; the defaults are a calm fleet."""

    def __init__(
        self,
        *,
        resumes='q',
        records=(),
        is_away=False,
        told=None,
        row=_SETTLED_AT_V1,
        listed=(_V1, _V2),
        listed_before=(),
        age_s=100.0,
        older_release_age_s=float('inf'),
        outage_s=0.0,
        reachable_share=1.0,
        services=('s',),
        timeout_ms=5000,
    ):
        self.resumes = resumes
        self.log = _Log(list(records), is_away)
        self.told = told or _PeerOrigin(None, False)
        self.row = row
        self.listed = listed
        self.starts_ms = [1] * len(listed)
        self.listed_before = listed_before
        self.age_s = age_s
        self.older_release_age_s = older_release_age_s
        self.outage_s = outage_s
        self.reachable_share = reachable_share
        self.services = services
        self.timeout_ms = timeout_ms


class OriginFinderTest(testtools.TestCase):

    def _find(self, case, resume_count=1):
        """Returns what is found for one caller, and the finder's metrics."""

        async def main():
            view = fleet.create_fleet_view(None, None)
            for number, software in enumerate(case.listed):
                view.upstreams[f'u{number}'] = _make_upstream(
                    f'u{number}', software, case.starts_ms[number]
                )
            versions = stream_origins.create_version_table()
            versions.record_listed(set(case.listed_before))
            await trio.sleep(case.age_s)
            versions.record_listed(set(case.listed))
            if case.row is not None:
                versions.apply_row('s', case.row, 'test')
            finder = _origin_finder.create_origin_finder(
                table=stream_origins.create_origin_table(),
                versions=versions,
                log=case.log,
                view=view,
                directory=types.SimpleNamespace(
                    get_older_release_age_s=lambda: case.older_release_age_s,
                    get_reachable_share=lambda: case.reachable_share,
                ),
                metrics=_gateway_metrics.create_gateway_metrics(
                    telemetry.create_metrics()
                ),
                get_outage_s=lambda: case.outage_s,
            )

            async def ask(key):
                await trio.sleep(0.01)
                return case.told

            finder.set_peers(ask)
            route = fleet.FleetRoute(
                name='r',
                host='h',
                path_prefix='/',
                kind=fleet.RouteKind.STREAMING,
                shares=tuple(
                    fleet.ServiceShare(name, 1) for name in case.services
                ),
                timeout_ms=case.timeout_ms,
                target_ms=100,
                resumable=True,
            )
            key = stream_origins.make_stream_key(case.resumes, 'f')
            found = []

            async def find():
                found.append(await finder._find(key, route))

            async with trio.open_nursery() as nursery:
                for _ in range(resume_count):
                    nursery.start_soon(find)
            return found

        return trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    def _check(self, cases):
        for name, case, source, software in cases:
            (found,) = self._find(case)
            self.assertEqual(
                (source, software), (found.source, found.software), name
            )

    def test_record_decides_whatever_is_assumed(self):
        self._check(
            [
                (
                    'recorded',
                    _Case(records=[_make_record('q', _V2)]),
                    _Source.RECORD,
                    _V2,
                ),
                (
                    'last of two runs',
                    _Case(
                        records=[
                            _make_record('q', _V2, ordinal=0),
                            _make_record('q', _V1, ordinal=1),
                        ]
                    ),
                    _Source.RECORD,
                    _V1,
                ),
                (
                    'only one version is left',
                    _Case(records=[_make_record('q', _V1)], listed=(_V2,)),
                    _Source.RECORD,
                    _V1,
                ),
            ]
        )

    def test_stream_without_a_record_is_of_the_assumed_version(self):
        self._check(
            [
                ('calm log', _Case(), _Source.NO_RECORD, _V1),
                (
                    'a peer has read the log',
                    _Case(is_away=True, told=_PeerOrigin(None, True)),
                    _Source.NO_RECORD,
                    _V1,
                ),
                (
                    'outage for all, longer than a stream lasts',
                    _Case(is_away=True, told=_LOST_TO_PEERS, outage_s=31.0),
                    _Source.NO_RECORD,
                    _V1,
                ),
                ('no row', _Case(row=None), _Source.AMBIGUOUS, None),
                (
                    'assumed version not known',
                    _Case(row=stream_origins.VersionRow(1, '', False)),
                    _Source.AMBIGUOUS,
                    None,
                ),
                (
                    'a member of an earlier release',
                    _Case(older_release_age_s=5.0),
                    _Source.AMBIGUOUS,
                    None,
                ),
                (
                    'a route of two services',
                    _Case(services=('s', 't')),
                    _Source.AMBIGUOUS,
                    None,
                ),
            ]
        )

    def test_streams_that_outlast_their_records_are_not_assumed(self):
        self._check(
            [
                (
                    'several versions',
                    _Case(timeout_ms=31_000),
                    _Source.AMBIGUOUS,
                    None,
                ),
                (
                    'one version for as long',
                    _Case(timeout_ms=60_000, listed=(_V2,)),
                    _Source.ONLY_VERSION,
                    _V2,
                ),
                (
                    'a version that left meanwhile',
                    _Case(
                        timeout_ms=120_000, listed=(_V2,), listed_before=(_V1,)
                    ),
                    _Source.AMBIGUOUS,
                    None,
                ),
                (
                    'recorded',
                    _Case(timeout_ms=60_000, records=[_make_record('q', _V2)]),
                    _Source.RECORD,
                    _V2,
                ),
            ]
        )

    def test_unsound_attempt_of_a_recorded_request_is_not_assumed(self):
        records = [_make_record('q', _V2)]
        for resumes in ('', 'unknown'):
            (found,) = self._find(_Case(resumes=resumes, records=records))
            self.assertIs(_Source.AMBIGUOUS, found.source, resumes)

    def test_attempt_of_another_request_is_refused(self):
        records = [_make_record('q', _V1, fingerprint='other')]
        (found,) = self._find(_Case(records=records))
        self.assertIs(_Source.OTHER_REQUEST, found.source)

    def test_unreadable_log_is_not_taken_for_one_without_a_record(self):
        self._check(
            [
                ('cut off', _Case(is_away=True), _Source.UNREADABLE, None),
                (
                    'outage that is younger than the stream may be',
                    _Case(is_away=True, told=_LOST_TO_PEERS, outage_s=20.0),
                    _Source.UNREADABLE,
                    None,
                ),
                (
                    'cut off from most members too',
                    _Case(
                        is_away=True,
                        told=_LOST_TO_PEERS,
                        outage_s=90.0,
                        reachable_share=0.2,
                    ),
                    _Source.UNREADABLE,
                    None,
                ),
                (
                    'a peer knows',
                    _Case(is_away=True, told=_PeerOrigin(_V2, False)),
                    _Source.PEER,
                    _V2,
                ),
            ]
        )

    def test_cut_off_member_takes_no_version_for_the_only_one(self):
        # Upstreams of others may have joined since, and its peers count as
        # reachable until they have been silent for a while.
        cases = []
        for name, told in (
            ('no peer answers', _PeerOrigin(None, False)),
            ('peers do not know', _PeerOrigin(None, False, is_log_lost=False)),
        ):
            for outage_s in (0.1, 1.0, 90.0):
                case = _Case(
                    listed=(_V1,), is_away=True, told=told, outage_s=outage_s
                )
                cases.append((name, case, _Source.UNREADABLE, None))
        self._check(cases)

    def test_only_version_for_longer_than_a_stream_lasts_began_it(self):
        self._check(
            [
                (
                    'calm log',
                    _Case(listed=(_V2,)),
                    _Source.ONLY_VERSION,
                    _V2,
                ),
                (
                    'outage for all',
                    _Case(
                        listed=(_V2,),
                        is_away=True,
                        told=_LOST_TO_PEERS,
                        outage_s=1.0,
                    ),
                    _Source.ONLY_VERSION,
                    _V2,
                ),
                # Another version may be in service beyond the cut.
                (
                    'cut off',
                    _Case(listed=(_V2,), is_away=True),
                    _Source.UNREADABLE,
                    None,
                ),
                (
                    'a version that has just left',
                    _Case(listed=(_V2,), listed_before=(_V1,), age_s=29.0),
                    _Source.NO_RECORD,
                    _V1,
                ),
                (
                    'a process that has just started',
                    _Case(listed=(_V2,), age_s=1.0),
                    _Source.NO_RECORD,
                    _V1,
                ),
            ]
        )

    def test_version_that_has_come_back_is_not_assumed(self):
        now_ms = int(time.time() * 1000)
        cases = [
            # Starts of the upstreams of v1 and of v2, expected.
            ((1,), (1,), _Source.NO_RECORD),
            ((now_ms,), (1,), _Source.AMBIGUOUS),
            ((now_ms, 1), (1,), _Source.NO_RECORD),
            ((now_ms,), (now_ms,), _Source.NO_RECORD),
        ]
        for v1_starts_ms, v2_starts_ms, expected in cases:
            case = _Case(listed=[_V1] * len(v1_starts_ms) + [_V2])
            case.starts_ms = [*v1_starts_ms, *v2_starts_ms]
            (found,) = self._find(case)
            self.assertIs(expected, found.source, case.starts_ms)

    def test_callers_that_come_together_share_a_read(self):
        case = _Case()
        found = self._find(case, resume_count=50)
        self.assertEqual({_V1}, {each.software for each in found})
        self.assertEqual(1, case.log.read_count)

    def test_outage_for_all_is_told_by_most_peers(self):
        # Or by their absence, if this is the only member.
        lost = _LOST_TO_PEERS
        nothing = _PeerOrigin(None, False)
        read = _PeerOrigin(None, True)
        known = _PeerOrigin(_V2, False)
        cases = [
            # Peers asked, what those that answer say, combined answer.
            (0, [], lost),
            (3, [], nothing),
            (3, [lost], nothing),
            (4, [lost, lost], nothing),
            (3, [lost, lost], lost),
            (3, [lost, lost, nothing], lost),
            (3, [lost, lost, read], read),
            (3, [lost, read, known], known),
        ]
        for asked_count, answers, expected in cases:
            combined = _origin_finder.combine_answers(asked_count, answers)
            self.assertEqual(
                (
                    expected.software,
                    expected.is_unrecorded,
                    expected.is_log_lost,
                ),
                (
                    combined.software,
                    combined.is_unrecorded,
                    combined.is_log_lost,
                ),
                (asked_count, len(answers)),
            )
