"""Tests that malformed or unusual run requests do not break a sidecar."""

import hypothesis
from hypothesis import strategies
import testtools
import trio

from siskinmount import configuration
from siskinmount import sidecar
from siskinmount import transport
from siskinmount.sidecar.tests import fakes

_DEEP = b'[' * 900 + b']' * 900
_VALUES = (
    b'null', b'true', b'0', b'-1', b'18446744073709551615', b'1e300', b'""',
    b'"GET"', b'"/x"', b'"a b"', b'"a\\r\\nb: c"', b'"\\u20ac"', b'"\\u0000"',
    b'"AA=="', b'[]', b'{}', b'["a", 1]', b'[["a", "b"]]', b'[["a b", "c"]]',
    b'[["a", "b\\r\\nc: d"]]', b'[["\\u20ac", "b"]]', b'[["host", "\\u20ac"]]',
    b'[["content-length", "9"], ["transfer-encoding", "x"]]',
    b'[{"role": "user", "content": "x"}]', b'[{"role": 1}]', _DEEP,
)  # fmt: skip
_FIELDS = (
    'prompt', 'messages', 'max_tokens', 'resume_tokens', 'method', 'target',
    'headers', 'body',
)  # fmt: skip
_HEADER_VALUES = (
    b'', b'0', b'1', b'-1', b'9' * 4000, b'9' * 5000, b'\xff', b'online',
    b'batch', b'1e9',
)  # fmt: skip
_HEADERS = (
    b'x-attempt', b'x-deadline-ms', b'x-class', b'x-solo', b'x-from-token',
    b'x-attach-only', b'x-fingerprint', b'x-caller',
)  # fmt: skip
_BODIES = strategies.binary(max_size=20) | strategies.dictionaries(
    strategies.sampled_from(_FIELDS),
    strategies.sampled_from(_VALUES),
    max_size=4,
).map(
    lambda fields: b'{%b}'
    % b','.join(b'"%b":%b' % (k.encode(), v) for k, v in fields.items())
)
_REQUESTS = strategies.tuples(
    _BODIES,
    strategies.dictionaries(
        strategies.sampled_from(_HEADERS),
        strategies.sampled_from(_HEADER_VALUES),
        max_size=2,
    ),
)


async def _serve_model(exchange):
    await exchange.read_body()
    await exchange.start_stream(200, [])
    await exchange.send_chunk(b'data: {"index": 0, "text": "t"}\n\n')
    await exchange.send_chunk(
        b'data: {"finish_reason": "stop", "prompt_tokens": 1,'
        b' "completion_tokens": 1}\n\ndata: [DONE]\n\n'
    )
    await exchange.finish()


async def _serve_plain(exchange):
    await exchange.read_body()
    await exchange.send_whole(200, [], b'ok')


class RunMessagesTest(testtools.TestCase):

    def run_requests(self, kind, requests):
        async def main():
            handle = _serve_model
            if kind is configuration.ServiceKind.PLAIN:
                handle = _serve_plain
            server = transport.create_http_server(handle)
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    daemon = await nursery.start(
                        sidecar.run_sidecar, fakes.create_settings(address)
                    )
                    await daemon.monitor.became_reachable.wait()
                    client = transport.create_http_client(daemon.address)
                    for number, (body, headers) in enumerate(requests):
                        await self._send(client, number, body, headers)
                    answer = await client.send(
                        transport.ClientRequest('GET', '/healthz')
                    )
                    self.assertEqual(200, answer.status)
                    nursery.cancel_scope.cancel()

        with self.assertNoLogs('siskinmount.transport', 'ERROR'):
            trio.run(main)

    async def _send(self, client, number, body, headers):
        request = transport.ClientRequest(
            'POST',
            '/run/model-service',
            [(b'x-request-id', b'r%d' % number), *headers.items()],
            body,
        )
        exchange = await client.send(request)
        self.assertIsInstance(exchange, transport.ClientExchange)
        with exchange:
            self.assertIn(exchange.status, (200, 400, 404, 503))
            with trio.move_on_after(0.02):
                await exchange.receive_chunk()

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(
        strategies.sampled_from(list(configuration.ServiceKind)),
        strategies.lists(_REQUESTS, min_size=1, max_size=5),
    )
    def test_any_requests_leave_the_sidecar_working(self, kind, requests):
        self.run_requests(kind, requests)

    def test_unusual_plain_requests(self):
        bodies = []
        for value in _VALUES:
            bodies.append(b'{"method":%b,"target":"/x"}' % value)
            bodies.append(b'{"method":"GET","target":%b}' % value)
            bodies.append(
                b'{"method":"GET","target":"/x","headers":%b}' % value
            )
            bodies.append(b'{"method":"GET","target":"/x","body":%b}' % value)
        self.run_requests(
            configuration.ServiceKind.PLAIN, [(body, {}) for body in bodies]
        )

    def test_unusual_model_requests(self):
        bodies = []
        for value in _VALUES:
            for name in (b'prompt', b'messages', b'max_tokens'):
                bodies.append(b'{"prompt":"x","%b":%b}' % (name, value))
            bodies.append(b'{"prompt":"x","resume_tokens":%b}' % value)
            bodies.append(b'{"messages":%b}' % value)
        self.run_requests(
            configuration.ServiceKind.MODEL, [(body, {}) for body in bodies]
        )
