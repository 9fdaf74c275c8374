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
