"""Tests of which removed upstreams count as crashed."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount import transport
from siskinmount.gateway import _housekeeping


def _decode_upstream(upstream_id, source):
    state, _, started_at_ms = source.decode().partition(' ')
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState(state),
        slot_count=1,
        started_at_ms=int(started_at_ms),
    )


class HousekeepingTest(testtools.TestCase):

    def _is_quarantined(self, before, after, announces=False):
        """Returns whether a request is, after three upstreams interrupted it.

        Args:
            before: Entries of each upstream before the interruption.
            after: Entry of each upstream after it; None for its removal.
            announces: Whether a response says before it that it leaves.
        """
        verdicts = []

        async def main():
            view = fleet.create_fleet_view(None, _decode_upstream)
            crash_tracker = placement.create_crash_tracker()
            health = placement.create_upstream_health(crash_tracker)
            _housekeeping.create_housekeeping(
                membership=None,
                view=view,
                clients=None,
                crash_tracker=crash_tracker,
                health=health,
                rate_limits=placement.create_rate_limits(),
                paces=placement.create_upstream_paces(
                    view, placement.create_load_table()
                ),
                run_times=placement.create_run_times(),
                overdue=placement.create_overdue_runs(health),
                origins=None,
                directory=None,
                members_watch=None,
                table=None,
                ledger=None,
                results_kept_s=1,
                log_handler=None,
                metrics=None,
                budget=transport.create_byte_budget(),
            )
            for upstream_id in ('a', 'b', 'c'):
                for source in before:
                    view.apply_upstream_record(
                        keyed_log.KeyedRecord(upstream_id, source, 0)
                    )
                if announces:
                    view.record_departure(view.upstreams[upstream_id], 'q')
                crash_tracker.record_interrupted_run('f', upstream_id)
                await trio.sleep(1)
                view.apply_upstream_record(
                    keyed_log.KeyedRecord(upstream_id, after, 0)
                )
            verdicts.append(crash_tracker.is_quarantined('f'))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return verdicts[0]

    def test_runs_at_upstreams_that_crash_are_counted(self):
        self.assertTrue(self._is_quarantined([b'ready 1'], None))
        self.assertTrue(self._is_quarantined([b'ready 1'], b'ready 2'))

    def test_request_is_not_quarantined_by_planned_leaves(self):
        # Guards against refusing a sound request for a minute in a rolling
        # release.
        for after in (None, b'ready 2'):
            self.assertFalse(
                self._is_quarantined([b'ready 1', b'leaving 1'], after), after
            )
            self.assertFalse(
                self._is_quarantined([b'ready 1'], after, announces=True), after
            )
