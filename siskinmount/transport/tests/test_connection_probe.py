"""Tests of what a connection shows of the process at an address."""

import testtools
import trio

from siskinmount import transport


class ConnectionProbeTest(testtools.TestCase):

    def test_listening_and_ended_processes_are_told_apart(self):
        outcomes = []

        async def main():
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            address = transport.Address('127.0.0.1', port)
            outcomes.append(await transport.probe_connection(address, 2000))
            await listeners[0].aclose()
            outcomes.append(await transport.probe_connection(address, 2000))

        trio.run(main)
        self.assertEqual(
            [transport.ProbeOutcome.ACCEPTED, transport.ProbeOutcome.REFUSED],
            outcomes,
        )

    def test_host_without_a_route_is_not_taken_for_a_refusal(self):
        async def main():
            # Multicast: connections to it fail without an answer of a host.
            address = transport.Address('224.0.0.1', 1)
            return await transport.probe_connection(address, 2000)

        self.assertEqual(transport.ProbeOutcome.UNREACHABLE, trio.run(main))
