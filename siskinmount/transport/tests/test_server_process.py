"""Tests of what a client finds out about the process behind a response."""

import contextlib
import os
import resource
import socket
import struct

import testtools
import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.transport import _http_client

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_SETTLE_S = 0.02
_STATES = transport.ServerProcess


class _Process:
    """A server that ends as a process does: with all its connections."""

    def __init__(self):
        self.port = 0
        self.accepted = 0
        self.scope = trio.CancelScope()
        self.may_answer = trio.Event()
        self.may_finish = trio.Event()
        self.finished = trio.Event()

    async def run(self, port=0, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until the scope is cancelled, on a port of its choice or not."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(
                    port, host='127.0.0.1'
                )
                self.port = listeners[0].socket.getsockname()[1]
                task_status.started()
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )

    async def _serve(self, stream):
        self.accepted += 1
        with contextlib.suppress(trio.BrokenResourceError):
            async with stream:
                if not await stream.receive_some(4096):
                    return
                await self.may_answer.wait()
                await stream.send_all(_HEAD + b'part')
                await self.may_finish.wait()
            self.finished.set()


@contextlib.contextmanager
def _open_listener():
    """Yields a listener with room for one connection that waits."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        yield listener


@contextlib.contextmanager
def _fill_queue(address):
    """Has the host drop what opens more connections, as nobody accepts them."""
    with contextlib.ExitStack() as stack:
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        yield


class ServerProcessTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    process = _Process()
                    await nursery.start(process.run)
                    client = transport.create_http_client(
                        transport.Address('127.0.0.1', process.port)
                    )
                    await check(nursery, process, client)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def _send(self, process, client):
        """Returns a response that has come up to the wait for its end."""
        process.may_answer.set()
        response = await client.send(transport.ClientRequest('GET', '/'))
        self.assertEqual(b'part', await response.receive_chunk())
        return response

    async def _read_end(self, response):
        """Returns what is known of the process after the end of the body."""
        self.assertEqual(b'', await response.receive_chunk())
        state = await response.check_process(_SETTLE_S)
        response.close()
        return state

    def test_process_that_goes_on(self):
        async def check(nursery, process, client):
            # Before the first response nothing is known of its framing.
            response = await self._send(process, client)
            process.may_finish.set()
            await process.finished.wait()
            self.assertEqual(_STATES.UNKNOWN, await self._read_end(response))
            for _ in range(5):
                response = await self._send(process, client)
                self.assertEqual(
                    _STATES.SERVING, await self._read_end(response)
                )

        self._run(check)

    def test_responses_cost_a_connection_each(self):
        # As they did without the check, but for the first ones.
        async def check(nursery, process, client):
            process.may_finish.set()
            for _ in range(20):
                await self._read_end(await self._send(process, client))
            self.assertLessEqual(process.accepted, 20 + 2)

        self._run(check)

    def test_process_that_exits_in_the_middle(self):
        async def check(nursery, process, client):
            response = await self._send(process, client)
            process.scope.cancel()
            self.assertEqual(_STATES.GONE, await self._read_end(response))

        self._run(check)

    def test_process_that_is_replaced_at_its_address_at_once(self):
        # Whether the end is read as it comes, or after a freeze of the client.
        async def replace(nursery, process):
            process.scope.cancel()
            await trio.sleep(0.01)
            successor = _Process()
            await nursery.start(successor.run, process.port)

        async def check_read_at_once(nursery, process, client):
            response = await self._send(process, client)

            async def replace_soon():
                await trio.sleep(0.05)
                await replace(nursery, process)

            nursery.start_soon(replace_soon)
            self.assertEqual(b'', await response.receive_chunk())
            await trio.sleep(0.05)
            self.assertEqual(
                _STATES.CLOSED_CONNECTIONS,
                await response.check_process(_SETTLE_S),
            )

        async def check_after_freeze(nursery, process, client):
            process.may_finish.set()
            await self._read_end(await self._send(process, client))
            process.may_finish = trio.Event()
            response = await self._send(process, client)
            await replace(nursery, process)
            self.assertEqual(
                _STATES.CLOSED_CONNECTIONS, await self._read_end(response)
            )

        self._run(check_read_at_once)
        self._run(check_after_freeze)

    def test_server_that_cannot_take_more_connections(self):
        # It resets each new one, which is no sign of an exit.
        async def serve(stream):
            async with stream:
                if self.accepted:
                    stream.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack('ii', 1, 0),
                    )
                    return
                self.accepted += 1
                await stream.receive_some(4096)
                await stream.send_all(_HEAD + b'part')
                await trio.sleep(0.01)

        async def main():
            self.accepted = 0
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                client = transport.create_http_client(
                    transport.Address('127.0.0.1', port)
                )
                response = await client.send(
                    transport.ClientRequest('GET', '/')
                )
                self.assertNotIsInstance(response, results.Failure)
                self.assertEqual(b'part', await response.read_body(100))
                state = await response.check_process(_SETTLE_S)
                nursery.cancel_scope.cancel()
                return state

        self.assertEqual(_STATES.UNKNOWN, trio.run(main))

    def test_server_whose_queue_of_new_connections_is_full(self):
        # It was taken for gone as no connection could be opened, and what it
        # had sent in full for cut short.
        async def main():
            with _open_listener() as listener:
                client, response = await self._send_first(listener, 300)
                self.assertEqual(b'part', await response.read_body(100))
                with _fill_queue(listener.getsockname()):
                    return await response.check_process(_SETTLE_S)

        self.assertEqual(_STATES.UNKNOWN, trio.run(main))

    def test_response_does_not_wait_for_another_connection(self):
        # The first bytes were read only once another connection was open.
        self.patch(_http_client, 'MAX_IDLE_CONNECT_S', 60)

        async def main():
            with _open_listener() as listener:
                client, response = await self._send_first(listener, 60_000)
                # Another connection is opened meanwhile; it carries the next.
                await response.read_body(100)
                response.close()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._serve_once, listener, True)
                    await trio.sleep(0.05)
                    with trio.fail_after(5):
                        response = await client.send(
                            transport.ClientRequest('GET', '/')
                        )
                        return await response.read_body(100)

        self.assertEqual(b'part', trio.run(main))

    async def _send_first(self, listener, connect_timeout_ms):
        """Returns a client and the response to its first request."""
        client = transport.create_http_client(
            transport.Address(*listener.getsockname()),
            transport.ClientLimits(connect_timeout_ms=connect_timeout_ms),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve_once, listener)
            response = await client.send(transport.ClientRequest('GET', '/'))
        return client, response

    async def _serve_once(self, listener, fills_queue=False):
        accepted, _ = await trio.to_thread.run_sync(listener.accept)
        with contextlib.ExitStack() as stack:
            stack.enter_context(accepted)
            if fills_queue:
                stack.enter_context(_fill_queue(listener.getsockname()))
            await trio.to_thread.run_sync(accepted.recv, 4096)
            accepted.sendall(_HEAD + b'part')

    def test_client_without_descriptors_knows_nothing_of_the_server(self):
        async def check(nursery, process, client):
            response = await self._send(process, client)
            process.may_finish.set()
            await process.finished.wait()
            self.assertEqual(b'', await response.receive_chunk())
            limits = resource.getrlimit(resource.RLIMIT_NOFILE)
            used = len(os.listdir('/proc/self/fd'))
            # That of the folder is free again.
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (min(used, 8), limits[1])
            )
            try:
                state = await response.check_process(_SETTLE_S)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            self.assertEqual(_STATES.UNKNOWN, state)

        self._run(check)

    def test_server_that_keeps_no_idle_connection_gets_no_more_of_them(self):
        # Guards against a new connection for each part of a response.
        accepted = []

        async def serve(stream):
            accepted.append(stream)
            async with stream:
                if not await stream.receive_some(4096):
                    return
                await stream.send_all(
                    b'HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n\r\n'
                )
                for _ in range(20):
                    await stream.send_all(b'part')
                    await trio.sleep(0.005)

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                client = transport.create_http_client(
                    transport.Address('127.0.0.1', port)
                )
                for _ in range(3):
                    with await client.send(
                        transport.ClientRequest('GET', '/')
                    ) as response:
                        await response.read_body(1000)
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertLessEqual(len(accepted), 6)
