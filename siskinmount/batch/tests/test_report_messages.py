"""Tests of the encoding of reports."""

import testtools

from siskinmount import batch


class ReportMessagesTest(testtools.TestCase):

    def test_report_loses_no_field_on_the_wire(self):
        report = batch.ItemReport(
            'j',
            3,
            'lease',
            batch.ReportedOutcome.YIELDED,
            output={'text': 'part'},
            code=3003,
            reason='lost',
            wasted_tokens=7,
            fingerprint='f',
            upstream_generation=4,
            was_alone=True,
        )
        sent = batch.ReportRequest('vm', 5, [report])
        decoded = batch.decode_report_request(sent.to_json())
        self.assertEqual(('vm', 5), (decoded.vm, decoded.incarnation))
        for name in batch.ItemReport.__slots__:
            self.assertEqual(
                getattr(report, name), getattr(decoded.reports[0], name), name
            )
