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
