"""Tests of the control client against the control server."""

import socket

import testtools
import trio

from siskinmount import results
from siskinmount import rpc
from siskinmount import transport


class _Handlers:

    def __init__(self):
        self.heartbeats = []
        self.release = trio.Event()

    async def heartbeat(self, request):
        self.heartbeats.append(request.sender.vm)
        return rpc.HeartbeatReply(replier=rpc.Member(vm='e1'))

    async def get_configuration(self, request):
        return results.Failure(
            results.ResultCode.NO_CONFIGURATION,
            'none yet',
            results.RunState.RAN,
            retry_after_ms=250,
        )

    async def get_status(self, request):
        await self.release.wait()
        return rpc.StatusReply(details=b'{}')

    async def get_histograms(self, request):
        raise ValueError('broken handler')


class ControlCallsTest(testtools.TestCase):

    def run_with_server(self, check, deadlines=None):
        """Runs `check(client, handlers, server)` against a running server."""

        async def main():
            handlers = _Handlers()
            server = rpc.create_control_server(handlers)
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    client = rpc.create_control_client(address, deadlines)
                    await check(client, handlers, server)
                    client.close()
                    server.stop()

        trio.run(main)

    def test_heartbeat_returns_reply(self):
        async def check(client, handlers, server):
            request = rpc.HeartbeatRequest(sender=rpc.Member(vm='s1'))
            for _ in range(3):
                reply = await client.heartbeat(request)
                self.assertEqual('e1', reply.replier.vm)
            self.assertEqual(['s1'] * 3, handlers.heartbeats)

        self.run_with_server(check)

    def test_all_fields_of_a_failure_are_transmitted(self):
        async def check(client, handlers, server):
            failure = await client.get_configuration(rpc.ConfigurationRequest())
            self.assertEqual(
                (
                    results.ResultCode.NO_CONFIGURATION,
                    'none yet',
                    results.RunState.RAN,
                    250,
                ),
                (
                    failure.code,
                    failure.reason,
                    failure.run_state,
                    failure.retry_after_ms,
                ),
            )

        self.run_with_server(check)

    def test_exception_in_handler_is_a_failure(self):
        async def check(client, handlers, server):
            failure = await client.get_histograms()
            self.assertEqual(results.ResultCode.INTERNAL, failure.code)

        self.run_with_server(check)

    def test_stop_waits_for_calls_in_progress(self):
        async def check(client, handlers, server):
            replies = []

            async def call():
                replies.append(await client.get_status())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.2)
                server.stop()
                await trio.sleep(0.1)
                handlers.release.set()
            self.assertEqual(b'{}', replies[0].details)

        self.run_with_server(check)

    def test_cancelled_server_fails_waiting_calls(self):
        async def main():
            handlers = _Handlers()
            server = rpc.create_control_server(handlers)
            outcomes = []
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    client = rpc.create_control_client(address)

                    async def call():
                        with trio.CancelScope(shield=True):
                            outcomes.append(await client.get_status())

                    nursery.start_soon(call)
                    await trio.sleep(0.2)
                    nursery.cancel_scope.cancel()
            client.close()
            self.assertIsInstance(outcomes[0], results.Failure)

        trio.run(main)

    def test_cancelled_call_leaves_client_usable(self):
        async def check(client, handlers, server):
            with trio.move_on_after(0.2):
                await client.get_status()
            reply = await client.heartbeat(rpc.HeartbeatRequest())
            self.assertEqual('e1', reply.replier.vm)

        self.run_with_server(check)

    def test_more_calls_than_workers_are_all_answered(self):
        async def check(client, handlers, server):
            replies = []

            async def call():
                replies.append(await client.heartbeat(rpc.HeartbeatRequest()))

            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(call)
            self.assertEqual({'e1'}, {reply.replier.vm for reply in replies})

        self.run_with_server(
            check, rpc.ControlDeadlines(heartbeat_timeout_ms=10_000)
        )

    def test_closed_port_is_reported_as_unreachable(self):
        async def main():
            with socket.socket() as unused:
                unused.bind(('127.0.0.1', 0))
                port = unused.getsockname()[1]
            client = rpc.create_control_client(
                transport.Address('127.0.0.1', port)
            )
            with trio.fail_after(20):
                failure = await client.heartbeat(rpc.HeartbeatRequest())
            client.close()
            self.assertEqual(
                results.ResultCode.UPSTREAM_UNREACHABLE, failure.code
            )

        trio.run(main)

    def test_unresponsive_connection_is_replaced(self):
        async def check(client, handlers, server):
            proxy = _TcpProxy(client.address)
            async with trio.open_nursery() as nursery:
                address = await nursery.start(proxy.run)
                proxied = rpc.create_control_client(
                    address, rpc.ControlDeadlines(heartbeat_timeout_ms=500)
                )
                request = rpc.HeartbeatRequest()
                self.assertIsInstance(
                    await proxied.heartbeat(request), rpc.HeartbeatReply
                )
                proxy.drop_bytes_of_open_connections()
                failure = await proxied.heartbeat(request)
                self.assertEqual(
                    results.ResultCode.UPSTREAM_SILENT, failure.code
                )
                self.assertIsInstance(
                    await proxied.heartbeat(request), rpc.HeartbeatReply
                )
                proxied.close()
                nursery.cancel_scope.cancel()

        self.run_with_server(check)


class _TcpProxy:
    """A TCP proxy that can drop all bytes of its open connections."""

    def __init__(self, target):
        self._target = target
        self._generation = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        host, port = listeners[0].socket.getsockname()
        task_status.started(transport.Address(host, port))
        await trio.serve_listeners(self._forward, listeners)

    def drop_bytes_of_open_connections(self):
        self._generation += 1

    async def _forward(self, client):
        generation = self._generation
        server = await trio.open_tcp_stream(
            self._target.host, self._target.port
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, server, generation)
            nursery.start_soon(self._copy, server, client, generation)

    async def _copy(self, source, target, generation):
        try:
            async for data in source:
                if generation == self._generation:
                    await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
