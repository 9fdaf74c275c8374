"""Tests of a gateway process against crowds of clients that keep to no limit.

They guard against an end of the process by lack of memory or descriptors, and
against a process that serves nobody else meanwhile. Each test has the machine to
itself: see `untrusted_clients.hold_machine` and the target `test` of the
Makefile.
"""

import itertools

import pytest
import testtools

from siskinmount.gateway.tests import untrusted_clients as crowds

pytestmark = pytest.mark.serial

_LARGE_CHUNK = b'x' * crowds.LARGE_CHUNK_BYTES
_CHUNKS_TO_LIMIT = crowds.BODY_LIMIT_BYTES // crowds.LARGE_CHUNK_BYTES
#: Bytes that are sent beyond the limit, in chunks of the size above.
_CHUNKS_BEYOND = 2 * _CHUNKS_TO_LIMIT


def _stops_short(number):
    return number % crowds.STOPPING_GROUP != 0


class UntrustedClientsTest(testtools.TestCase):

    def check_crowd(self, count, choose_phases):
        """Sends what a crowd sends, and checks the gateway."""

        async def check(crowd):
            await crowd.send_all(count, choose_phases)
            status = await crowd.send_ordinary()
            await crowd.settle()
            self.assertIsNone(crowd.process.exit_status, 'the process ended')
            self.assertNotIn(b'"child_failed"', crowd.process.log)
            peak_bytes = crowd.read_peak_bytes()
            descriptors, sockets = crowd.count_descriptors()
            found = (
                f'ordinary request: {status}, peak {peak_bytes / 1e6:.1f} MB,'
                f' {descriptors} descriptors, {sockets} of them sockets'
            )
            print(found)
            self.assertLess(peak_bytes, crowds.MEMORY_MB * crowds.MIB, found)
            self.assertLessEqual(
                sockets,
                crowds.MAX_DESCRIPTORS - crowds.FILE_DESCRIPTORS,
                found,
            )
            self.assertLess(descriptors, crowds.MAX_DESCRIPTORS, found)
            self.assertEqual(200, status, found)

        crowds.run_crowd(check)

    def test_bodies_announced_far_over_the_limit(self):
        """Guards against bodies that are read although they are too large."""
        head = crowds.encode_announcing_head(10**12)

        def choose_phases(number):
            return [
                [head, *[_LARGE_CHUNK] * (_CHUNKS_TO_LIMIT - 1)],
                [_LARGE_CHUNK] * _CHUNKS_BEYOND,
            ]

        self.check_crowd(crowds.CLIENTS, choose_phases)

    def test_bodies_sent_far_over_the_limit(self):
        """Guards against the sum of bodies that announce no size."""
        head = crowds.encode_chunked_head()
        chunk = crowds.encode_chunk(_LARGE_CHUNK)

        def choose_phases(number):
            return [
                [head, *[chunk] * (_CHUNKS_TO_LIMIT - 1)],
                [chunk] * _CHUNKS_BEYOND,
            ]

        self.check_crowd(crowds.CLIENTS, choose_phases)

    def test_announced_bodies_that_stop_just_short_of_their_end(self):
        """Guards against stalled bodies within the limit that add up."""
        head = crowds.encode_announcing_head(crowds.BODY_LIMIT_BYTES)
        body = b'x' * crowds.BODY_LIMIT_BYTES

        def choose_phases(number):
            size = crowds.BODY_LIMIT_BYTES - _stops_short(number)
            return [[head, memoryview(body)[:size]]]

        self.check_crowd(crowds.CLIENTS, choose_phases)

    def test_large_chunks_that_stop_just_short_of_their_end(self):
        """Guards against stalled bodies without a size that add up."""
        head = crowds.encode_chunked_head()
        chunk = crowds.encode_chunk(_LARGE_CHUNK)

        def choose_phases(number):
            # Those that stop short lack only the last, empty chunk.
            last = [] if _stops_short(number) else [b'0\r\n\r\n']
            return [[head, *[chunk] * _CHUNKS_TO_LIMIT, *last]]

        self.check_crowd(crowds.CLIENTS, choose_phases)

    def test_one_byte_chunks_that_stop_just_short_of_their_end(self):
        """Guards against the overhead of chunks, in memory and in time."""
        head = crowds.encode_chunked_head()
        chunks = crowds.encode_chunk(b'x') * crowds.ONE_BYTE_CHUNKS

        def choose_phases(number):
            last = [] if _stops_short(number) else [b'0\r\n\r\n']
            return [[head, chunks, *last]]

        self.check_crowd(crowds.CLIENTS, choose_phases)

    def test_connections_that_send_nothing(self):
        """Guards against connections that use up all descriptors."""
        beginnings = itertools.cycle([[], [b'POST /plain/x HT']])

        def choose_phases(number):
            return [next(beginnings)]

        self.check_crowd(crowds.CONNECTIONS, choose_phases)
