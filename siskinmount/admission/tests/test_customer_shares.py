"""Tests of whose requests are refused first when capacity is short."""

import random

import testtools

from siskinmount import admission
from siskinmount import customers

_SLOTS = 40
_RUN_S = 0.5
_MAX_WAIT_S = 0.6
_FLOOD = 'c0'
_STEP_S = 0.01
_FLOOD_S = 30


class _Service:
    """Callers of some customers at a service with a queue, in virtual time."""

    def __init__(self, use_shares, seed=1, rate_per_s=0.0):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        clock = self.get_now_s
        self.quotas = admission.create_customer_quotas(
            clock=clock, rng=self.rng
        )
        self.shares = admission.create_customer_shares(self.quotas, clock)
        self.use_shares = use_shares
        self.customers = {}
        self.demand = {}
        # Usual use: some large customers, some small ones.
        for number, per_s in enumerate([8, 8, 8, 8, 8, 8, 4, 4, 1, 0.3]):
            name = f'c{number}'
            self.customers[name] = customers.Customer(
                name, None, rate_per_s, rate_per_s
            )
            self.demand[name] = per_s
        self.queued = 0.0
        self.asked = {}
        self.served = {}

    def get_now_s(self):
        return self.now_s

    def reset(self):
        self.asked = dict.fromkeys(self.customers, 0)
        self.served = dict.fromkeys(self.customers, 0)

    def run(self, seconds):
        self.reset()
        for _ in range(int(seconds / _STEP_S)):
            self.now_s += _STEP_S
            self.queued = max(0.0, self.queued - _SLOTS / _RUN_S * _STEP_S)
            self.quotas.check_pause()
            for name, per_s in self.demand.items():
                if self.rng.random() < per_s * _STEP_S:
                    self._call(name)

    def _call(self, name):
        self.asked[name] += 1
        customer = self.customers[name]
        ticket = self.quotas.admit(customer)
        if not isinstance(ticket, admission.QuotaTicket):
            return
        factor = 1.0
        if self.use_shares:
            factor = self.shares.get_wait_factor(customer)
        wait_s = max(0.0, self.queued - _SLOTS) * _RUN_S / _SLOTS
        if wait_s > _MAX_WAIT_S * factor:
            ticket.give_back()
            return
        self.queued += 1
        self.served[name] += 1

    def get_served_share(self, name):
        return self.served[name] / max(1, self.asked[name])

    def get_others_share(self):
        others = [name for name in self.customers if name != _FLOOD]
        served = sum(self.served[name] for name in others)
        return served / sum(self.asked[name] for name in others)


def _play_flood(use_shares, step=1.0, rate_per_s=0.0):
    """Has a customer send six times its usual beside a step of all load."""
    service = _Service(use_shares, rate_per_s=rate_per_s)
    service.run(120)
    for name in service.demand:
        service.demand[name] *= step
    service.demand[_FLOOD] *= 6 / step
    service.run(_FLOOD_S)
    return service


class CustomerSharesTest(testtools.TestCase):

    def test_customer_above_its_usual_use_is_refused_first(self):
        # Guards against callers who lose their place to somebody's flood.
        # The others may lose what they ask for until the flood is known: within
        # a second, or two if a step of all load hides it.
        cases = [(1.0, 0.0, 1), (1.4, 0.0, 2), (1.0, 60.0, 1)]
        for step, rate_per_s, unknown_s in cases:
            least_share = 1 - unknown_s / _FLOOD_S
            without = _play_flood(False, step, rate_per_s)
            shared = _play_flood(True, step, rate_per_s)
            case = (step, rate_per_s)
            self.assertLess(without.get_others_share(), 0.8, case)
            self.assertGreater(shared.get_others_share(), least_share, case)
            # The flood gets what is left.
            self.assertGreater(shared.get_served_share(_FLOOD), 0.2, case)

    def test_no_room_is_lost(self):
        # Guards against refusals while slots are free.
        shared = _play_flood(True)
        without = _play_flood(False)
        self.assertGreater(
            sum(shared.served.values()), 0.95 * sum(without.served.values())
        )

    def test_step_of_all_load_is_nobodys_excess(self):
        # Guards against shorter queues for all when all customers grow.
        service = _Service(True)
        service.run(120)
        for name in service.demand:
            service.demand[name] *= 2.5
        service.run(20)
        for name in ('c1', 'c6'):
            customer = service.customers[name]
            self.assertEqual(1.0, service.shares.get_wait_factor(customer))

    def test_small_customers_are_never_starved(self):
        # Guards against a small customer whose first requests look like a
        # multiple of its usual use.
        service = _Service(True)
        service.run(120)
        service.demand['c9'] *= 6
        service.demand[_FLOOD] *= 6
        service.run(30)
        self.assertGreater(service.get_served_share('c9'), 0.95)

    def test_customer_without_use_may_wait_as_long_as_any(self):
        service = _Service(True)
        customer = customers.Customer('new', None, 0.0, 0.0)
        self.assertEqual(1.0, service.shares.get_wait_factor(customer))
        self.assertEqual(1.0, service.shares.get_wait_factor(None))
