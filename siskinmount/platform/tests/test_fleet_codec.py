"""Decoding of valid and invalid documents and upstream entries."""

import hypothesis
from hypothesis import strategies
import orjson
import testtools

from siskinmount import fleet
from siskinmount import platform
from siskinmount import results

_ROUTE = {
    'name': 'r',
    'host': 'H.example',
    'path_prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 5000,
    'goal_ms': 300,
    'priority': 0,
    'service': 's',
    'max_attempts': 2,
    'resumable': True,
    'gap_goal_ms': 400,
}
_ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'state': 'ready',
    'version': 'v1',
    'slot_count': 8,
    'cold_left_ms': 0,
    'seq_no': 4,
    'born': 7,
}
_REQUIRED = (
    'service',
    'address',
    'zone',
    'state',
    'slot_count',
    'cold_left_ms',
    'seq_no',
)
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=5,
)


def _make_document(routes, **fields):
    return orjson.dumps(
        {'version': 3, 'routes': routes, 'services': [], **fields}
    )


class DocumentTest(testtools.TestCase):

    def test_longest_prefix_decides_the_route(self):
        longer = {**_ROUTE, 'name': 'longer', 'path_prefix': '/a/b/'}
        other = {**_ROUTE, 'name': 'other', 'host': 'other.example'}
        document = platform.decode_document(
            _make_document([_ROUTE, longer, other])
        )
        cases = [
            ('h.example', '/a/b/c', 'longer'),
            ('h.example', '/a/c', 'r'),
            ('other.example', '/a/b/c', 'other'),
            ('h.example', '/b/', None),
            ('none.example', '/a/', None),
        ]
        for host, path, expected in cases:
            route = document.find_route(host, path)
            self.assertEqual(expected, route.name if route else None, path)

    def test_kind_decides_what_may_repeat(self):
        cases = [
            ('streaming', True, True),
            ('streaming', False, False),
            ('idempotent', False, True),
            ('non_idempotent', True, False),
            ('batch', True, False),
        ]
        for kind, resumable, expected in cases:
            route = {**_ROUTE, 'kind': kind, 'resumable': resumable}
            document = platform.decode_document(_make_document([route]))
            self.assertEqual(expected, document.routes[0].may_repeat(), kind)

    def test_services_are_chosen_by_weight(self):
        split = {
            **_ROUTE,
            'split': [
                {'service': 'a', 'weight': 1},
                {'service': 'b', 'weight': 0},
                {'service': 'c', 'weight': 3},
            ],
        }
        del split['service']
        document = platform.decode_document(_make_document([split]))
        drawn = {document.routes[0].draw_service() for _ in range(200)}
        self.assertEqual({'a', 'c'}, drawn)

    def test_route_of_unknown_kind_is_left_out(self):
        odd = {**_ROUTE, 'name': 'odd', 'kind': 'new'}
        document = platform.decode_document(_make_document([odd, _ROUTE]))
        self.assertEqual(['r'], [route.name for route in document.routes])

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.sampled_from(sorted(_ROUTE)), _JSON, strategies.booleans()
    )
    def test_invalid_fields_never_raise(self, name, value, is_missing):
        route = dict(_ROUTE)
        route[name] = value
        if is_missing:
            del route[name]
        for source in (
            _make_document([route]),
            _make_document(value),
            _make_document([_ROUTE], limits=value, version=value),
            orjson.dumps(value),
            b'\xff' + str(value).encode(),
        ):
            decoded = platform.decode_document(source)
            self.assertIsInstance(
                decoded, (fleet.FleetDocument, results.Failure)
            )

    def test_invalid_numbers_are_refused(self):
        for text in (b'1e999', b'-1', b'NaN', b'"x"', b'true', b'null'):
            source = _make_document([_ROUTE]).replace(
                b'"timeout_ms":5000', b'"timeout_ms":' + text
            )
            decoded = platform.decode_document(source)
            self.assertIsInstance(decoded, results.Failure, text)


class EntryTest(testtools.TestCase):

    def test_entry(self):
        upstream = platform.decode_upstream('i', orjson.dumps(_ENTRY))
        self.assertEqual('10.0.0.1:80', str(upstream.address))
        self.assertEqual(7, upstream.started_at_ms)
        self.assertIs(fleet.UpstreamState.READY, upstream.state)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.sampled_from(sorted(_ENTRY)), _JSON, strategies.booleans()
    )
    def test_invalid_fields_never_raise(self, name, value, is_missing):
        entry = dict(_ENTRY)
        entry[name] = value
        if is_missing:
            del entry[name]
        decoded = platform.decode_upstream('i', orjson.dumps(entry))
        self.assertIsInstance(decoded, (fleet.Upstream, results.Failure))

    def _encode(self, **fields):
        return orjson.dumps({**_ENTRY, **fields})

    def test_entry_that_lacks_what_upstreams_write_names_none(self):
        for name in _REQUIRED:
            entry = dict(_ENTRY)
            del entry[name]
            decoded = platform.decode_upstream('i', orjson.dumps(entry))
            self.assertIsInstance(decoded, results.Failure, name)

    def test_entry_with_an_unsound_field_names_no_upstream(self):
        whole_numbers = ('slot_count', 'cold_left_ms', 'seq_no', 'born')
        cases = []
        for name in whole_numbers:
            for value in (-1, 0.5, 8.0, 2**53, 1e300, True, '8', None, [8], {}):
                if (name, value) != ('born', None):
                    cases.append({name: value})
        cases.append({'born': 'x'})
        cases.append({'slot_count': 10**9})
        for name in ('service', 'zone', 'state', 'address'):
            for value in ('', 7, None, ['s'], 's\n', 'x' * 300, 's\u202e'):
                cases.append({name: value})
        cases.append({'version': 'v\r\nx'})
        for host in ('h.example', '10.0.0.1.2', '0.0.0.0', '224.0.0.1', ''):
            cases.append({'address': f'{host}:80'})
        for port in ('0', '65536', '-1', '8e1', '', '1' * 400):
            cases.append({'address': f'10.0.0.1:{port}'})
        cases.append({'state': 'started'})
        for fields in cases:
            decoded = platform.decode_upstream('i', self._encode(**fields))
            self.assertIsInstance(decoded, results.Failure, fields)

    def test_number_that_no_type_holds_names_no_upstream(self):
        for text in (b'1e999', b'-1e999', b'9' * 400, b'NaN'):
            source = self._encode().replace(
                b'"slot_count":8', b'"slot_count":' + text
            )
            decoded = platform.decode_upstream('i', source)
            self.assertIsInstance(decoded, results.Failure, text)

    def test_entry_that_is_no_sound_text_names_no_upstream(self):
        for source in (
            self._encode().replace(b'"z"', b'"\\ud800"'),
            self._encode().replace(b'"z"', b'"\xff"'),
            b'[' * 100_000,
            b'[' * 100_000 + b']' * 100_000,
            b'',
            b'null',
        ):
            decoded = platform.decode_upstream('i', source)
            self.assertIsInstance(decoded, results.Failure, source[:20])

    def test_id_that_no_header_can_hold_names_no_upstream(self):
        for upstream_id in ('', 'i\ufffd', 'i j', 'i\n', 'i\x00', 'x' * 300):
            decoded = platform.decode_upstream(upstream_id, self._encode())
            self.assertIsInstance(decoded, results.Failure, repr(upstream_id))

    def test_fields_of_a_newer_release_are_not_looked_at(self):
        for value in (None, -1, 1e300, 'x', [[[]]], {'a': {'b': 1}}):
            decoded = platform.decode_upstream('i', self._encode(new=value))
            self.assertIsInstance(decoded, fleet.Upstream, value)

    def test_entry_without_a_start_or_a_version_names_an_upstream(self):
        for name in ('born', 'version'):
            entry = dict(_ENTRY)
            del entry[name]
            decoded = platform.decode_upstream('i', orjson.dumps(entry))
            self.assertIsInstance(decoded, fleet.Upstream, name)
