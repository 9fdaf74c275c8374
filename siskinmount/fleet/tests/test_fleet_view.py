"""The view of documents and upstreams."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import transport


def _decode_document(source):
    if not source.isdigit():
        return results.Failure(results.ResultCode.DOCUMENT_INVALID, 'odd')
    limits = fleet.CallerLimits(1, 1, 1, 1)
    return fleet.FleetDocument(int(source), [], {}, limits, source)


def _decode_upstream(upstream_id, source):
    states = {
        b'ready': fleet.UpstreamState.READY,
        b'leaving': fleet.UpstreamState.LEAVING,
    }
    if source not in states:
        return results.Failure(results.ResultCode.LOG_RECORD_INVALID, 'odd')
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=states[source],
        slot_count=1,
        started_at_ms=0,
    )


class FleetViewTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            view = fleet.create_fleet_view(_decode_document, _decode_upstream)
            await check(view)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _apply(self, view, upstream_id, source):
        view.apply_upstream_record(
            keyed_log.KeyedRecord(upstream_id, source, 0)
        )

    def _list(self, view):
        return sorted(found.upstream_id for found in view.list_ready('s'))

    def test_version_never_decreases(self):
        async def check(view):
            seen = []
            for source in (b'3', b'2', b'odd', b'7', b'7', b'5'):
                view.apply_document(source, 'test')
                seen.append(view.document.version)
            self.assertEqual([3, 3, 3, 7, 7, 7], seen)

        self._run(check)

    def test_only_valid_and_ready_entries_are_used(self):
        async def check(view):
            self._apply(view, 'a', b'ready')
            self._apply(view, 'b', b'leaving')
            self._apply(view, 'c', b'\xff')
            self._apply(view, 'd', b'ready')
            self._apply(view, 'd', b'odd')
            self.assertEqual(['a'], self._list(view))

        self._run(check)

    def test_single_removal_after_an_outage_takes_effect_at_once(self):
        # Regression test: daemons that had just lost the store kept using an
        # engine for two seconds after its entry was removed because the engine
        # had stopped without notice.
        async def check(view):
            view.watch_store(lambda: 0.5)
            for upstream_id in ('a', 'b', 'c'):
                self._apply(view, upstream_id, b'ready')
            self._apply(view, 'b', None)
            self.assertEqual(['a', 'c'], self._list(view))

        self._run(check)

    def test_entries_lapsed_together_are_used_until_they_return(self):
        async def check(view):
            view.watch_store(lambda: 0.5)
            for upstream_id in ('a', 'b', 'c'):
                self._apply(view, upstream_id, b'ready')
            for upstream_id in ('a', 'b', 'c'):
                self._apply(view, upstream_id, None)
            self.assertEqual(['a', 'b', 'c'], self._list(view))
            self._apply(view, 'a', b'ready')
            self._apply(view, 'b', b'ready')
            self.assertEqual(['a', 'b'], self._list(view))
            await trio.sleep(3)
            view.expire_lapsed()
            self.assertEqual(['a', 'b'], sorted(view.upstreams))

        self._run(check)

    def test_removal_without_outage_takes_effect_at_once(self):
        async def check(view):
            self._apply(view, 'a', b'ready')
            self._apply(view, 'a', None)
            self.assertEqual({}, view.upstreams)

        self._run(check)

    def test_upstreams_of_a_peer_replace_the_own(self):
        async def check(view):
            self._apply(view, 'a', b'ready')
            self._apply(view, 'b', b'ready')
            view.replace_upstreams({'b': b'leaving', 'c': b'ready'}, 'peer')
            self.assertEqual(['b', 'c'], sorted(view.upstreams))
            self.assertEqual(['c'], self._list(view))

        self._run(check)
