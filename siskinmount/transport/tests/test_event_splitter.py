"""Tests of blocks of a stream that are no events."""

import testtools

from siskinmount.transport import _event_splitter

_MAX_BYTES = _event_splitter.MAX_EVENT_BYTES


class EventSplitterTest(testtools.TestCase):

    def test_bytes_between_two_events_are_bounded(self):
        for piece in (b':\n\n', b'\n\n', b'data: a'):
            splitter = _event_splitter.create_event_splitter()
            splitter.split(piece * (_MAX_BYTES // len(piece)))
            self.assertFalse(splitter.is_overlong, piece)
            splitter.split(piece)
            self.assertTrue(splitter.is_overlong, piece)
            splitter.split(b'\n\nid: 1\n\n')
            self.assertFalse(splitter.is_overlong, piece)

    def test_blocks_without_a_known_field_are_foreign(self):
        cases = [
            (b'id: 1\ndata: a\n\n', False),
            (b': comment\n\n', False),
            (b'\n\n', False),
            (b'x-weight-versions: 3\nid: 1\n\n', False),
            (b'data\n\n', False),
            (b'garbage\n\n', True),
            (b'ident: 1\n\n', True),
        ]
        for data, expected in cases:
            splitter = _event_splitter.create_event_splitter()
            (event,) = splitter.split(data)
            self.assertEqual(expected, event.is_foreign, data)

    def test_blank_lines_and_comments_are_one_event_however_many(self):
        # Guards against a flood of them that holds the process.
        for piece in (b'\n\n', b'\r\n\r\n', b':\n\n', b': a\n\n\n'):
            splitter = _event_splitter.create_event_splitter()
            flood = piece * 20_000
            events = splitter.split(flood + b'id: 1\ndata: a\n\n')
            self.assertEqual(2, len(events), piece)
            self.assertEqual(flood, events[0].raw)
            self.assertFalse(events[0].has_fields)
            self.assertEqual(1, events[1].event_id)

    def test_events_are_the_same_however_they_are_cut(self):
        data = (
            b'id: 1\ndata: a\n\n\n\n: c\n: d\n\nid: 2\r\ndata: b\r\n\r\n'
            b': e\nid: 3\n\n\r\n\n'
        )
        for size in range(1, len(data) + 1):
            splitter = _event_splitter.create_event_splitter()
            events = []
            for begin in range(0, len(data), size):
                events += splitter.split(data[begin : begin + size])
            raw = b''.join(event.raw for event in events)
            self.assertEqual(data, raw + splitter.remainder)
            ids = [event.event_id for event in events if event.has_fields]
            self.assertEqual([1, 2, 3], ids, size)

    def test_id_that_is_too_long_for_a_number_counts_as_none(self):
        for digits, expected in (
            (b'9' * 15, 10**15 - 1),
            (b'9' * 16, None),
            (b'9' * 5000, None),
        ):
            splitter = _event_splitter.create_event_splitter()
            (event,) = splitter.split(b'id: ' + digits + b'\n\n')
            self.assertEqual(expected, event.event_id)
