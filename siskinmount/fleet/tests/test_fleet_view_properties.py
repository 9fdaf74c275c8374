"""What a process may believe, whatever order its news come in."""

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
_ODD = b'\xff'
#: How long a lapsed entry may still be used, by the platform's promise.
_RETURN_S = 2.0


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
                strategies.just(_ODD),
            ),
        ),
        strategies.tuples(
            strategies.just('entry'),
            strategies.sampled_from(_NAMES),
            strategies.sampled_from((_READY, _LEAVING, _ODD, None)),
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


class _Truth:
    """What was told last of each upstream, and when it was lost."""

    def __init__(self):
        self.entries = {}
        self.lost_at_s = {}
        self.is_store_up = True
        self.regained_at_s = float('-inf')

    def get_lost_age_s(self):
        if not self.is_store_up:
            return 0.0
        return trio.current_time() - self.regained_at_s

    def tell(self, name, entry):
        had = self.entries.get(name)
        self.entries[name] = entry
        self.lost_at_s.pop(name, None)
        if entry is None and had in (_READY, _LEAVING):
            if self.get_lost_age_s() < _RETURN_S:
                self.lost_at_s[name] = trio.current_time()

    def may_be_used(self, name):
        """An entry that says ready, or one that an outage took just now."""
        if self.entries.get(name) == _READY:
            return True
        lost_at_s = self.lost_at_s.get(name)
        if lost_at_s is None:
            return False
        return trio.current_time() - lost_at_s <= _RETURN_S


class FleetViewPropertiesTest(testtools.TestCase):

    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(_STEPS)
    def test_nothing_older_or_lost_is_believed(self, steps):
        async def main():
            view = fleet.create_fleet_view(_decode_document, _decode_upstream)
            truth = _Truth()
            view.watch_store(truth.get_lost_age_s)
            newest = -1
            for step in steps:
                await self._play(view, truth, step)
                if view.document is not None:
                    self.assertGreaterEqual(view.document.version, newest)
                    newest = view.document.version
                for upstream in view.list_ready('s'):
                    name = upstream.upstream_id
                    self.assertTrue(truth.may_be_used(name), name)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _play(self, view, truth, step):
        kind = step[0]
        if kind == 'document':
            view.take_document(step[1], 'test')
        elif kind == 'entry':
            truth.tell(step[1], step[2])
            view.take_upstream_record(
                keyed_log.KeyedRecord(step[1], step[2], 0)
            )
        elif kind == 'whole list':
            for name in _NAMES:
                truth.entries[name] = step[1].get(name)
                truth.lost_at_s.pop(name, None)
            view.replace_upstreams(step[1], 'test')
        elif kind == 'store':
            if step[1] and not truth.is_store_up:
                truth.regained_at_s = trio.current_time()
            truth.is_store_up = step[1]
        else:
            await trio.sleep(step[1])
            view.expire_lapsed()
