"""Invariants of the fleet view for any order of records and outages."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import transport

_NAMES = ('a', 'b', 'c')
_READY = b'ready'
_LEAVING = b'leaving'
_INVALID = b'\xff'
#: How long a lapsed entry may be used: the platform guarantees that entries
#: return within this time.
_RETURN_GRACE_S = 2.0


def _decode_document(source):
    if not source.isdigit():
        return results.Failure(results.ResultCode.DOCUMENT_INVALID, 'odd')
    limits = fleet.CallerLimits(1, 1, 1, 1)
    return fleet.FleetDocument(int(source), [], {}, limits, source)


def _decode_upstream(upstream_id, source):
    if source not in (_READY, _LEAVING):
        return results.Failure(results.ResultCode.LOG_RECORD_INVALID, 'odd')
    state = fleet.UpstreamState.READY
    if source == _LEAVING:
        state = fleet.UpstreamState.LEAVING
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=state,
        slot_count=1,
        started_at_ms=0,
    )


_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('document'),
            strategies.one_of(
                strategies.integers(0, 9).map(lambda n: b'%d' % n),
                strategies.just(_INVALID),
            ),
        ),
        strategies.tuples(
            strategies.just('entry'),
            strategies.sampled_from(_NAMES),
            strategies.sampled_from((_READY, _LEAVING, _INVALID, None)),
        ),
        strategies.tuples(
            strategies.just('whole list'),
            strategies.dictionaries(
                strategies.sampled_from(_NAMES),
                strategies.sampled_from((_READY, _LEAVING)),
            ),
        ),
        strategies.tuples(
            strategies.just('store'), strategies.sampled_from((True, False))
        ),
        strategies.tuples(
            strategies.just('time'), strategies.sampled_from((0.3, 1.0, 3.0))
        ),
    ),
    max_size=25,
)


class _Model:
    """Reference model: the last entry of each upstream, and when it lapsed."""

    def __init__(self):
        self.entries = {}
        self.lost_at_s = {}
        self.is_store_up = True
        self.regained_at_s = float('-inf')

    def get_lost_age_s(self):
        if not self.is_store_up:
            return 0.0
        return trio.current_time() - self.regained_at_s

    def apply(self, name, entry):
        had = self.entries.get(name)
        self.entries[name] = entry
        self.lost_at_s.pop(name, None)
        if entry is None and had in (_READY, _LEAVING):
            if self.get_lost_age_s() < _RETURN_GRACE_S:
                self.lost_at_s[name] = trio.current_time()

    def may_be_used(self, name):
        """Whether an entry is ready, or was lost in an outage just now."""
        if self.entries.get(name) == _READY:
            return True
        lost_at_s = self.lost_at_s.get(name)
        if lost_at_s is None:
            return False
        return trio.current_time() - lost_at_s <= _RETURN_GRACE_S


class FleetViewPropertiesTest(testtools.TestCase):

    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(_STEPS)
    def test_older_documents_and_lost_upstreams_are_not_used(self, steps):
        async def main():
            view = fleet.create_fleet_view(_decode_document, _decode_upstream)
            model = _Model()
            view.watch_store(model.get_lost_age_s)
            newest = -1
            for step in steps:
                await self._perform(view, model, step)
                if view.document is not None:
                    self.assertGreaterEqual(view.document.version, newest)
                    newest = view.document.version
                for upstream in view.list_ready('s'):
                    name = upstream.upstream_id
                    self.assertTrue(model.may_be_used(name), name)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _perform(self, view, model, step):
        kind = step[0]
        if kind == 'document':
            view.apply_document(step[1], 'test')
        elif kind == 'entry':
            model.apply(step[1], step[2])
            view.apply_upstream_record(
                keyed_log.KeyedRecord(step[1], step[2], 0)
            )
        elif kind == 'whole list':
            for name in _NAMES:
                model.entries[name] = step[1].get(name)
                model.lost_at_s.pop(name, None)
            view.replace_upstreams(step[1], 'test')
        elif kind == 'store':
            if step[1] and not model.is_store_up:
                model.regained_at_s = trio.current_time()
            model.is_store_up = step[1]
        else:
            await trio.sleep(step[1])
            view.expire_lapsed()
