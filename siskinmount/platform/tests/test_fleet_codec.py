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
    'slot_count': 8,
    'born': 7,
}
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
