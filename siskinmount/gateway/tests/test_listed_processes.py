"""Tests of which processes the rest of a response may be sent to."""

import types

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import placement
from siskinmount import transport
from siskinmount.gateway import _listed_processes

_NEVER = float('-inf')
_UPSTREAM = fleet.Upstream(
    upstream_id='u',
    service='s',
    address=transport.Address('127.0.0.1', 1),
    failure_domain='a',
    state=fleet.UpstreamState.READY,
    slot_count=1,
    started_at_ms=1,
)


class ListedProcessesTest(testtools.TestCase):

    def _find(self, closed_at_s, written_at_s, confirmed_at_s, regained_at_s):
        async def main():
            view = fleet.create_fleet_view(None, None)
            view.written_at_s['u'] = written_at_s
            processes = _listed_processes.create_listed_processes(
                view,
                types.SimpleNamespace(
                    get_client=lambda upstream: types.SimpleNamespace(
                        find_last_closing_s=lambda: closed_at_s
                    )
                ),
                placement.create_crash_tracker(),
                types.SimpleNamespace(
                    confirmed_at_s=confirmed_at_s, regained_at_s=regained_at_s
                ),
                heartbeat_ms=1000,
            )
            return processes.find_connection_bound(_UPSTREAM)

        return trio.run(main, clock=trio.testing.MockClock())

    def test_sign_of_an_exit_counts_until_the_entry_is_written_again(self):
        cases = [
            # Closed at, entry written at, log confirmed at, store regained at,
            # bound.
            (_NEVER, 5.0, 6.0, _NEVER, None),
            (5.5, 5.0, 6.0, _NEVER, 5.0),
            (5.5, 5.8, 6.0, _NEVER, None),
            # No heartbeat, and no restart in a log that could be read.
            (5.5, 1.0, 9.0, _NEVER, None),
            (8.5, 1.0, 9.0, _NEVER, 7.0),
            # The store is back for less than two heartbeats.
            (5.5, 1.0, 9.0, 8.0, 1.0),
            # The list came from a peer, and nothing speaks against it.
            (_NEVER, _NEVER, _NEVER, _NEVER, None),
            (3.0, _NEVER, _NEVER, _NEVER, _NEVER),
        ]
        for *given, expected in cases:
            self.assertEqual(expected, self._find(*given), given)
