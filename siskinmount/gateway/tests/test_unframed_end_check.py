"""Tests of what the entries of an upstream say of the end of a body."""

import types

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _unframed_end

_HEARTBEAT_S = 1.0
_STATES = transport.ServerProcess


def _make_upstream(entry_number, started_at_ms=0, version='v1', port=1):
    # Entries need not name the start of the process.
    return fleet.Upstream(
        upstream_id='u',
        service='s',
        address=transport.Address('127.0.0.1', port),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=1,
        started_at_ms=started_at_ms,
        software_version=version,
        entry_number=entry_number,
    )


class UnframedEndCheckTest(testtools.TestCase):

    def _check(self, process, next_upstream, is_readable=True):
        """Returns whether a body is complete, and how long that took.

        Args:
            process: What the connections show.
            next_upstream: The entry that is written after the end; None if it
                is removed.
            is_readable: Whether the store can be read.
        """

        async def main():
            view = fleet.create_fleet_view(
                None, lambda upstream_id, source: entries.pop(0)
            )
            first = _make_upstream(entry_number=7)
            entries = [first, next_upstream]
            view.apply_upstream_record(keyed_log.KeyedRecord('u', b'1', 0))

            async def write_next():
                await trio.sleep(_HEARTBEAT_S / 2)
                value = b'2' if next_upstream else None
                view.apply_upstream_record(keyed_log.KeyedRecord('u', value, 1))

            async def read(timeout_s):
                return is_readable

            async def check_process(settle_s):
                return process

            check = _unframed_end.create_unframed_end_check(
                view,
                types.SimpleNamespace(read=read),
                _gateway_metrics.create_gateway_metrics(
                    telemetry.create_metrics()
                ),
                heartbeat_ms=int(_HEARTBEAT_S * 1000),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(write_next)
                began_s = trio.current_time()
                is_complete = await check.is_complete(
                    types.SimpleNamespace(check_process=check_process),
                    first,
                    'r1',
                )
                return is_complete, trio.current_time() - began_s

        return trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    def test_upstream_that_closed_its_idle_connections(self):
        # Guards against taking the entry of the next process at an address for
        # a heartbeat of the one that has exited.
        cases = [
            (_make_upstream(8), True),
            (_make_upstream(9), True),
            (_make_upstream(1), False),
            (_make_upstream(8, started_at_ms=5), False),
            (_make_upstream(8, version='v2'), False),
            (_make_upstream(8, port=2), False),
            (None, False),
        ]
        for next_upstream, expected in cases:
            is_complete, _ = self._check(
                _STATES.CLOSED_CONNECTIONS, next_upstream
            )
            self.assertEqual(expected, is_complete)

    def test_nothing_is_waited_for_where_the_connections_tell(self):
        cases = [
            (_STATES.SERVING, True, True),
            (_STATES.GONE, True, False),
            (_STATES.UNKNOWN, True, True),
            (_STATES.UNKNOWN, False, True),
            (_STATES.CLOSED_CONNECTIONS, False, False),
        ]
        for process, is_readable, expected in cases:
            self.assertEqual(
                (expected, 0.0),
                self._check(process, _make_upstream(8), is_readable),
            )
