"""Tests of where an item goes on with output of an earlier run."""

import types

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import transport
from siskinmount.gateway import _item_continuation

_NEXT_ITEM = types.SimpleNamespace(
    job=types.SimpleNamespace(job_id='j'),
    item=types.SimpleNamespace(item_id='i'),
)


def _make_upstream(upstream_id, version, service='s'):
    return fleet.Upstream(
        upstream_id=upstream_id,
        service=service,
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=1,
        started_at_ms=1,
        software_version=version,
    )


_A1 = _make_upstream('a1', 'v1')
_B1 = _make_upstream('b1', 'v1')
_C2 = _make_upstream('c2', 'v2')
_D2 = _make_upstream('d2', 'v2')
_T1 = _make_upstream('t1', 'v1', 't')


def _make_route(*services):
    return fleet.FleetRoute(
        name='r',
        host='h',
        path_prefix='/',
        kind=fleet.RouteKind.BATCH,
        shares=tuple(fleet.ServiceShare(name, 1) for name in services),
        timeout_ms=1000,
        target_ms=100,
    )


class ItemContinuationTest(testtools.TestCase):

    def _run(self, check, listed, has_output=True):
        async def main():
            view = fleet.create_fleet_view(None, None)
            for upstream in listed:
                view.upstreams[upstream.upstream_id] = upstream
            progress = jobs.ItemProgress()
            if has_output:
                progress.events = ['x']
                progress.last_event_id = 1
                progress.service = 's'
                progress.software_version = 'v1'
            progress.kept_since_s = trio.current_time()
            continuation = _item_continuation.create_item_continuation(
                view, types.SimpleNamespace(progress={'t': progress})
            )
            await check(continuation, progress)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_service_of_output_is_kept_while_its_version_serves(self):
        cases = [
            # Listed, services of the route, expected service, output kept.
            ([_A1, _C2], ('s',), 's', True),
            ([_A1, _T1], ('s', 't'), 's', True),
            ([_C2], ('s',), 's', False),
            ([], ('s',), 's', False),
            # The route has moved to another service.
            ([_A1, _T1], ('t',), 't', False),
        ]
        for listed, services, expected, is_kept in cases:

            async def check(
                continuation,
                progress,
                services=services,
                expected=expected,
                is_kept=is_kept,
            ):
                drawn = continuation.draw_service(
                    _NEXT_ITEM, 't', _make_route(*services)
                )
                self.assertEqual(expected, drawn)
                self.assertEqual(is_kept, bool(progress.events))
                self.assertEqual(1 if is_kept else None, progress.last_event_id)

            self._run(check, listed)

    def test_item_waits_for_a_slot_of_its_version_for_a_time(self):
        cases = [
            # Free slots, left out already, waited, left out, output kept.
            ([_A1, _C2, _D2], set(), 9.0, {'c2', 'd2'}, True),
            ([_C2, _D2], set(), 1.0, {'c2', 'd2'}, True),
            ([_C2, _D2], set(), 2.5, set(), False),
            ([], set(), 9.0, set(), True),
            # The only one of its version has failed the item.
            ([_A1, _C2], {'a1'}, 1.0, {'a1', 'c2'}, True),
            ([_A1, _C2], {'a1'}, 2.5, {'a1'}, False),
            ([_A1, _B1, _C2], {'a1'}, 2.5, {'a1', 'c2'}, True),
            # There is none to start at either.
            ([_C2], {'c2'}, 2.5, {'c2'}, True),
        ]
        for slots, excluded, waited_s, expected, is_kept in cases:

            async def check(
                continuation,
                progress,
                slots=slots,
                excluded=excluded,
                waited_s=waited_s,
                expected=expected,
                is_kept=is_kept,
            ):
                await trio.sleep(waited_s)
                self.assertEqual(
                    expected,
                    continuation.list_excluded(
                        _NEXT_ITEM, 't', slots, excluded
                    ),
                )
                self.assertEqual(is_kept, bool(progress.events))

            self._run(check, [_A1, _B1, _C2, _D2])

    def test_item_without_output_may_start_anywhere(self):
        async def check(continuation, progress):
            self.assertEqual(
                {'c2'},
                continuation.list_excluded(_NEXT_ITEM, 't', [_A1, _C2], {'c2'}),
            )

        self._run(check, [_A1, _C2], has_output=False)
