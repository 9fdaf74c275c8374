"""Tests of the windows of starting and recovered upstreams."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount import transport
from siskinmount.placement import _upstream_pace
from siskinmount.placement import _upstream_paces

_ROUTE = 'r'
_TARGET_MS = 500


def _decode_upstream(upstream_id, source):
    started_at_ms, _, cold_left_ms = source.decode().partition(' ')
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=8,
        started_at_ms=int(started_at_ms),
        cold_left_ms=int(cold_left_ms or 0),
    )


class _Member:
    """A member that follows a log of entries."""

    def __init__(self):
        self.view = fleet.create_fleet_view(None, _decode_upstream)
        self.load = placement.create_load_table()
        self.paces = placement.create_upstream_paces(self.view, self.load)
        self.health = placement.create_upstream_health(
            placement.create_crash_tracker(), self.paces
        )
        self.placer = placement.create_placer(
            self.view, self.load, self.health, paces=self.paces
        )
        self.offset = 0
        self.log_end = None
        self.view.watch_log_end(lambda: self.log_end)
        self.view.add_listener(self.paces.apply_listing)

    def read(self, upstream_id, value):
        """Reads an entry, or its removal if there is no value."""
        self.view.apply_upstream_record(
            keyed_log.KeyedRecord(
                upstream_id,
                None if value is None else value.encode(),
                self.offset,
            )
        )
        self.offset += 1

    def reach_end(self):
        """Notes that the log was read to its end now."""
        self.log_end = keyed_log.LogEnd(self.offset, trio.current_time())

    def get_window(self, upstream_id):
        return self.paces.get_window(self.view.upstreams[upstream_id])

    def answer(self, upstream_id, first_byte_ms=100, count=1):
        for _ in range(count):
            self.paces.record_answer(
                self.view.upstreams[upstream_id],
                _ROUTE,
                first_byte_ms,
                _TARGET_MS,
            )

    def place(self, count=1, max_wait_ms=0):
        """Places requests; returns upstreams, or the first refusal."""
        placed_at = []
        for _ in range(count):
            placed = self.placer.place_online('s', '', set(), max_wait_ms)
            if isinstance(placed, placement.Refusal):
                return placed
            self.load.add_online(placed.upstream.upstream_id, 1)
            placed_at.append(placed.upstream.upstream_id)
        return placed_at


def _run(check):
    """Runs `check()` in virtual time."""

    async def main():
        await trio.sleep(100)
        await check()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _start(member, *upstream_ids, old=('u0', 'u1')):
    """Has a member know old upstreams, and then new ones that start."""
    for upstream_id in old:
        member.read(upstream_id, '1')
    member.reach_end()
    await trio.sleep(0.25)
    for upstream_id in upstream_ids:
        member.read(upstream_id, '2')
    member.reach_end()


class StartEvidenceTest(testtools.TestCase):

    def test_upstreams_in_service_are_not_held_back_at_the_start(self):
        # Guards against a fleet that throttles itself when it starts at once,
        # whatever the clocks of machines say.
        async def check():
            for started in ('0', '1', '99999999999999'):
                member = _Member()
                for n in range(5):
                    member.read(f'u{n}', started)
                member.reach_end()
                self.assertFalse(member.paces.has_any())
                self.assertEqual(40, len(member.place(40)))

        _run(check)

    def test_entry_written_since_the_last_read_begins_a_window(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            self.assertIsNone(member.get_window('u0'))
            self.assertEqual(4, member.get_window('u9'))

        _run(check)

    def test_clock_that_was_set_back_does_not_hide_a_restart(self):
        async def check():
            member = _Member()
            await _start(member, old=('u0', 'u1'))
            member.read('u0', '0')
            self.assertEqual(4, member.get_window('u0'))

        _run(check)

    def test_starts_during_a_long_loss_of_the_store_are_left_alone(self):
        async def check():
            member = _Member()
            await _start(member)
            await trio.sleep(30)
            member.read('u9', '2')
            self.assertIsNone(member.get_window('u9'))

        _run(check)

    def test_cold_upstream_has_a_window_at_a_member_that_has_just_started(self):
        async def check():
            member = _Member()
            member.read('u0', '1 0')
            member.read('u1', '1 8000')
            self.assertIsNone(member.get_window('u0'))
            self.assertEqual(4, member.get_window('u1'))

        _run(check)

    def test_new_member_joins_the_window_that_peers_have(self):
        async def check():
            member = _Member()
            member.paces.apply_reports(
                'p', {'u0': placement.PaceReport(1, 3, 0)}
            )
            member.read('u0', '1')
            self.assertEqual(7, member.get_window('u0'))

        _run(check)

    def test_renewed_entry_begins_no_second_window(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            member.answer('u9', count=13)
            self.assertIsNone(member.get_window('u9'))
            await trio.sleep(3)
            member.paces.expire()
            member.read('u9', '2 5000')
            member.paces.apply_reports(
                'p', {'u9': placement.PaceReport(2, 1, 0)}
            )
            self.assertFalse(member.paces.has_any())

        _run(check)

    def test_lapsed_entry_that_returns_begins_a_small_window(self):
        async def check():
            member = _Member()
            await _start(member)
            member.read('u0', None)
            member.reach_end()
            await trio.sleep(0.25)
            member.read('u0', '1')
            self.assertEqual(2, member.get_window('u0'))

        _run(check)


class WindowTest(testtools.TestCase):

    def test_window_follows_the_answers(self):
        cases = [
            # Times to the first byte of a service that takes 100 ms, window.
            ([], 4),
            ([100, 150, 199], 7),
            # Slower than others but within the target.
            ([400] * 3, 4),
            ([400] * 4, 5),
            ([600], 2),
            ([600, 600], 1),
            # The debt is bounded, and the count then begins anew.
            ([600] * 4, 2),
            ([600] * 100, 2),
            ([600] * 100 + [100] * 5, 7),
            ([100] * 12, 16),
            ([100] * 13, None),
        ]
        for times, expected in cases:

            async def check(times=times, expected=expected):
                member = _Member()
                await _start(member, 'u9')
                member.answer('u0', count=10)
                for first_byte_ms in times:
                    member.answer('u9', first_byte_ms)
                self.assertEqual(expected, member.get_window('u9'), times)

            _run(check)

    def test_target_decides_without_other_upstreams(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            member.answer('u9', 400)
            self.assertEqual(5, member.get_window('u9'))
            member.answer('u9', 600)
            self.assertEqual(3, member.get_window('u9'))

        _run(check)

    def test_overloaded_service_does_not_make_an_upstream_late(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            member.answer('u0', 900, count=10)
            member.answer('u9', 900)
            self.assertEqual(5, member.get_window('u9'))

        _run(check)

    def test_window_ends_after_a_time_in_any_case(self):
        # Guards against an upstream that is slow by nature being held for good.
        async def check():
            member = _Member()
            await _start(member, 'u9')
            await trio.sleep(_upstream_paces.MAX_HELD_S + 1)
            member.paces.expire()
            self.assertIsNone(member.get_window('u9'))

        _run(check)

    def test_restart_while_starting_begins_a_smaller_window(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            member.answer('u9', count=5)
            member.read('u9', '3')
            self.assertEqual(2, member.get_window('u9'))
            # Answers of the earlier process say nothing of this one.
            member.paces.apply_reports(
                'p', {'u9': placement.PaceReport(2, 9, 0)}
            )
            self.assertEqual(2, member.get_window('u9'))

        _run(check)

    def test_upstream_that_failed_in_a_row_recovers_by_a_window(self):
        cases = [
            # Failures, whether connections are refused, window.
            (1, False, None),
            (2, False, 2),
            (1, True, 2),
        ]
        for failures, is_down, expected in cases:

            async def check(
                failures=failures, is_down=is_down, expected=expected
            ):
                member = _Member()
                await _start(member)
                for _ in range(failures):
                    if is_down:
                        member.health.mark_down('u0', 'refused')
                    else:
                        member.health.record_failure('u0', 'lost')
                self.assertEqual(expected, member.get_window('u0'))

            _run(check)

    def test_first_answers_of_a_recovered_upstream_decide(self):
        async def check():
            member = _Member()
            await _start(member)
            for _ in range(40):
                member.health.record_failure('u0', 'lost')
            member.answer('u1', count=10)
            member.answer('u0', count=20)
            self.assertIsNone(member.get_window('u0'))

        _run(check)


class MembersTest(testtools.TestCase):

    def test_peer_that_alone_sees_failures_does_not_slow_the_others(self):
        async def check():
            member = _Member()
            await _start(member)
            member.paces.apply_reports(
                'p', {'u0': placement.PaceReport(1, 0, 3, 1)}
            )
            self.assertFalse(member.paces.has_any())

        _run(check)

    def test_member_that_alone_sees_failures_counts_its_own_requests(self):
        # Guards against a member that never uses an upstream again, as the
        # others, which have no window, keep more requests there than it allows.
        async def check():
            member = _Member()
            await _start(member)
            member.health.mark_down('u0', 'refused')
            for _ in range(2):
                await trio.sleep(1)
                for n in range(3):
                    member.load.set_peer_counts(
                        f'p{n}', {'u0': placement.UpstreamCounts(2, 0)}
                    )
                    member.paces.apply_reports(f'p{n}', {})
                member.paces.expire()
            room = member.paces.count_room(
                member.view.upstreams['u0'], member.load.sum_counts()['u0']
            )
            self.assertEqual(2, room)

        _run(check)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 2), strategies.booleans()),
            max_size=12,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_window_is_the_same_in_whatever_order_answers_are_learned(
        self, answers, rng
    ):
        async def check():
            counts = [[0, 0], [0, 0], [0, 0]]
            reports = []
            for number, is_good in answers:
                counts[number][0 if is_good else 1] += 1
                good, bad = counts[number]
                reports.append((number, placement.PaceReport(2, good, bad)))
            if 4 + sum(g - 2 * b for g, b in counts) <= -3:
                return
            windows = set()
            for _ in range(3):
                # Messages of one peer come in order, but some are lost.
                pace = _upstream_pace.UpstreamPace('u', 2, 0, 4)
                queues = [
                    [report for other, report in reports if other == number]
                    for number in range(3)
                ]
                while any(queues):
                    number = rng.randrange(3)
                    if not queues[number]:
                        continue
                    report = queues[number].pop(0)
                    if queues[number] and rng.random() < 0.3:
                        continue
                    for _ in range(rng.randint(1, 2)):
                        pace.apply_report(f'p{number}', report)
                windows.add(pace.window)
            self.assertEqual(1, len(windows), windows)

        _run(check)

    def test_peer_that_restarts_counts_anew(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            for good in (3, 5, 1, 2):
                member.paces.apply_reports(
                    'p', {'u9': placement.PaceReport(2, good, 0)}
                )
            self.assertEqual(4 + 5 + 2, member.get_window('u9'))

        _run(check)

    def test_later_episode_replaces_the_counts_of_the_earlier(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            member.answer('u9', count=5)
            member.paces.apply_reports(
                'p', {'u9': placement.PaceReport(2, 1, 0, 1)}
            )
            self.assertEqual(3, member.get_window('u9'))
            # A late message of a peer that has not heard of it.
            member.paces.apply_reports(
                'q', {'u9': placement.PaceReport(2, 7, 0, 0)}
            )
            self.assertEqual(3, member.get_window('u9'))

        _run(check)

    def test_messages_without_news_do_not_grow_with_the_upstreams(self):
        async def check():
            counts = []
            for upstream_count in (8, 64):
                member = _Member()
                await _start(member, *[f'n{n}' for n in range(upstream_count)])
                await trio.sleep(2)
                told = set()
                row_count = 0
                for _ in range(64):
                    await trio.sleep(0.25)
                    reports = member.paces.list_reports()
                    row_count += len(reports)
                    told.update(reports)
                counts.append(row_count)
                # Members that join learn of all windows in that time.
                self.assertEqual(upstream_count, len(told))
            self.assertEqual(counts[0], counts[1])

        _run(check)

    def test_news_is_told_again_so_that_messages_may_be_lost(self):
        async def check():
            sender, receiver = _Member(), _Member()
            ids = [f'n{n}' for n in range(40)]
            for member in (sender, receiver):
                await _start(member, *ids)
            await trio.sleep(2)
            sender.answer('n7', count=3)
            for is_lost in (True, True, False):
                await trio.sleep(0.25)
                reports = sender.paces.list_reports()
                self.assertIn('n7', reports)
                if not is_lost:
                    receiver.paces.apply_reports('p', reports)
            self.assertEqual(7, receiver.get_window('n7'))

        _run(check)

    def test_peer_holds_a_window_until_it_tells_of_its_end(self):
        async def check():
            member = _Member()
            member.load.set_peer_counts('p', {})
            member.load.set_peer_counts('q', {})
            await _start(member, 'u9')
            pace = member.paces._paces['u9']
            told = placement.PaceReport(2, 0, 0)
            for peer in ('p', 'q'):
                member.paces.apply_reports(peer, {'u9': told})
            member.paces.apply_reports(
                'p', {'u0': placement.PaceReport(1, 0, 0)}
            )
            self.assertEqual({'p', 'q'}, set(pace.holders))
            member.paces.apply_reports(
                'p', {'u9': placement.PaceReport(2, 0, 0, is_ended=True)}
            )
            self.assertEqual({'q'}, set(pace.holders))
            await trio.sleep(_upstream_paces.HOLDER_KEPT_S + 1)
            member.paces.expire()
            self.assertEqual({}, pace.holders)

        _run(check)

    def test_messages_have_a_bounded_number_of_rows(self):
        async def check():
            member = _Member()
            ids = [f'n{n}' for n in range(100)]
            await _start(member, *ids)
            await trio.sleep(0.1)
            member.answer('n99')
            reports = member.paces.list_reports()
            self.assertEqual(_upstream_paces.MAX_REPORTS, len(reports))
            self.assertIn('n99', reports)

        _run(check)


class PlacementTest(testtools.TestCase):

    def test_starting_upstream_gets_no_more_than_its_window(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            placed_at = member.place(20)
            self.assertEqual(4, placed_at.count('u9'))
            # The others are full, and the window has no room.
            self.assertIs(placement.RefusalReason.FULL, member.place(1).reason)
            member.answer('u9')
            self.assertEqual(['u9'], member.place(1))

        _run(check)

    def test_windows_never_make_a_service_unavailable(self):
        # All upstreams have restarted at once.
        async def check():
            member = _Member()
            await _start(member, 'u8', 'u9', old=())
            placed_at = member.place(16)
            self.assertEqual(8, placed_at.count('u8'))
            self.assertEqual(8, placed_at.count('u9'))
            self.assertIs(placement.RefusalReason.FULL, member.place(1).reason)

        _run(check)

    def test_batch_leaves_half_of_the_window_to_callers(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            slots = member.placer.list_batch_slots('s', 0)
            taken = [slot.upstream_id for slot in slots]
            self.assertEqual(2, taken.count('u9'))
            self.assertEqual(8, taken.count('u0'))

        _run(check)

    def test_every_choice_respects_the_window_while_counts_are_old(self):
        async def check():
            member = _Member()
            await _start(member, 'u9')
            placer = placement.create_placer(
                member.view,
                member.load,
                member.health,
                lambda: 0.1,
                paces=member.paces,
            )
            for n in itertools.count():
                counts = placement.UpstreamCounts(min(3, n), 0)
                member.load.set_peer_counts('p', {'u0': counts, 'u1': counts})
                if n > 3:
                    break
            for _ in range(40):
                placed = placer.place_online('s', '', set(), 5000)
                member.load.add_online(placed.upstream.upstream_id, 1)
            self.assertEqual(4, member.load.sum_counts()['u9'].online)

        _run(check)


class RunTimesTest(testtools.TestCase):

    def _record(self, run_times, upstream, ratio, count=30):
        """Records runs of two routes of unlike length."""
        for n in range(count):
            route, run_ms = (('short', 50), ('long', 2000))[n % 2]
            run_times.record(upstream, route, run_ms * ratio)

    def test_runs_are_compared_with_those_of_their_route(self):
        async def check():
            run_times = placement.create_run_times()
            member = _Member()
            await _start(member)
            u0, u1 = member.view.upstreams.values()
            for _ in range(20):
                run_times.record(u0, 'short', 50)
                run_times.record(u1, 'long', 2000)
            self.assertFalse(run_times.has_uneven())
            for _ in range(10):
                self._record(run_times, u0, 1, 2)
                self._record(run_times, u1, 3, 2)
            self.assertGreater(
                run_times.get_ratio('u1'), 1.5 * run_times.get_ratio('u0')
            )

        _run(check)

    def test_speed_is_forgotten_with_the_start_and_with_time(self):
        async def check():
            for forget in ('start', 'time', 'removal'):
                run_times = placement.create_run_times()
                member = _Member()
                await _start(member)
                u0, u1 = member.view.upstreams.values()
                self._record(run_times, u0, 1)
                self._record(run_times, u1, 3, 10)
                self.assertGreater(run_times.get_ratio('u1'), 1.25)
                if forget == 'start':
                    restarted = _decode_upstream('u1', b'7')
                    self._record(run_times, restarted, 1, 1)
                elif forget == 'removal':
                    run_times.forget('u1')
                else:
                    await trio.sleep(200)
                    run_times.expire()
                self.assertEqual(1.0, run_times.get_ratio('u1'), forget)

        _run(check)
