"""Tests of calls to the owner of a state stream."""

import testtools

from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _stream_owner_client
from siskinmount.transport.tests import raw_server

_HEAD = b'HTTP/1.1 200 OK\r\n'


class _Member:

    def __init__(self, address):
        self.peers_address = address


class _Members:

    def __init__(self, address):
        self._member = _Member(address)

    def find(self, vm):
        return self._member


class StreamOwnerClientTest(testtools.TestCase):

    def test_page_of_unknown_length_is_not_taken_for_complete(self):
        cases = [
            (_HEAD + b'content-length: 4\r\n\r\n1\n2\n', b'1\n2\n'),
            (_HEAD + b'content-length: 4\r\n\r\n1\n', None),
            (_HEAD + b'\r\n1\n', None),
        ]

        async def send(address):
            client = _stream_owner_client.StreamOwnerClient(
                None, _Members(address), transport.ClientLimits(), 1
            )
            return await client.send_to(
                'vm-1', transport.ClientRequest('POST', '/jobs/j/results')
            )

        for response, expected in cases:
            body = raw_server.run_against(response, send)
            if isinstance(body, results.Failure):
                body = None
            self.assertEqual(expected, body, response)
