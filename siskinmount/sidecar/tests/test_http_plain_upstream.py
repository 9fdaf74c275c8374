"""Tests of the client of a plain service against given bytes."""

import testtools

from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _http_plain_upstream
from siskinmount.sidecar import _run_request
from siskinmount.transport.tests import raw_server

_HEAD = b'HTTP/1.1 200 OK\r\n'
_EVENTS = _HEAD + b'content-type: text/event-stream; charset=utf-8\r\n\r\n'
_CHUNKED_EVENTS = (
    _HEAD
    + b'content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n'
)
_EVENT = b'id: 1\ndata: x\n\n'


class HttpPlainUpstreamTest(testtools.TestCase):

    def _read(self, response, exits=False):
        """Returns the body and the last frame, or the failure in its place."""

        async def run(address):
            upstream = _http_plain_upstream.create_http_plain_upstream(address)
            stream = await upstream.start(
                'r', _run_request.PlainBody(method='GET', target='/')
            )
            body = b''
            while True:
                frames = await stream.receive()
                if isinstance(frames, results.Failure):
                    stream.close()
                    return body, frames
                for frame in frames:
                    if isinstance(frame, relay.BodyFrame):
                        body += frame.data
                    if isinstance(frame, relay.EndFrame):
                        stream.close()
                        return body, frame

        return raw_server.run_against(response, run, exits=exits)

    def test_response_names_the_rate_that_the_service_accepts(self):
        seen = []

        async def run(address):
            upstream = _http_plain_upstream.create_http_plain_upstream(
                address, lambda headers, sent_at_s: seen.append(headers)
            )
            stream = await upstream.start(
                'r', _run_request.PlainBody(method='GET', target='/')
            )
            stream.close()

        raw_server.run_against(
            _HEAD + b'X-Max-Requests-Per-S: 2.5\r\n\r\n', run
        )
        self.assertIn((b'x-max-requests-per-s', b'2.5'), seen[0])

    def test_event_stream_that_is_broken_off_is_a_failure(self):
        cases = [
            # Response, body, whether it is complete.
            (_EVENTS + _EVENT, _EVENT, True),
            (_EVENTS + _EVENT + b'id: 2\n', _EVENT + b'id: 2\n', False),
            (_EVENTS, b'', False),
            (_CHUNKED_EVENTS + b'0\r\n\r\n', b'', True),
            (_HEAD + b'\r\nplain', b'plain', True),
        ]
        for response, expected_body, is_complete in cases:
            body, last = self._read(response)
            self.assertEqual(expected_body, body, response)
            self.assertEqual(
                is_complete, isinstance(last, relay.EndFrame), response
            )

    def test_unframed_response_of_a_service_that_exits_is_a_failure(self):
        # What was sent before the exit may be a part of the response.
        for response in (_EVENTS + _EVENT, _HEAD + b'\r\nplain'):
            _, last = self._read(response, exits=True)
            self.assertIsInstance(last, results.Failure, response)

    def test_framed_response_of_a_service_that_exits_is_complete(self):
        for response in (
            _CHUNKED_EVENTS + b'0\r\n\r\n',
            _HEAD + b'content-length: 5\r\n\r\nplain',
        ):
            _, last = self._read(response, exits=True)
            self.assertIsInstance(last, relay.EndFrame, response)
