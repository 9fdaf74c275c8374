"""Upstreams that announce their departure in responses."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import transport

_LOGGER_NAME = 'siskinmount.fleet._announced_departures'


def _decode_upstream(upstream_id, source):
    state, started_at_ms = source.decode().split()
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState(state),
        slot_count=1,
        started_at_ms=int(started_at_ms),
    )


class _Log:
    """End of the log, as a follower reports it."""

    def __init__(self):
        self.end = None

    def see_end(self, offset):
        self.end = keyed_log.LogEnd(offset, trio.current_time())


class AnnouncedDeparturesTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            view = fleet.create_fleet_view(
                lambda source: None, _decode_upstream
            )
            log = _Log()
            view.watch_log_end(lambda: log.end)
            for upstream_id in ('u', 'v'):
                self._apply(view, b'ready 5', 0, upstream_id)
            log.see_end(2)
            await trio.sleep(1)
            await check(view, log)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _apply(self, view, source, offset, upstream_id='u'):
        view.apply_upstream_record(
            keyed_log.KeyedRecord(upstream_id, source, offset)
        )

    def _announce(self, view, started_at_ms=5):
        return view.record_departure(
            _decode_upstream('u', b'ready %d' % started_at_ms), 'q'
        )

    def _list(self, view):
        return sorted(found.upstream_id for found in view.list_ready('s'))

    def test_upstream_that_announces_its_departure_takes_no_requests(self):
        async def check(view, log):
            with self.assertLogs(_LOGGER_NAME, 'INFO') as logs:
                self.assertTrue(self._announce(view))
                self.assertFalse(self._announce(view))
            self.assertEqual(1, len(logs.records))
            record = logs.records[0]
            self.assertEqual(
                ('u', 5, 'response', 'q'),
                (
                    record.upstream,
                    record.started_at_ms,
                    record.source,
                    record.request_id,
                ),
            )
            self.assertEqual(['v'], self._list(view))
            self.assertEqual(['u'], view.list_passed_over('s'))

        self._run(check)

    def test_what_ends_a_departure(self):
        cases = [
            # What is read of the log, whether the upstream takes requests.
            ('nothing', False),
            ('old entry again', False),
            ('entry that may be older than the response', False),
            ('entry written later', True),
            ('later entry that says leaving', False),
            ('later start', True),
            ('later start, then the earlier one again', False),
            ('removal, then the entry again', False),
            ('lapse, then the entry again', False),
            ('entry of a peer', False),
        ]
        for what, expected in cases:

            async def check(view, log, what=what, expected=expected):
                self._announce(view)
                await trio.sleep(1)
                if what == 'old entry again':
                    log.see_end(2)
                    self._apply(view, b'ready 5', 1)
                elif what == 'entry that may be older than the response':
                    self._apply(view, b'ready 5', 3)
                elif what == 'entry written later':
                    log.see_end(3)
                    self._apply(view, b'ready 5', 3)
                elif what == 'later entry that says leaving':
                    log.see_end(3)
                    self._apply(view, b'leaving 5', 3)
                elif what == 'later start':
                    self._apply(view, b'ready 6', 3)
                elif what == 'later start, then the earlier one again':
                    self._apply(view, b'ready 6', 3)
                    self._apply(view, b'ready 5', 1)
                elif what == 'removal, then the entry again':
                    self._apply(view, None, 3)
                    self._apply(view, b'ready 5', 1)
                elif what == 'lapse, then the entry again':
                    view.watch_store(lambda: 0.0)
                    self._apply(view, None, 3)
                    self._apply(view, b'ready 5', 4)
                elif what == 'entry of a peer':
                    view.replace_upstreams(
                        {'u': b'ready 5 ', 'v': b'ready 5'}, 'peer'
                    )
                self.assertEqual(expected, 'u' in self._list(view), what)

            self._run(check)

    def test_entry_older_than_the_last_response_ends_nothing(self):
        for repeats in ('response', 'peer'):

            async def check(view, log, repeats=repeats):
                self._announce(view)
                await trio.sleep(1)
                log.see_end(3)
                await trio.sleep(1)
                if repeats == 'response':
                    self._announce(view)
                else:
                    notice = fleet.DepartureNotice(5, 0.0)
                    view.record_peer_departures('p', {'u': notice})
                self._apply(view, b'ready 5', 3)
                self.assertEqual(['v'], self._list(view), repeats)

            self._run(check)

    def test_response_to_an_earlier_start_is_ignored(self):
        async def check(view, log):
            self._apply(view, b'ready 6', 3)
            self.assertFalse(self._announce(view, 5))
            self.assertEqual(['u', 'v'], self._list(view))

        self._run(check)

    def test_messages_of_peers(self):
        cases = [
            # Start and age that the peer tells, whether the entry came back
            # before, whether the upstream takes requests.
            (5, 0.0, False, False),
            (5, 30.0, False, False),
            (4, 0.0, False, True),
            (5, 3.0, True, True),
            (5, 0.2, True, True),
            (5, 0.0, True, False),
        ]
        for started_at_ms, age_s, came_back, expected in cases:

            async def check(
                view,
                log,
                started_at_ms=started_at_ms,
                age_s=age_s,
                came_back=came_back,
                expected=expected,
            ):
                if came_back:
                    self._announce(view)
                    await trio.sleep(1)
                    log.see_end(3)
                    self._apply(view, b'ready 5', 3)
                    await trio.sleep(0.6)
                notice = fleet.DepartureNotice(started_at_ms, age_s)
                for _ in range(2):
                    view.record_peer_departures('p', {'u': notice})
                self.assertEqual(
                    expected, 'u' in self._list(view), (started_at_ms, age_s)
                )
                # What a peer told is not told on as if heard from the upstream.
                self.assertEqual({}, view.departures.list_first_hand())

            self._run(check)

    def test_members_are_told_the_start_and_the_age(self):
        async def check(view, log):
            self._announce(view)
            await trio.sleep(2)
            notice = view.departures.list_first_hand()['u']
            self.assertEqual(
                (5, 2.0), (notice.started_at_ms, round(notice.age_s, 3))
            )
            self._apply(view, None, 3)
            self.assertEqual({}, view.departures.list_first_hand())

        self._run(check)

    def test_departure_of_a_removed_upstream_is_forgotten_in_the_end(self):
        async def check(view, log):
            self._announce(view)
            self._apply(view, None, 3)
            await trio.sleep(61)
            view.expire_lapsed()
            self.assertFalse(view.departures.has_any())

        self._run(check)

    def test_departure_that_was_never_listed_here_is_forgotten_in_the_end(self):
        # Guards against rows that stay until new ones are dropped.
        notice = fleet.DepartureNotice(5, 0.1)
        for announce in (
            lambda view: view.record_peer_departures('p', {'w': notice}),
            lambda view: view.record_departure(
                _decode_upstream('w', b'ready 5'), 'q'
            ),
        ):

            async def check(view, log, announce=announce):
                announce(view)
                for after_s, expected in ((30, True), (40, False)):
                    await trio.sleep(after_s)
                    view.expire_lapsed()
                    self.assertEqual(expected, view.departures.has_any())
                announce(view)
                self._apply(view, b'ready 5', 1, 'w')
                await trio.sleep(70)
                view.expire_lapsed()
                self.assertNotIn('w', self._list(view))

            self._run(check)

    def test_departure_of_an_unlisted_upstream_is_told_to_peers(self):
        async def check(view, log):
            view.record_departure(_decode_upstream('w', b'ready 5'), 'q')
            self.assertIn('w', view.departures.list_first_hand())

        self._run(check)
