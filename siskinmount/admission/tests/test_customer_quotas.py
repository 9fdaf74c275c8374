"""Tests of the quotas of customers at one member."""

import random

import testtools

from siskinmount import admission
from siskinmount import customers
from siskinmount import results

_CUSTOMER = customers.Customer('c', None, 10.0, 5.0)
_FREE = customers.Customer('f')
_LONG_S = 1000.0


class _Clock:

    def __init__(self):
        self.now_s = 50.0
        self.filled_s = 0.0
        self.share = 1.0

    def get_now_s(self):
        return self.now_s

    def get_filled_s(self):
        return self.filled_s

    def get_share(self):
        return self.share

    def get_message_delay_s(self):
        return 0.0

    def advance(self, seconds):
        # Housekeeping runs four times a second.
        self.now_s += seconds
        self.filled_s += seconds * self.share


class CustomerQuotasTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.clock = _Clock()
        self.quotas = admission.create_customer_quotas(
            5.0, 0.1, 20, self.clock.get_now_s, random.Random(1)
        )
        self.quotas.watch_members(self.clock, lambda: None)
        self.quotas.apply_customers([_CUSTOMER])

    def _advance(self, seconds):
        for _ in range(int(seconds * 4)):
            self.clock.advance(0.25)
            self.quotas.expire()

    def _fill(self):
        self._advance(10)

    def _take_all(self, customer=_CUSTOMER):
        tickets = []
        while len(tickets) < 1000:
            ticket = self.quotas.admit(customer)
            if isinstance(ticket, results.Failure):
                break
            tickets.append(ticket)
        return tickets

    def _report(self, *numbers, silent_s=0.1, peer='p', name='c'):
        rows = {name: admission.QuotaUse(*numbers)} if numbers else {}
        self.quotas.apply_use(peer, rows, silent_s, 1.5)

    def test_bucket_begins_empty_and_waits_for_the_members(self):
        # Guards against a whole quota for each member of a fleet that starts.
        self.assertEqual([], self._take_all())
        self.clock.now_s += 0.5
        self.assertEqual([], self._take_all())

    def test_refusal_says_when_to_come_back(self):
        # Guards against callers who return together, or before a token is due.
        self._fill()
        self._take_all()
        waits_ms = set()
        for _ in range(50):
            failure = self.quotas.admit(_CUSTOMER)
            self.assertIs(results.ResultCode.CALLER_OVER_LIMIT, failure.code)
            self.assertGreaterEqual(failure.retry_after_ms, 50)
            waits_ms.add(failure.retry_after_ms)
        self.assertGreater(len(waits_ms), 10)

    def test_token_is_given_back_once(self):
        # Guards against a quota lost to requests that no upstream began, and
        # against one that grows by giving back twice.
        self._fill()
        tickets = self._take_all()
        tickets[0].give_back()
        tickets[0].give_back()
        self.assertEqual(1, len(self._take_all()))
        count = self.quotas.list_use()['c'].count
        self.assertEqual(len(tickets), count)

    def test_peers_use_is_debited_once(self):
        # Guards against messages counted twice, and lost ones not at all.
        self._fill()
        whole = len(self._take_all())
        self._fill()
        self._report(2, 2, 2)
        self._report(2, 2, 2)
        self._report(3, 1, 3)
        self.assertEqual(whole - 3, len(self._take_all()))

    def test_use_given_back_at_a_peer_is_credited(self):
        # Guards against tokens that only the member of the request gets back.
        self._fill()
        self.quotas.admit(_CUSTOMER)
        before = self.quotas.describe('c')['tokens']
        self._report(3, 3, 3)
        self.assertEqual(before - 3, self.quotas.describe('c')['tokens'])
        self._report(1, 1, 3)
        self.assertEqual(before - 1, self.quotas.describe('c')['tokens'])

    def test_use_while_a_peer_was_not_heard_is_no_debt(self):
        # Guards against a halt after a partition: nothing was filled for what
        # the other half used either.
        self._fill()
        self._report(1, 1, 1)
        self._report(500, 20, 500, silent_s=60.0)
        self.assertGreaterEqual(len(self._take_all()), 4)

    def test_restarted_peer_begins_at_zero(self):
        # Guards against a count that is taken for a return of tokens.
        self._fill()
        self._report(500, 0, 500)
        whole = len(self._take_all())
        self._fill()
        self._report(2, 2, 2, silent_s=float('inf'))
        self.assertEqual(whole - 2, len(self._take_all()))

    def test_pause_drops_tokens(self):
        # Guards against tokens that peers have used meanwhile.
        self._fill()
        self.quotas.admit(_CUSTOMER)
        self.clock.now_s += 1.1
        self.assertEqual([], self._take_all())

    def test_share_bounds_what_a_bucket_holds(self):
        # Guards against a burst for each half of a divided fleet.
        self._fill()
        whole = len(self._take_all())
        self._fill()
        self.clock.share = 0.5
        self.assertEqual(whole // 2, len(self._take_all()))

    def test_changed_quota_takes_effect_at_once(self):
        # Guards against a burst of the earlier quota.
        self._fill()
        self.quotas.admit(_CUSTOMER)
        self.quotas.apply_customers([customers.Customer('c', None, 1.0, 1.0)])
        lowered = customers.Customer('c', None, 1.0, 1.0)
        self.assertLessEqual(len(self._take_all(lowered)), 4)
        self._advance(4)
        raised = customers.Customer('c', None, 100.0, 50.0)
        self.quotas.apply_customers([raised])
        self._advance(1)
        self.assertEqual(50, len(self._take_all(raised)))

    def test_customer_without_a_limit_is_admitted_and_reported(self):
        self.assertEqual(1000, len(self._take_all(_FREE)))
        self.assertEqual(1000, self.quotas.list_use()['f'].count)

    def test_rows_are_bounded_and_each_customer_has_its_turn(self):
        # Guards against customers of whom peers never hear.
        names = [f'c{number}' for number in range(200)]
        for name in names:
            self.quotas.admit(customers.Customer(name))
        told = set()
        for _ in range(4):
            rows = self.quotas.list_use()
            self.assertLessEqual(len(rows), 64)
            told.update(rows)
        self.assertEqual(set(names), told)

    def test_rows_end_with_the_requests(self):
        self._fill()
        self.quotas.admit(_CUSTOMER)
        self.assertEqual(1, self.quotas.list_use()['c'].recent_count)
        self._advance(2.5)
        self.assertEqual({}, self.quotas.list_use())

    def test_idle_customers_are_forgotten(self):
        # Guards against memory that grows with every customer there ever was.
        self._fill()
        self.quotas.admit(_CUSTOMER)
        self._report(1, 1, 1, name='other')
        self._advance(_LONG_S)
        self.assertIsNone(self.quotas.get_use('c'))
        self.assertIsNone(self.quotas.get_use('other'))

    def test_flood_logs_few_lines(self):
        # Guards against a log line for each refused request.
        self._fill()
        self._take_all()
        with self.assertLogs('siskinmount', 'INFO') as lines:
            for _ in range(1000):
                self.quotas.admit(_CUSTOMER)
            self._advance(6)
        events = [record.getMessage() for record in lines.records]
        self.assertLess(events.count('customer_over_quota'), 15)
        self.assertEqual(1, events.count('customer_within_quota'))
