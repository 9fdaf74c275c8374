"""Which requests are admitted, by document, age of the keys and quota."""

import testtools

from siskinmount import admission
from siskinmount import customers
from siskinmount import fleet
from siskinmount import results
from siskinmount import telemetry
from siskinmount.gateway import _customer_check
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _online_request

_Reason = _customer_check.RefusalReason


def _make_route(kind=fleet.RouteKind.IDEMPOTENT, public=False, priority=1):
    return fleet.FleetRoute(
        name='r',
        host='h',
        path_prefix='/',
        kind=kind,
        shares=(fleet.ServiceShare('s', 1),),
        timeout_ms=1000,
        target_ms=100,
        public=public,
        priority=priority,
    )


def _make_document(version, keys_by_name):
    table = customers.create_customer_table()
    for position, (name, keys) in enumerate(keys_by_name.items()):
        table.add(position, customers.Customer(name), keys)
    return fleet.FleetDocument(version, [], {}, None, b'', table)


class CustomerCheckTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.view = fleet.create_fleet_view(None, None)
        self.view.document = _make_document(1, {'a': ['ka'], 'b': ['kb']})
        self.age = customers.create_key_age(5.0, lambda: self.now_s)
        self.check = _customer_check.create_customer_check(
            self.view,
            self.age,
            admission.create_customer_quotas(),
            _gateway_metrics.create_gateway_metrics(telemetry.create_metrics()),
        )

    def _admit(self, key='ka', **options):
        admitted = self.check.admit(_make_route(**options), key)
        if isinstance(admitted, _customer_check.CustomerRefusal):
            return admitted.reason
        return admitted.name

    def test_keys_need_a_proof_that_is_young_enough(self):
        self.assertIs(_Reason.KEYS_OUTDATED, self._admit())
        self.assertFalse(self.check.can_check_keys())
        self.age.record_proof(100.0)
        self.assertEqual('a', self._admit())
        self.now_s = 104.9
        self.assertEqual('a', self._admit())
        self.now_s = 105.0
        self.assertIs(_Reason.KEYS_OUTDATED, self._admit())
        self.assertIs(_Reason.KEYS_OUTDATED, self._admit('unknown'))
        self.assertEqual('', self._admit(public=True))
        self.age.record_proof(104.0)
        self.assertEqual('a', self._admit())
        self.assertIs(_Reason.UNKNOWN, self._admit('unknown'))

    def test_later_send_needs_the_key_and_the_proof(self):
        # Guards against retries and resumed streams under a revoked key.
        self.age.record_proof(100.0)
        caller = self.check.admit(_make_route(), 'ka')
        self.assertIsNone(self.check.recheck(caller))
        cases = [
            (_make_document(2, {'a': ['new']}), _Reason.REVOKED),
            (_make_document(3, {'b': ['ka']}), _Reason.REVOKED),
            (_make_document(4, {'a': ['ka'], 'b': ['ka']}), _Reason.REVOKED),
            (_make_document(5, {}), _Reason.REVOKED),
        ]
        for document, reason in cases:
            self.view.document = document
            refusal = self.check.recheck(caller)
            self.assertIs(reason, refusal.reason)
            self.assertIs(
                results.ResultCode.UNAUTHENTICATED, refusal.failure.code
            )
        self.view.document = _make_document(6, {'a': ['new', 'ka']})
        self.assertIsNone(self.check.recheck(caller))
        self.now_s = 106.0
        refusal = self.check.recheck(caller)
        self.assertIs(_Reason.KEYS_OUTDATED, refusal.reason)
        self.assertIsNone(self.check.recheck(_customer_check.AdmittedCaller()))

    def test_priority_of_the_customer_precedes_that_of_the_route(self):
        cases = [(None, 0, 0), (None, 2, 2), (0, 2, 0), (3, 0, 3)]
        for own, of_route, expected in cases:
            caller = _customer_check.AdmittedCaller(
                customers.Customer('a', own)
            )
            request = _online_request.OnlineRequest.__new__(
                _online_request.OnlineRequest
            )
            request.route = _make_route(priority=of_route)
            request.caller = caller
            self.assertEqual(expected, request.priority)
        self.assertEqual('a', request.customer)

    def test_customer_for_upstreams(self):
        nobody = _customer_check.AdmittedCaller()
        known = _customer_check.AdmittedCaller(customers.Customer('a'))
        self.assertEqual('', self.check.get_upstream_customer(nobody))
        self.assertEqual('a', self.check.get_upstream_customer(known))
        self.view.document = fleet.FleetDocument(2, [], {}, None, b'')
        self.assertIsNone(self.check.get_upstream_customer(nobody))
        self.assertEqual('a', self.check.get_upstream_customer(known))
        self.assertEqual('', self._admit('any'))
