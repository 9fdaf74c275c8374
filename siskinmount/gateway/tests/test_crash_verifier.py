"""Tests of how an upstream that interrupted a run is found to have crashed."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount import transport
from siskinmount.gateway import _crash_verifier

_ACCEPTED = transport.ProbeOutcome.ACCEPTED
_REFUSED = transport.ProbeOutcome.REFUSED
_UNREACHABLE = transport.ProbeOutcome.UNREACHABLE


def _decode_upstream(upstream_id, source):
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState(source.decode()),
        slot_count=1,
        started_at_ms=1,
    )


class CrashVerifierTest(testtools.TestCase):

    def _run(
        self,
        outcomes,
        state='ready',
        act=None,
        act_after_s=_crash_verifier.PROBE_DELAYS_S[0] / 2,
    ):
        """Returns the crashes counted and the number of probes.

        Args:
            outcomes: What the probes show, in order; the last holds on.
            state: State of the upstream's entry; None for no entry.
            act: Called with the tracker and the view after the interruption.
            act_after_s: How long after it.
        """
        probes = []

        async def probe(address, timeout_ms):
            probes.append(address)
            return outcomes[min(len(probes), len(outcomes)) - 1]

        async def main():
            view = fleet.create_fleet_view(None, _decode_upstream)
            tracker = placement.create_crash_tracker()
            health = placement.create_upstream_health(tracker)
            load = placement.create_load_table()
            verifier = _crash_verifier.create_crash_verifier(
                view=view,
                load=load,
                health=health,
                crash_tracker=tracker,
                probe=probe,
            )
            if state is not None:
                view.apply_upstream_record(
                    keyed_log.KeyedRecord('u', state.encode(), 0)
                )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(verifier.run)
                tracker.record_interrupted_run('f', 'u', started_at_ms=1)
                await trio.sleep(act_after_s)
                if act is not None:
                    act(tracker, view)
                await trio.sleep(5)
                self.announced = load.version
                nursery.cancel_scope.cancel()
            self.is_pending = tracker.has_interrupted_runs('u')
            return tracker.counts

        counts = trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        return counts, len(probes)

    def test_crash_counts_without_the_platform(self):
        # Guards against evidence that waits for the entry's removal.
        self.assertEqual(({'f': 1}, 1), self._run([_REFUSED]))
        self.assertGreater(self.announced, 0)

    def test_listener_that_closes_late_is_found(self):
        self.assertEqual(({'f': 1}, 2), self._run([_ACCEPTED, _REFUSED]))

    def test_run_interrupted_during_the_probes_is_probed_as_well(self):
        def interrupt_again(tracker, view):
            tracker.record_interrupted_run('g', 'u', started_at_ms=1)

        self.assertEqual(
            ({'f': 1, 'g': 1}, 3),
            self._run(
                [_ACCEPTED, _ACCEPTED, _REFUSED],
                act=interrupt_again,
                act_after_s=0.5,
            ),
        )

    def test_upstream_that_accepts_or_is_cut_off_is_not_taken_for_crashed(self):
        for outcome in (_ACCEPTED, _UNREACHABLE):
            self.assertEqual(({}, 2), self._run([outcome]), outcome)
            self.assertTrue(self.is_pending, outcome)

    def test_upstream_that_leaves_or_is_unlisted_is_not_taken_for_crashed(self):
        for state in ('leaving', None):
            self.assertEqual(({}, 0), self._run([_REFUSED], state), state)
            self.assertFalse(self.is_pending, state)

    def test_upstream_that_begins_to_leave_is_not_taken_for_crashed(self):
        def leave(tracker, view):
            view.apply_upstream_record(
                keyed_log.KeyedRecord('u', b'leaving', 1)
            )

        self.assertEqual(({}, 1), self._run([_REFUSED], act=leave))

    def test_upstream_that_completes_a_later_run_is_not_probed(self):
        def complete(tracker, view):
            tracker.record_run_completed('u', trio.current_time() + 0.01)

        self.assertEqual(({}, 0), self._run([_REFUSED], act=complete))
