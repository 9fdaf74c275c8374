"""Tests of when the first event of a stream may be sent."""

import types

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import stream_origins
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _origin_registrar

_V2 = fleet.Software('s', 'v2')


class _Recorder:
    """A recorder that records after a time, or never."""

    def __init__(self, recorded_after_s, may_withdraw):
        self.withdrawn = []
        self._recorded_after_s = recorded_after_s
        self._may_withdraw = may_withdraw

    def submit(self, origin):
        pending = stream_origins.PendingRecord(origin)
        if self._recorded_after_s is not None:
            trio.lowlevel.spawn_system_task(self._record, pending)
        return pending

    async def _record(self, pending):
        await trio.sleep(self._recorded_after_s)
        pending.recorded.set()

    def withdraw(self, pending):
        self.withdrawn.append(pending)
        return self._may_withdraw

    def is_available(self):
        return True


def _make_upstream(version):
    return fleet.Upstream(
        upstream_id=version,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=1,
        started_at_ms=1,
        software_version=version,
    )


class OriginRegistrarTest(testtools.TestCase):

    def _start(
        self,
        *,
        recorded_after_s,
        listed=('v1', 'v2'),
        may_retry=True,
        may_withdraw=False,
    ):
        """Returns whether a stream of v2 may begin, its request, the time."""

        async def main():
            view = fleet.create_fleet_view(None, None)
            for version in listed:
                view.upstreams[version] = _make_upstream(version)
            versions = stream_origins.create_version_table()
            versions.apply_row(
                's', stream_origins.VersionRow(1, 'v1', True), 'test'
            )
            registrar = _origin_registrar.create_origin_registrar(
                stream_origins.create_origin_table(),
                versions,
                _Recorder(recorded_after_s, may_withdraw),
                view,
                _gateway_metrics.create_gateway_metrics(
                    telemetry.create_metrics()
                ),
            )
            request = types.SimpleNamespace(
                request_id='q',
                record_count=0,
                software=None,
                route=types.SimpleNamespace(shares=[None]),
                make_stream_key=lambda name: stream_origins.make_stream_key(
                    name, 'f'
                ),
                may_retry_after_current=lambda: may_retry,
            )
            started_at_s = trio.current_time()
            start = registrar.start(request, _V2)
            may_start = await registrar.confirm(request, start)
            return may_start, request, trio.current_time() - started_at_s

        return trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    def test_first_event_waits_for_the_record(self):
        may_start, request, took_s = self._start(recorded_after_s=0.1)
        self.assertTrue(may_start)
        self.assertEqual(_V2, request.software)
        self.assertAlmostEqual(0.1, took_s)

    def test_stream_that_is_not_recorded_in_time_does_not_begin(self):
        for may_retry, wait_s in (
            (True, _origin_registrar.RECORD_WAIT_S),
            (False, _origin_registrar.LAST_RECORD_WAIT_S),
        ):
            may_start, request, took_s = self._start(
                recorded_after_s=None, may_retry=may_retry
            )
            self.assertFalse(may_start)
            self.assertIsNone(request.software)
            self.assertAlmostEqual(wait_s, took_s)
            # It may be in the log all the same: the next run needs one too.
            self.assertEqual(1, request.record_count)

    def test_run_that_was_certainly_not_recorded_leaves_nothing(self):
        may_start, request, _ = self._start(
            recorded_after_s=None, may_withdraw=True
        )
        self.assertFalse(may_start)
        self.assertEqual(0, request.record_count)

    def test_stream_begins_unrecorded_where_none_can_be_joined(self):
        may_start, request, _ = self._start(
            recorded_after_s=None, listed=('v2',)
        )
        self.assertTrue(may_start)
        self.assertEqual(_V2, request.software)
