"""Tests of the log lines and metrics on how streams end."""

import testtools

from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _event_splitter
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _stream_end

_LOGGER_NAME = 'siskinmount.gateway._stream_end'


class _Response:

    def __init__(self, framing, size):
        self.body_framing = framing
        self.received_body_bytes = size


class StreamEndTest(testtools.TestCase):

    def test_ends_that_may_be_incomplete_are_logged(self):
        event = b'id: 1\ndata: x\n\n'
        cases = [
            # Framing, bytes, whether a line is written, bytes after the event.
            (transport.BodyFraming.CHUNKED, event, False, 0),
            (transport.BodyFraming.LENGTH, event, False, 0),
            (transport.BodyFraming.CHUNKED, event + b'id', True, 2),
            (transport.BodyFraming.CONNECTION_END, event, True, 0),
            (transport.BodyFraming.CONNECTION_END, event + b'id', True, 2),
        ]
        for framing, data, is_logged, unfinished_bytes in cases:
            counters = _gateway_metrics.create_gateway_metrics(
                telemetry.create_metrics()
            )
            splitter = _event_splitter.create_event_splitter()
            splitter.split(data)
            arguments = (
                counters,
                _Response(framing, len(data)),
                splitter,
            )
            fields = {
                'request_id': 'q',
                'upstream_id': 'u',
                'last_event_id': 1,
            }
            end = 'within_event' if unfinished_bytes else 'between_events'
            if not is_logged:
                with self.assertNoLogs(_LOGGER_NAME, 'INFO'):
                    _stream_end.record_stream_end(*arguments, **fields)
            else:
                with self.assertLogs(_LOGGER_NAME, 'INFO') as logs:
                    _stream_end.record_stream_end(*arguments, **fields)
                record = logs.records[0]
                self.assertEqual(
                    ('q', framing.value, len(data), end, unfinished_bytes),
                    (
                        record.request_id,
                        record.body_framing,
                        record.body_bytes,
                        record.end,
                        record.unfinished_bytes,
                    ),
                )
            self.assertEqual(1, counters.stream_ends.get(framing.value, end))
