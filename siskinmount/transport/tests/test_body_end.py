"""Tests of how the HTTP client takes the end of a response's body."""

import testtools

from siskinmount import results
from siskinmount import transport
from siskinmount.transport.tests import raw_server

_HEAD = b'HTTP/1.1 200 OK\r\n'
_UNFRAMED = _HEAD + b'\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
_LENGTH = _HEAD + b'content-length: 4\r\n\r\n'
_LOST = results.ResultCode.UPSTREAM_LOST


class BodyEndTest(testtools.TestCase):

    def _read(self, response, is_reset=False, read=None, method='GET'):
        """Returns what `read(exchange)` returns, and the framing."""

        async def call(address):
            client = transport.create_http_client(address)
            request = transport.ClientRequest(method, '/')
            with await client.send(request) as exchange:
                return await read(exchange), exchange.body_framing

        return raw_server.run_against(response, call, is_reset)

    def test_end_of_a_body(self):
        framings = transport.BodyFraming
        cases = [
            # Bytes, whether they are reset, framing, body or code.
            (_UNFRAMED + b'body', False, framings.CONNECTION_END, b'body'),
            (_UNFRAMED + b'body', True, framings.CONNECTION_END, _LOST),
            (_UNFRAMED, False, framings.CONNECTION_END, b''),
            (_LENGTH + b'body', False, framings.LENGTH, b'body'),
            (_LENGTH + b'bod', False, framings.LENGTH, _LOST),
            (
                _CHUNKED + b'4\r\nbody\r\n0\r\n\r\n',
                False,
                framings.CHUNKED,
                b'body',
            ),
            (_CHUNKED + b'4\r\nbody\r\n0\r\n', False, framings.CHUNKED, _LOST),
            (_CHUNKED + b'4\r\nbody\r\n', False, framings.CHUNKED, _LOST),
            (_CHUNKED + b'4\r\nbo', False, framings.CHUNKED, _LOST),
        ]
        for response, is_reset, framing, expected in cases:
            outcome, given_framing = self._read(
                response, is_reset, lambda exchange: exchange.read_body(100)
            )
            if isinstance(outcome, results.Failure):
                outcome = outcome.code
            self.assertEqual(expected, outcome, (response, is_reset))
            self.assertIs(framing, given_framing)

    def test_body_that_was_broken_off_has_no_end_when_read_again(self):
        async def read_twice(exchange):
            return [await exchange.read_body(100) for _ in range(2)]

        for body in (b'4\r\nbody\r\n', b'zz\r\n'):
            outcomes, _ = self._read(_CHUNKED + body, read=read_twice)
            for outcome in outcomes:
                self.assertIsInstance(outcome, results.Failure)

    def test_response_to_head_has_no_body(self):
        outcome, framing = self._read(
            _UNFRAMED,
            read=lambda exchange: exchange.read_body(100),
            method='HEAD',
        )
        self.assertEqual(b'', outcome)
        self.assertIs(transport.BodyFraming.LENGTH, framing)

    def test_keep_alive_timeout_that_no_float_holds_is_not_believed(self):
        # Guards against an error in the task of the request.
        response = (
            _HEAD + b'content-length: 4\r\nkeep-alive: timeout=%b\r\n\r\n'
        )
        outcome, _ = self._read(
            response % (b'9' * 400) + b'body',
            read=lambda exchange: exchange.read_body(100),
        )
        self.assertEqual(b'body', outcome)
