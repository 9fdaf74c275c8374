"""Tests of when an upstream's stream counts as complete."""

import testtools
import trio
import trio.testing

from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _event_stream
from siskinmount.gateway import _gateway_metrics

_LOGGER_NAME = 'siskinmount.gateway._event_stream'
_LENGTH = transport.BodyFraming.LENGTH
_CHUNKED = transport.BodyFraming.CHUNKED
_CONNECTION_END = transport.BodyFraming.CONNECTION_END
_WITHIN = 'the stream was broken off within an event'
_BEFORE = 'the stream was broken off before its first event'


def _event(number):
    return b'id: %d\ndata: e%d\n\n' % (number, number)


class _Response:
    """Fake of a response with a chunk for each read; then its end."""

    def __init__(self, framing, chunks):
        self.body_framing = framing
        self.received_body_bytes = sum(len(chunk) for chunk in chunks)
        self._chunks = list(chunks)

    async def receive_chunk(self):
        return self._chunks.pop(0) if self._chunks else b''


class EventStreamTest(testtools.TestCase):

    def _read(
        self,
        framing,
        chunks,
        last_event_id=None,
        empty_end_id=None,
        is_serving=True,
    ):
        """Returns ids of the events, reason of a failure, line and stream."""

        async def check():
            return is_serving

        self.metrics = _gateway_metrics.create_gateway_metrics(
            telemetry.create_metrics()
        )
        stream = _event_stream.create_event_stream(
            _Response(framing, chunks),
            self.metrics,
            request_id='q',
            upstream_id='u',
            last_event_id=last_event_id,
            empty_end_id=empty_end_id,
            check_unframed_end=check,
        )
        ids = []

        async def main():
            while True:
                events = await stream.receive()
                if isinstance(events, results.Failure):
                    return events.reason
                if not events:
                    return None
                ids.extend(event.event_id for event in events)

        reason = trio.run(main, clock=trio.testing.MockClock())
        return ids, reason, stream

    def test_stream_that_ends_within_an_event_is_broken_off(self):
        whole = _event(1) + _event(2)
        for framing in (_LENGTH, _CHUNKED, _CONNECTION_END):
            for size in range(1, len(whole)):
                ids, reason, _ = self._read(framing, [whole[:size]])
                if size == len(_event(1)):
                    self.assertEqual(([1], None), (ids, reason), framing)
                    continue
                expected_ids = [1] if size > len(_event(1)) else []
                self.assertEqual((expected_ids, _WITHIN), (ids, reason), size)

    def test_end_of_a_stream(self):
        cases = [
            # Framing, chunks, ids, failure, trailing bytes.
            (_CHUNKED, [_event(1), _event(2)], [1, 2], None, b''),
            (_CONNECTION_END, [_event(1) + _event(2)], [1, 2], None, b''),
            (_CHUNKED, [], [], None, b''),
            (_CONNECTION_END, [], [], _BEFORE, b''),
            (_CONNECTION_END, [b': hello\n'], [], _BEFORE, b': hello\n'),
            (_CHUNKED, [_event(1), b'\n'], [1], None, b'\n'),
            (_CHUNKED, [_event(1), b': bye\n'], [1], None, b': bye\n'),
            (_CHUNKED, [_event(1), b': bye'], [1], _WITHIN, b': bye'),
            (_CONNECTION_END, [b': hello\n\n'], [None], _BEFORE, b''),
            (_CHUNKED, [b'id: 1\n\r\nid: 2\r\n\n'], [1, 2], None, b''),
            (_CHUNKED, [b'id: 1\r\ndata: x\r\n\r'], [], _WITHIN, None),
        ]
        for framing, chunks, ids, failure, trailing in cases:
            given = self._read(framing, chunks)
            self.assertEqual((ids, failure), given[:2], (framing, chunks))
            if trailing is not None:
                self.assertEqual(trailing, given[2].trailing_bytes)

    def test_events_before_one_that_is_out_of_order_are_returned(self):
        for numbers, kept in (([5, 6, 6], [5, 6]), ([5, 7], [5]), ([7], [])):
            chunk = b''.join(_event(number) for number in numbers)
            ids, reason, stream = self._read(_CHUNKED, [chunk], 4)
            self.assertEqual(kept, ids)
            self.assertIn('after', reason)
            self.assertEqual(4 + len(kept), stream.last_event_id)

    def test_ends_that_may_be_incomplete_are_logged(self):
        cases = [
            # Framing, data, whether a line is written, its end and outcome.
            (_CHUNKED, _event(1), False, 'between_events', 'complete'),
            (_LENGTH, _event(1), False, 'between_events', 'complete'),
            (_CHUNKED, _event(1) + b'id', True, 'within_event', 'broken_off'),
            (_CONNECTION_END, _event(1), True, 'between_events', 'complete'),
            (_CONNECTION_END, b'', True, 'before_events', 'broken_off'),
        ]
        for framing, data, is_logged, end, outcome in cases:
            chunks = [data] if data else []
            if not is_logged:
                with self.assertNoLogs(_LOGGER_NAME, 'INFO'):
                    self._read(framing, chunks)
            else:
                with self.assertLogs(_LOGGER_NAME, 'INFO') as logs:
                    self._read(framing, chunks)
                record = logs.records[0]
                self.assertEqual(
                    ('q', framing.value, len(data), end, outcome),
                    (
                        record.request_id,
                        record.body_framing,
                        record.body_bytes,
                        record.end,
                        record.outcome,
                    ),
                )
            counted = self.metrics.stream_ends.get(framing.value, end)
            self.assertEqual(1, counted)

    def test_unframed_end_is_no_end_if_the_process_has_exited(self):
        exited = 'the stream was broken off as the process of its upstream'
        for chunks in ([_event(1)], [_event(1), b'\n']):
            _, reason, _ = self._read(_CONNECTION_END, chunks, is_serving=False)
            self.assertTrue(reason.startswith(exited), reason)
        _, reason, _ = self._read(_CHUNKED, [_event(1)], is_serving=False)
        self.assertIsNone(reason)

    def test_unframed_continuation_without_events_must_end_there_twice(self):
        # Else the item whose upstream exited after its last event never ends.
        cases = [
            # Last event, id of an earlier empty end, process, failure, noted.
            (7, None, True, _BEFORE, 7),
            (7, 7, True, None, 7),
            (7, 5, True, _BEFORE, 7),
            (7, 7, False, _BEFORE, 7),
            (None, None, True, _BEFORE, None),
        ]
        for last, earlier, is_serving, failure, noted in cases:
            _, reason, stream = self._read(
                _CONNECTION_END, [], last, earlier, is_serving
            )
            self.assertEqual((failure, noted), (reason, stream.empty_end_id))
