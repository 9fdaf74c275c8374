"""Tests of when the assumed version of a service changes."""

import testtools

from siskinmount import stream_origins
from siskinmount.stream_origins import _version_policy

_ROW = stream_origins.VersionRow
_RECORD_ALL_S = _version_policy.RECORD_ALL_S
_UNLISTED_S = _version_policy.UNLISTED_S


def _plan(
    row, counts, unlisted_s=0.0, known_s=1e6, is_confirmed=True, has_older=False
):
    planned = stream_origins.plan_next_row(
        row,
        stream_origins.FleetSnapshot(
            counts_by_version=counts,
            unlisted_s=unlisted_s,
            known_s=known_s,
            is_confirmed=is_confirmed,
            has_older_members=has_older,
        ),
    )
    if planned is None:
        return None
    return planned.generation, planned.assumed_version, planned.is_settled


class VersionPolicyTest(testtools.TestCase):

    def test_first_row_assumes_the_only_version(self):
        cases = [
            # Upstreams by version, members of an earlier release, expected.
            ({}, False, None),
            ({'a': 3}, False, (1, 'a', True)),
            ({'a': 3, 'b': 1}, False, (1, '', False)),
            # Streams that those began are not recorded.
            ({'a': 3}, True, (1, '', False)),
        ]
        for counts, has_older, expected in cases:
            self.assertEqual(
                expected, _plan(None, counts, has_older=has_older), counts
            )

    def test_version_stays_while_it_is_listed(self):
        row = _ROW(4, 'a', True)
        self.assertIsNone(_plan(row, {'a': 1, 'b': 30}, unlisted_s=0.0))
        self.assertIsNone(_plan(row, {'b': 30}, unlisted_s=_UNLISTED_S - 1))
        self.assertIsNone(_plan(row, {}, unlisted_s=_UNLISTED_S + 1))

    def test_all_streams_are_recorded_before_another_version_is_assumed(self):
        row = _ROW(4, 'a', True)
        self.assertEqual(
            (5, 'a', False), _plan(row, {'b': 30}, unlisted_s=_UNLISTED_S + 1)
        )
        row = _ROW(5, 'a', False)
        cases = [
            ({'known_s': _RECORD_ALL_S - 1}, None),
            ({'is_confirmed': False}, None),
            ({'has_older': True}, None),
            ({}, (6, 'b', True)),
        ]
        for values, expected in cases:
            self.assertEqual(expected, _plan(row, {'b': 30}, **values), values)
        self.assertIsNone(_plan(row, {}))

    def test_version_of_most_upstreams_is_assumed(self):
        cases = [
            ({'b': 1, 'c': 2}, 'c'),
            ({'b': 2, 'c': 2}, 'b'),
            # A version that has come back and is as common stays.
            ({'b': 2, 'a': 2, 'c': 1}, 'a'),
            ({'a': 1, 'b': 2}, 'b'),
        ]
        for counts, expected in cases:
            planned = _plan(_ROW(2, 'a', False), counts)
            self.assertEqual((3, expected, True), planned, counts)
