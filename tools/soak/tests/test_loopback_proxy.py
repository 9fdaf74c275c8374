"""Tests of the proxy that disturbs connections of a soak."""

import testtools
import trio

from siskinmount import transport
from tools.soak import _loopback_proxy


class LoopbackProxyTest(testtools.TestCase):

    def test_connection_that_was_reset_is_not_reset_again(self):
        async def main():
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    listeners = await trio.open_tcp_listeners(
                        0, host='127.0.0.1'
                    )
                    port = listeners[0].socket.getsockname()[1]
                    proxy = _loopback_proxy.LoopbackProxy(
                        transport.Address('127.0.0.1', port)
                    )
                    await nursery.start(proxy.run)
                    caller = await trio.open_tcp_stream(
                        proxy.address.host, proxy.address.port
                    )
                    server = await listeners[0].accept()
                    # The proxy then reads from the caller no more.
                    await caller.send_eof()
                    await trio.sleep(0.1)
                    proxy.reset_connections()
                    await trio.sleep(0.1)
                    proxy.reset_connections()
                    await server.aclose()
                    nursery.cancel_scope.cancel()

        trio.run(main)
