"""Tests of upstreams that answer with an error where a stream is to go on."""

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness
from siskinmount.transport.tests import scripted_server
from standins import event_engine

_ERROR_TEXT = b'upstream error'
_SENT = b''.join(event_engine.make_event('q1', number) for number in (1, 2))
_HEAD = b'x-request-id: {id}\r\nx-server-seal: s\r\n'
_EVENTS_HEAD = (
    b'HTTP/1.1 200 OK\r\n' + _HEAD + b'content-type: text/event-stream\r\n'
)
_CHUNKED_HEAD = _EVENTS_HEAD + b'transfer-encoding: chunked\r\n\r\n'
_UNFRAMED_HEAD = _EVENTS_HEAD + b'connection: close\r\n\r\n'


def _make_chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


_BEGINNINGS = (
    _CHUNKED_HEAD + _make_chunk(_SENT),
    _UNFRAMED_HEAD + _SENT + event_engine.make_event('q1', 3)[:9],
)


def _make_error(status, content_type=b'text/plain', body=_ERROR_TEXT):
    return (
        b'HTTP/1.1 %d Answer\r\n%bcontent-type: %b\r\ncontent-length: %d\r\n\r\n%b'
        % (
            status,
            _HEAD,
            content_type,
            len(body),
            body,
        )
    )


_EVENT_BODY = b'event: error\ndata: upstream error\n\n'
_ERRORS = [
    *[_make_error(status) for status in (200, 204, 400, 404, 422, 500, 502)],
    *[_make_error(status) for status in (429, 503, 504)],
    _make_error(500, b'text/event-stream', _EVENT_BODY),
    _make_error(200, b'text/event-stream', _EVENT_BODY),
    _make_error(200, b'text/event-stream', b'data: upstream error\n\n'),
    _make_error(200, b'application/json', b'{"error": "upstream error"}'),
    # Another head where the body is due.
    _CHUNKED_HEAD + _make_error(500),
    _CHUNKED_HEAD + _make_chunk(_make_error(500)) + b'0\r\n\r\n',
    _UNFRAMED_HEAD + _make_error(500),
    _UNFRAMED_HEAD + b'id: 3\n' + _make_error(500),
    # No HTTP at all.
    _ERROR_TEXT + b'\r\n\r\n',
    b'',
]


class ErrorWithinStreamTest(testtools.TestCase):

    def _call(self, answers):
        """Returns what a caller gets if upstreams give these answers in turn."""
        seen = []

        async def main(fleet):
            async with trio.open_nursery() as nursery:
                for engine_id in ('e1', 'e2', 'e3'):
                    server = scripted_server.ScriptedServer(answers)
                    await nursery.start(server.run)
                    fleet.list_engine(engine_id, 'model', server.address)
                answer = None
                while answer is None or answer.status == 503:
                    answer = await fleet.call(
                        0, 'POST', '/stream/x', b'p', x_request_id='q1'
                    )
                seen.append(answer)
                nursery.cancel_scope.cancel()

        gateway_harness.run_fleet(main, engines=())
        return seen[0]

    def test_caller_gets_only_events_and_no_false_end(self):
        for number, error in enumerate(_ERRORS):
            answer = self._call([_BEGINNINGS[number % 2], error])
            self.assertEqual(200, answer.status, error)
            self.assertEqual(_SENT, answer.body, error)
            self.assertFalse(answer.is_whole, error)

    def test_stream_goes_on_after_an_error_of_another_upstream(self):
        rest = b''.join(
            event_engine.make_event('q1', number) for number in (3, 4)
        )
        refusal = _make_error(503).replace(b'\r\n', b'\r\nx-not-run: 1\r\n', 1)
        end = _CHUNKED_HEAD + _make_chunk(rest) + b'0\r\n\r\n'
        answer = self._call([_BEGINNINGS[0], refusal, end])
        self.assertEqual(_SENT + rest, answer.body)
        self.assertTrue(answer.is_whole)
