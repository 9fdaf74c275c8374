"""Tests of how the response to a batch item is classified."""

import testtools

from siskinmount.gateway import _item_client

_Outcome = _item_client.RunOutcome


class ItemClientTest(testtools.TestCase):

    def test_only_a_lost_connection_counts_as_a_lost_run(self):
        # Guards against taking an upstream that answers for a broken one.
        cases = [
            (422, _Outcome.UNPROCESSABLE),
            (500, _Outcome.FAILED),
            (429, _Outcome.ERROR_STATUS),
            (503, _Outcome.ERROR_STATUS),
            (504, _Outcome.ERROR_STATUS),
        ]
        for status, expected in cases:
            outcome, _ = _item_client._classify_status(status)
            self.assertIs(expected, outcome, status)
