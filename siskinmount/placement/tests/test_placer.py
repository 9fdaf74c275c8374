"""Choice of an upstream under load."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import transport


def _make_view(upstream_count, state=fleet.UpstreamState.READY):
    def decode(upstream_id, source):
        return fleet.Upstream(
            upstream_id=upstream_id,
            service='s',
            address=transport.Address('127.0.0.1', 1),
            failure_domain='a',
            state=state,
            slot_count=4,
            started_at_ms=0,
        )

    def refuse(source):
        return results.Failure(results.ResultCode.DOCUMENT_INVALID, 'none')

    view = fleet.create_fleet_view(refuse, decode)
    view.replace_upstreams(
        {f'u{n}': b'x' for n in range(upstream_count)}, 'test'
    )
    return view


class LimitedUpstreamsTest(testtools.TestCase):

    def _run(self, check, upstreams=3):
        async def main():
            await trio.sleep(100)
            view = _make_view(upstreams)
            load = placement.create_load_table()
            health = placement.create_upstream_health(
                placement.create_crash_tracker()
            )
            limits = placement.create_rate_limits()
            placer = placement.create_placer(
                view, load, health, rate_limits=limits
            )

            def place(count, **options):
                """Places requests; returns upstreams, or the last refusal."""
                placed_at = []
                for _ in range(count):
                    placed = placer.place_online('s', '', set(), 0, **options)
                    if isinstance(placed, placement.Refusal):
                        return placed
                    upstream_id = placed.upstream.upstream_id
                    load.add_online(upstream_id, 1)
                    placer.record_send(upstream_id)
                    placed_at.append(upstream_id)
                return placed_at

            def name(upstream_id, per_s):
                limits.apply_response(
                    view.upstreams[upstream_id],
                    per_s,
                    trio.current_time(),
                    'q',
                )

            self.limits = limits
            await check(placer, place, name)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _fill(self):
        """Waits until all upstreams have all the tokens that they can have."""
        for _ in range(40):
            await trio.sleep(0.25)
            self.limits.expire({'u0', 'u1', 'u2'})

    def test_others_get_what_an_upstream_does_not_accept(self):
        async def check(placer, place, name):
            name('u0', 1.0)
            self.assertNotIn('u0', place(8))
            # All slots of the others are taken.
            self.assertIs(placement.RefusalReason.FULL, place(1).reason)
            await trio.sleep(0.9)
            self.assertIs(placement.RefusalReason.FULL, place(1).reason)
            await trio.sleep(0.2)
            self.assertEqual(['u0'], place(1))

        self._run(check)

    def test_tokens_are_kept_while_others_can_begin_at_once(self):
        async def check(placer, place, name):
            name('u0', 2.0)
            await trio.sleep(0.9)
            # One and a half tokens: enough for a request that needs one.
            self.assertNotIn('u0', place(8))
            self.assertEqual(['u0'], place(1))
            # A full bucket is used, as further tokens would be lost.
            await self._fill()
            name('u1', 2.0)
            self.assertEqual(['u0'], place(1))

        self._run(check)

    def test_request_is_refused_until_a_token_is_due(self):
        async def check(placer, place, name):
            for upstream_id in ('u0', 'u1', 'u2'):
                name(upstream_id, 2.0)
            refusal = place(1)
            self.assertIs(placement.RefusalReason.RATE_LIMITED, refusal.reason)
            self.assertEqual(500, refusal.retry_after_ms)
            await trio.sleep(0.5)
            self.assertEqual(3, len(place(3)))

        self._run(check)

    def test_less_urgent_requests_leave_tokens(self):
        async def check(placer, place, name):
            name('u0', 4.0)
            await trio.sleep(0.45)
            less = placement.Urgency.ONLINE
            self.assertIsInstance(place(1, urgency=less), placement.Refusal)
            self.assertEqual(0, len(placer.list_batch_slots('s', 0)))
            self.assertEqual(['u0'], place(1))
            await self._fill()
            # Four tokens, but one of the four slots is taken.
            self.assertEqual(3, len(placer.list_batch_slots('s', 0)))
            self.assertEqual(['u0'], place(1, urgency=less))

        self._run(check, upstreams=1)


class PlacerTest(testtools.TestCase):

    def _run(self, check, **options):
        async def main():
            view = _make_view(options.get('upstreams', 3))
            load = placement.create_load_table()
            health = placement.create_upstream_health(
                placement.create_crash_tracker()
            )
            placer = placement.create_placer(view, load, health)
            check(placer, load, health)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_burst_spreads_until_all_slots_are_taken(self):
        def check(placer, load, health):
            for number in range(12):
                placed = placer.place_online('s', f'k{number % 2}', set(), 1)
                self.assertEqual(0, placed.waiting_count)
                load.add_online(placed.upstream.upstream_id, 1)
            counts = sorted(entry.online for entry in load.own.values())
            self.assertEqual([4, 4, 4], counts)

        self._run(check)

    def test_repeatable_request_uses_avoided_upstream_before_refusal(self):
        """Two of three upstreams are avoided as slow during a burst."""

        def check(placer, load, health):
            for upstream_id in ('u0', 'u1'):
                health.record_failure(upstream_id, 'no first byte in time')
            placed_at = []
            for _ in range(12):
                placed = placer.place_online(
                    's', '', set(), 0, may_use_avoided=True
                )
                placed_at.append(placed.upstream.upstream_id)
                load.add_online(placed.upstream.upstream_id, 1)
            self.assertEqual(['u2'] * 4, placed_at[:4])
            self.assertEqual(4, placed_at.count('u0'))
            # A request that must not run twice is refused instead.
            refused = placer.place_online('s', '', {'u0'}, 0)
            self.assertIs(placement.RefusalReason.FULL, refused.reason)

        self._run(check)

    def test_burst_beyond_the_slots_is_refused_with_retry_after(self):
        def check(placer, load, health):
            outcomes = []
            for _ in range(40):
                placed = placer.place_online('s', '', set(), 450)
                outcomes.append(placed)
                if isinstance(placed, placement.Placement):
                    load.add_online(placed.upstream.upstream_id, 1)
            refused = [
                outcome
                for outcome in outcomes
                if isinstance(outcome, placement.Refusal)
            ]
            # Runs take 700 ms and each upstream has four slots: two more wait
            # 350 ms at each, a third would wait 525 ms.
            self.assertEqual(40 - 12 - 6, len(refused))
            for outcome in refused:
                self.assertIs(placement.RefusalReason.FULL, outcome.reason)
                self.assertGreaterEqual(outcome.retry_after_ms, 75)

        self._run(check)

    def test_batch_items_do_not_count_as_waiting(self):
        def check(placer, load, health):
            for n in range(3):
                load.set_batch(f'u{n}', 4, 1)
            placed = placer.place_online('s', '', set(), 1)
            self.assertEqual(0, placed.waiting_count)

        self._run(check)

    def test_free_slot_is_preferred_to_preempting_batch(self):
        def check(placer, load, health):
            load.set_batch('u0', 4, 1)
            load.set_batch('u1', 4, 1)
            load.add_online('u2', 1)
            for key in ('a', 'b', 'c', 'd'):
                placed = placer.place_online('s', key, set(), 1)
                self.assertEqual('u2', placed.upstream.upstream_id)

        self._run(check)

    def test_counts_of_peers_are_included(self):
        def check(placer, load, health):
            load.set_peer_counts(
                'p',
                {
                    'u0': placement.UpstreamCounts(4, 0),
                    'u1': placement.UpstreamCounts(0, 4),
                },
            )
            placed = placer.place_online('s', '', set(), 1)
            self.assertEqual('u2', placed.upstream.upstream_id)
            self.assertEqual(4, placer.count_free('s', 0))
            slots = placer.list_batch_slots('s', 0)
            self.assertEqual(['u2'] * 4, [slot.upstream_id for slot in slots])

        self._run(check)

    def test_avoided_upstream_is_used_only_without_others(self):
        def check(placer, load, health):
            health.record_failure('u0', 'test')
            placed = placer.place_online('s', '', set(), 1)
            self.assertEqual('u1', placed.upstream.upstream_id)
            placed = placer.place_online('s', '', {'u1'}, 1)
            self.assertEqual('u0', placed.upstream.upstream_id)
            refused = placer.place_online('s', '', {'u0', 'u1'}, 1)
            self.assertIs(placement.RefusalReason.NO_UPSTREAM, refused.reason)

        self._run(check, upstreams=2)

    def test_same_prompt_goes_to_the_same_upstream(self):
        def check(placer, load, health):
            first = placer.place_online('s', 'prompt', set(), 1)
            for _ in range(5):
                again = placer.place_online('s', 'prompt', set(), 1)
                self.assertEqual(
                    first.upstream.upstream_id, again.upstream.upstream_id
                )

        self._run(check)

    def test_items_that_start_at_the_same_time_take_different_slots(self):
        # Guards against members that all choose the emptiest upstream.
        def check(placer, load, health):
            load.set_batch('u0', 3, 1)
            load.add_online('u1', 2)
            slots = placer.list_batch_slots('s', 0)
            taken = {}
            for rank in range(len(slots)):
                chosen = slots.choose(rank, set())
                name = chosen.upstream_id
                taken[name] = taken.get(name, 0) + 1
            self.assertEqual({'u0': 1, 'u1': 2, 'u2': 4}, taken)
            first = slots.choose(0, set())
            self.assertEqual('u2', first.upstream_id)
            other = slots.choose(0, {'u2'})
            self.assertEqual('u1', other.upstream_id)
            all_ids = {'u0', 'u1', 'u2'}
            self.assertIsNone(slots.choose(0, all_ids))

        self._run(check)
