"""Tests of how descriptors are shared among servers and clients."""

import testtools

from siskinmount.gateway import _connection_limits


class ConnectionLimitsTest(testtools.TestCase):

    def test_servers_leave_descriptors_for_upstreams_and_files(self):
        """Guards against callers that take the descriptors of the rest."""
        for descriptors in (400, 1675, 4096, 10_500, 100_000):
            limits = _connection_limits.choose_connection_limits(descriptors)
            served = (
                limits.callers.max_connections
                + limits.peers.max_connections
                + 2 * limits.checks.max_connections
            )
            # An eighth more is told that there are too many.
            self.assertLess(served * 9 / 8, (descriptors - 200) * 0.8)
            self.assertEqual(
                limits.callers.max_connections,
                limits.callers.max_connections_per_host,
            )

    def test_known_limits(self):
        for descriptors, callers in (
            (0, 6000),
            (1675, 737),
            (10_500, 5150),
            (100_000, 6000),
            (100, 8),
        ):
            limits = _connection_limits.choose_connection_limits(descriptors)
            self.assertEqual(callers, limits.callers.max_connections)
