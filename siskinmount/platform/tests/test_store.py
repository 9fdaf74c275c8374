"""Tests of the store's client against given bytes."""

import struct

import testtools

from siskinmount import keyed_log
from siskinmount import platform
from siskinmount import results
from siskinmount import telemetry
from siskinmount.transport.tests import raw_server

_UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
_ITEM = b'{"key": "a", "value": "eA==", "offset": 3}'


def _record(key, value):
    content = bytes((len(key),)) + key + value
    return struct.pack('>I', len(content)) + content


class StoreTest(testtools.TestCase):

    def _call(self, response, call):
        async def run(address):
            store = platform.create_store(address, telemetry.create_metrics())
            return await call(store.open_log('keyed.t', 0))

        return raw_server.run_against(response, run)

    def test_page_that_announces_more_is_not_taken_for_the_last(self):
        # Guards against dropping keys that an incomplete list leaves out.
        cases = [
            (b'{"items": [%b], "has_more": false, "end_offset": 9}', True),
            (b'{"items": [%b], "has_more": true, "end_offset": 9}', False),
        ]
        for items in (b'', b'{}', _ITEM):
            for text, is_complete in cases:
                page = self._call(
                    _UNFRAMED + text % items, lambda log: log.read_newest()
                )
                self.assertEqual(
                    is_complete, not isinstance(page, results.Failure), text
                )

    def test_page_of_records_that_is_broken_off_shows_that_more_follow(self):
        whole = struct.pack('>QQ', 2, 0) + _record(b'a', b'1') * 2
        for size in range(len(whole) + 1):
            page = self._call(
                _UNFRAMED + whole[:size], lambda log: log.read(0, 0)
            )
            if size < 16:
                self.assertIsInstance(page, results.Failure)
                continue
            self.assertIsInstance(page, keyed_log.LogPage)
            self.assertEqual(2, page.end_offset)
            self.assertEqual((size - 16) // 7, len(page.records))

    def test_end_that_is_broken_off_shows_that_more_follow(self):
        # Guards against a proof that a log has no further records by an answer
        # whose records are missing, or that says nothing of its end.
        whole = struct.pack('>QQ', 2, 0) + _record(b'a', b'1') * 2
        for size in range(len(whole) + 1):
            page = self._call(
                _UNFRAMED + whole[:size], lambda log: log.read_end(0)
            )
            if size < 16:
                self.assertIsInstance(page, results.Failure)
                continue
            self.assertEqual(2, page.end_offset)
            self.assertEqual((size - 16) // 7, len(page.records))
        for status in (b'429 Busy', b'503 Busy', b'410 Gone'):
            page = self._call(
                b'HTTP/1.1 %b\r\ncontent-length: 16\r\n\r\n' % status
                + struct.pack('>QQ', 0, 0),
                lambda log: log.read_end(0),
            )
            self.assertFalse(isinstance(page, keyed_log.LogPage), status)

    def test_answer_of_another_append_is_not_taken_for_this_one(self):
        # A server may send a second copy of an answer, late, on a connection
        # that is in use again.
        record = keyed_log.KeyedRecord('k', b'v')
        cases = [
            # Offset that the append is conditional on, whether it is known.
            (5, True),
            (None, True),
            (4, False),
            (6, False),
        ]
        for at_offset, is_known in cases:
            body = b'{"offset": 5, "end_offset": 6}'
            outcome = self._call(
                b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'
                % (len(body), body),
                lambda log, at=at_offset: log.append([record], at),
            )
            if is_known:
                self.assertEqual(5, outcome)
                continue
            self.assertIs(results.RunState.UNKNOWN, outcome.run_state)

    def test_keys_that_are_no_text_do_not_hide_other_records(self):
        # Another writer may have written them; a header cannot hold them.
        odd_items = (
            b'{"key": "\\ud800", "value": "eA==", "offset": 1}',
            b'{"key": "\\udcff\\udcfe", "value": "eA==", "offset": 1}',
            b'{"key": "\\ufffd", "value": "eA==", "offset": 1}',
            b'{"key": 7, "value": "eA==", "offset": 1}',
            b'{"key": "b", "value": "eA==", "offset": true}',
            b'{"key": "b", "value": "eA==", "offset": 1e400}',
        )
        for odd in odd_items:
            text = b'{"items": [%b, %b], "has_more": false, "end_offset": 9}'
            page = self._call(
                _UNFRAMED + text % (odd, _ITEM), lambda log: log.read_newest()
            )
            self.assertIsInstance(page, keyed_log.LogPage, odd)
            keys = [record.key for record in page.records]
            self.assertEqual('a', keys[-1], odd)
            for key in keys[:-1]:
                self.assertIn('\ufffd', key)

    def test_record_whose_key_is_no_text_has_a_key_that_says_so(self):
        body = struct.pack('>QQ', 2, 0) + _record(b'\xff\xfe\x81', b'1')
        page = self._call(
            _UNFRAMED + body + _record(b'a', b'1'), lambda log: log.read(0, 0)
        )
        odd, sound = page.records
        self.assertIn('\ufffd', odd.key)
        self.assertEqual(('a', 1), (sound.key, sound.offset))

    def test_page_without_end_of_nesting_is_a_failure(self):
        for body in (b'[' * 200_000, b'{"items": ' + b'[' * 200_000):
            page = self._call(_UNFRAMED + body, lambda log: log.read_newest())
            self.assertIsInstance(page, results.Failure)
