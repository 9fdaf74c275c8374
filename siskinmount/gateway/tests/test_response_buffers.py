"""Tests of the bound on the memory of responses that are read whole."""

import testtools

from siskinmount.gateway import _response_buffers


class ResponseBuffersTest(testtools.TestCase):

    def test_memory_is_bounded_and_given_back(self):
        buffers = _response_buffers.create_response_buffers()
        half = _response_buffers.MAX_BUFFERED_BYTES // 2
        self.assertTrue(buffers.reserve(half))
        self.assertTrue(buffers.reserve(half))
        self.assertFalse(buffers.reserve(1))
        buffers.release(half)
        self.assertTrue(buffers.reserve(half))
