import json
import logging

import testtools

from siskinmount import telemetry


class FormatterTest(testtools.TestCase):

    def test_line(self):
        record = logging.makeLogRecord(
            {
                'name': 'siskinmount.x',
                'levelname': 'INFO',
                'msg': 'request_done',
                'code': 2003,
                'request_id': 'r1',
                'detail': object,
            }
        )
        formatter = telemetry.create_formatter('vm1', 'entry', 'fd1')
        line = json.loads(formatter.format(record))
        self.assertTrue(line.pop('time'))
        self.assertEqual(
            {
                'level': 'INFO',
                'event': 'request_done',
                'logger': 'siskinmount.x',
                'vm': 'vm1',
                'role': 'entry',
                'failure_domain': 'fd1',
                'code': 2003,
                'request_id': 'r1',
                'detail': "<class 'object'>",
            },
            line,
        )
