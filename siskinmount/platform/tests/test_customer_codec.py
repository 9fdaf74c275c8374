"""Decoding of the customers of valid and invalid documents."""

import hypothesis
from hypothesis import strategies
import orjson
import testtools

from siskinmount import customers
from siskinmount import fleet
from siskinmount import platform
from siskinmount import results

_ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/a/',
    'kind': 'batch',
    'timeout_ms': 5000,
    'goal_ms': 300,
    'service': 's',
    'cap': 100,
}
_CUSTOMER = {
    'name': 'a',
    'api_keys': ['key-a', 'key-b'],
    'priority': 1,
    'rate_per_s': 2.5,
    'burst': 4,
}
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers(-(2**70), 2**70)
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=5,
)


def _encode(tenants, version=1, routes=(_ROUTE,)):
    return orjson.dumps(
        {
            'version': version,
            'routes': list(routes),
            'services': [],
            'tenants': tenants,
        },
        option=orjson.OPT_PASSTHROUGH_SUBCLASS,
    )


def _decode(*tenants):
    return platform.decode_document(_encode(list(tenants))).customers


def _get_limit(customer):
    return customer.rate_per_s, customer.burst


class CustomersTest(testtools.TestCase):

    def test_customer_is_found_by_each_of_its_keys(self):
        table = _decode(_CUSTOMER, {'name': 'b', 'api_keys': ['key-c']})
        self.assertEqual('a', table.find('key-a').name)
        self.assertEqual('a', table.find('key-b').name)
        self.assertEqual('b', table.find('key-c').name)
        for key in ('key-', 'key-aa', 'KEY-A', 'a'):
            self.assertIsNone(table.find(key), key)
        customer = table.customers['a']
        self.assertEqual(1, customer.priority)
        self.assertEqual((2.5, 4), _get_limit(customer))
        self.assertIsNone(table.customers['b'].priority)
        self.assertEqual((0, 0), _get_limit(table.customers['b']))
        self.assertEqual(0, table.finding_count)

    def test_document_without_customers_defines_none(self):
        # Guards against asking callers of earlier deployments for keys.
        source = orjson.dumps({'version': 1, 'routes': [], 'services': []})
        self.assertIsNone(platform.decode_document(source).customers)
        self.assertIsNone(platform.decode_document(_encode(None)).customers)

    def test_customers_that_are_no_list_let_nobody_in(self):
        for rows in ('x', 7, {}, {'a': _CUSTOMER}, True, False, 0, ''):
            table = platform.decode_document(_encode(rows)).customers
            self.assertEqual({}, table.customers, rows)
            self.assertIsNone(table.find('key-a'))
            self.assertEqual(1, table.finding_count)
        self.assertEqual(0, _decode().finding_count)

    def test_routes_are_public_only_where_it_says_true(self):
        for value in (1, 'true', [True], None, False):
            route = {**_ROUTE, 'public': value}
            document = platform.decode_document(_encode([], routes=[route]))
            self.assertFalse(document.routes[0].public, value)
        route = {**_ROUTE, 'public': True}
        document = platform.decode_document(_encode([], routes=[route]))
        self.assertTrue(document.routes[0].public)
        self.assertTrue(document.has_public_batch_route())

    def test_key_of_two_customers_belongs_to_neither(self):
        table = _decode(
            _CUSTOMER,
            {'name': 'b', 'api_keys': ['key-b', 'key-c']},
            {'name': 'c', 'api_keys': ['key-b']},
        )
        self.assertIsNone(table.find('key-b'))
        self.assertEqual('a', table.find('key-a').name)
        self.assertEqual('b', table.find('key-c').name)
        self.assertEqual(2, table.finding_count)

    def test_key_that_a_customer_lists_twice_stays_its_key(self):
        table = _decode({'name': 'a', 'api_keys': ['k', 'k']})
        self.assertEqual('a', table.find('k').name)
        self.assertEqual(0, table.finding_count)

    def test_customer_listed_twice_has_the_keys_of_both_entries(self):
        table = _decode(
            _CUSTOMER, {**_CUSTOMER, 'api_keys': ['key-z'], 'priority': 0}
        )
        for key in ('key-a', 'key-z'):
            self.assertIs(table.customers['a'], table.find(key))
        self.assertEqual(1, table.customers['a'].priority)
        self.assertEqual(1, table.finding_count)

    def test_customer_without_keys_is_kept(self):
        for keys in (None, [], 'key', {'k': 1}, 7, [None, 7, ['k'], '']):
            table = _decode({'name': 'a', 'api_keys': keys})
            self.assertEqual(['a'], list(table.customers), keys)

    def test_invalid_keys_are_left_out(self):
        valid = 'valid'
        cases = [7, None, True, '', ['k'], {'k': 1}, 'k' * 5000, 'é', 'a\nb']
        for key in [*cases, ' k', 'k ']:
            table = _decode({'name': 'a', 'api_keys': [key, valid]})
            self.assertEqual('a', table.find(valid).name, key)
            self.assertEqual(1, table.finding_count, key)
            self.assertEqual(1, table.count_keys())

    def test_customer_without_a_sound_name_is_left_out(self):
        names = (None, '', 7, True, ['a'], {}, 'a\r\nb', 'x' * 300, ' a', 'a ')
        for name in names:
            row = {**_CUSTOMER, 'name': name}
            table = _decode(row, {'name': 'b', 'api_keys': ['key-c']})
            self.assertEqual(['b'], list(table.customers), name)
            self.assertIsNone(table.find('key-a'))
            self.assertEqual(1, table.finding_count)
        for row in (None, 7, 'a', ['a'], True):
            table = _decode(row, _CUSTOMER)
            self.assertEqual(['a'], list(table.customers), row)
            self.assertEqual(1, table.finding_count)

    def test_unknown_priority_is_that_of_the_route(self):
        for priority in ('high', -1, 0.5, True, [1], {}, 2**60, 1e300):
            table = _decode({**_CUSTOMER, 'priority': priority})
            self.assertIsNone(table.customers['a'].priority, priority)
            self.assertEqual(1, table.finding_count)
            self.assertEqual('a', table.find('key-a').name)

    def test_invalid_limit_leaves_that_of_the_previous_document(self):
        cases = [
            {'rate_per_s': value}
            for value in (-1, '5', True, False, [1], {}, '', 1e-9, 1e7, 2**63)
        ]
        cases += [{'burst': value} for value in (-1, 'x', True, 1e300)]
        for fields in cases:
            earlier = _decode(_CUSTOMER)
            table = _decode({**_CUSTOMER, **fields})
            self.assertEqual(1, table.finding_count, fields)
            self.assertEqual('a', table.find('key-a').name)
            table.keep_limits(earlier)
            self.assertEqual((2.5, 4), _get_limit(table.customers['a']))
            later = _decode({**_CUSTOMER, **fields})
            later.keep_limits(table)
            self.assertEqual((2.5, 4), _get_limit(later.customers['a']))
            alone = _decode({**_CUSTOMER, 'rate_per_s': -1})
            alone.keep_limits(None)
            alone.keep_limits(_decode({'name': 'b'}))
            self.assertEqual(0, alone.customers['a'].rate_per_s)

    def test_limit_of_zero_or_none_is_no_limit(self):
        for rate_per_s in (0, 0.0, None):
            table = _decode({**_CUSTOMER, 'rate_per_s': rate_per_s})
            table.keep_limits(_decode(_CUSTOMER))
            self.assertEqual(0, table.customers['a'].rate_per_s)
            self.assertEqual(0, table.finding_count)

    def test_findings_are_bounded_and_contain_no_keys(self):
        secret = 'secret-key'
        rows = [
            {'name': f'c{n}', 'api_keys': [secret, secret + '\n']}
            for n in range(100)
        ]
        table = _decode(*rows)
        self.assertEqual(customers.MAX_FINDINGS, len(table.findings))
        self.assertEqual(199, table.finding_count)
        for finding in table.findings:
            text = f'{finding.customer} {finding.field} {finding.reason}'
            self.assertNotIn(secret, text)

    def test_values_that_no_type_holds_do_not_fail_the_document(self):
        # Guards against a change that is refused by all gateways because of one
        # customer, so that a revoked key stays in force.
        deep = b'[' * 5000 + b']' * 5000
        deep_row = b'{"a":' * 5000 + b'1' + b'}' * 5000
        numbers = (b'1e999', b'-1e999', b'9' * 400, b'9' * 5000, deep, deep_row)
        for text in numbers:
            for field, old in (
                (b'rate_per_s', b'2.5'),
                (b'burst', b'4'),
                (b'priority', b'1'),
            ):
                source = _encode([_CUSTOMER]).replace(
                    b'"%s":%s' % (field, old), b'"%s":%s' % (field, text)
                )
                document = platform.decode_document(source)
                table = document.customers
                self.assertEqual('a', table.find('key-a').name)
                self.assertEqual(1, len(document.routes))
        for old in (b'"key-b"', b'["key-a","key-b"]', b'"a"'):
            for text in (deep, deep_row, b'"\\ud800"', b'"[[[\\"]"'):
                source = _encode([_CUSTOMER, {'name': 'b', 'api_keys': ['k']}])
                document = platform.decode_document(source.replace(old, text))
                self.assertEqual('b', document.customers.find('k').name, text)

    def test_leniency_ends_where_the_customers_end(self):
        # Guards against routes whose numbers or names later raise.
        for old, text in (
            (b'5000', b'1e999'),
            (b'5000', b'NaN'),
            (b'"h"', b'"\\ud800"'),
            (b'"h"', b'"\xff"'),
        ):
            source = _encode([_CUSTOMER]).replace(old, text)
            decoded = platform.decode_document(source)
            self.assertIsInstance(decoded, results.Failure, text)
        for source in (
            b'{"tenants":' + b'[' * 5000,
            b'{"tenants":"' + b'\\"' * 5000,
            _encode([_CUSTOMER])[:-1],
        ):
            decoded = platform.decode_document(source)
            self.assertIsInstance(decoded, results.Failure)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.sampled_from(sorted(_CUSTOMER)), _JSON, strategies.booleans()
    )
    def test_invalid_fields_never_fail_the_document(self, name, value, is_row):
        row = value if is_row else {**_CUSTOMER, name: value}
        source = _encode_any([row, {'name': 'z', 'api_keys': ['key-z']}])
        document = platform.decode_document(source)
        self.assertIsInstance(document, fleet.FleetDocument)
        found = document.customers.find('key-z')
        self.assertEqual('z', found.name if found is not None else 'z')
        document = platform.decode_document(_encode_any(value))
        self.assertIsInstance(document, fleet.FleetDocument)


def _encode_any(tenants):
    """Encodes numbers that `orjson` does not; NaN as null."""
    import json
    import math

    def clean(value):
        if isinstance(value, float) and not math.isfinite(value):
            return None
        if isinstance(value, list):
            return [clean(inner) for inner in value]
        if isinstance(value, dict):
            return {key: clean(inner) for key, inner in value.items()}
        return value

    return json.dumps(
        {
            'version': 1,
            'routes': [_ROUTE],
            'services': [],
            'tenants': clean(tenants),
        }
    ).encode()
