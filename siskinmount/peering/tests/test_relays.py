"""Tests that messages reach all members of a large fleet through relays."""

import hypothesis
from hypothesis import strategies
import orjson
import testtools
import trio
import trio.testing

from siskinmount import peering
from siskinmount import results
from siskinmount.peering import _item_claims
from siskinmount.peering import _peer_datagram
from siskinmount.peering import _peer_directory
from siskinmount.peering import _relay_choice
from siskinmount.peering import _relay_plan
from siskinmount.peering.tests import exchange_network

#: Time within which a change at one member is known to all others.
_KNOWN_EVERYWHERE_S = 0.5
_START_S = 3.0


def _make_domains(member_count, domain_count):
    return {f'm{n}': f'd{n % domain_count}' for n in range(member_count)}


class RelayPlanTest(testtools.TestCase):

    def test_number_of_relays(self):
        cases = [
            # Members, failure domains, relays at least and at most.
            (1, 1, 1, 1),
            (6, 3, 6, 6),
            (12, 3, 12, 12),
            (13, 3, 6, 6),
            (31, 3, 6, 6),
            (94, 5, 10, 10),
            (330, 19, 38, 38),
            (94, 94, 94, 94),
        ]
        for members, domains, least, most in cases:
            plan = _relay_plan.plan_relays(
                'm0', _make_domains(members, domains)
            )
            self.assertTrue(
                least <= len(plan.relays) <= most,
                (members, domains, len(plan.relays)),
            )
            self.assertEqual(members <= 12, plan.is_direct)

    def test_all_members_compute_the_same_relays(self):
        domains = _make_domains(40, 4)
        plans = [_relay_plan.plan_relays(name, domains) for name in domains]
        self.assertEqual(1, len({plan.relays for plan in plans}))
        served = [plan.is_relay for plan in plans]
        self.assertEqual(len(plans[0].relays), sum(served))

    def test_relays_of_the_own_domain_are_preferred(self):
        domains = _make_domains(40, 4)
        for name in domains:
            plan = _relay_plan.plan_relays(name, domains)
            own = [
                relay
                for relay in plan.relays
                if domains[relay] == domains[name]
            ]
            if plan.is_relay:
                own.remove(name)
            self.assertEqual(set(own), set(plan.preferred[: len(own)]))
            self.assertNotIn(name, plan.preferred)

    def test_members_with_wide_links_are_relays(self):
        domains = _make_domains(90, 5)
        links = {name: 1000 if int(name[1:]) % 4 else 15 for name in domains}
        plan = _relay_plan.plan_relays('m0', domains, links)
        self.assertEqual({1000}, {links[relay] for relay in plan.relays})
        # Of links that are wide enough none is preferred.
        links['m1'] = 10_000
        self.assertEqual(
            plan.relays, _relay_plan.plan_relays('m0', domains, links).relays
        )

    def test_relays_where_all_links_are_narrow(self):
        domains = _make_domains(90, 5)
        links = dict.fromkeys(domains, 15)
        plan = _relay_plan.plan_relays('m0', domains, links)
        self.assertEqual(
            _relay_plan.plan_relays('m0', domains).relays, plan.relays
        )

    def test_loss_of_a_member_changes_few_relays(self):
        domains = _make_domains(60, 3)
        before = _relay_plan.plan_relays('m0', domains).relays
        for name in list(domains)[1:]:
            rest = {key: value for key, value in domains.items() if key != name}
            after = _relay_plan.plan_relays('m0', rest).relays
            self.assertLessEqual(len(before ^ after), 2, name)


class RelayChoiceTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            await check(_relay_choice.create_relay_choice())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _pass(self, choice, seconds, answering):
        """Lets time pass while some relays answer."""
        for _ in range(int(seconds / 0.1)):
            await trio.sleep(0.1)
            for relay in answering:
                choice.record_answer(relay)
            choice.update(['a', 'b', 'c'])

    def test_silent_relay_is_replaced_and_asked_again(self):
        async def check(choice):
            choice.update(['a', 'b', 'c'])
            self.assertEqual(('a', 'b'), (choice.primary, choice.secondary))
            await self._pass(choice, 0.5, ['a'])
            self.assertEqual('a', choice.primary)
            await self._pass(choice, 0.8, ['b'])
            self.assertEqual('b', choice.primary)
            # It answers again: it is the primary relay once it is asked.
            await self._pass(choice, 3, ['a', 'b'])
            self.assertEqual('a', choice.primary)

        self._run(check)

    def test_former_relay_is_asked_until_the_new_one_answers(self):
        async def check(choice):
            choice.update(['b', 'c'])
            await trio.sleep(0.1)
            choice.record_answer('b')
            choice.update(['a', 'b', 'c'])
            self.assertEqual(['a', 'b'], choice.list_asked())
            choice.record_answer('a')
            choice.update(['a', 'b', 'c'])
            self.assertEqual(['a'], choice.list_asked())

        self._run(check)

    def test_own_pause_is_not_held_against_the_relay(self):
        async def check(choice):
            choice.update(['a', 'b', 'c'])
            choice.record_answer('a')
            await trio.sleep(3)
            choice.update(['a', 'b', 'c'])
            self.assertEqual('a', choice.primary)

        self._run(check)

    def test_no_relay_answers(self):
        async def check(choice):
            await self._pass(choice, 2, [])
            self.assertIsNone(choice.primary)

        self._run(check)


class PeerDatagramTest(testtools.TestCase):

    def test_rows_are_split_over_datagrams_and_complete(self):
        rows = [b'x' * 3000, b'y' * 3000, b'z' * 9000, b'a']
        found = []
        kind = _peer_datagram.DatagramKind.DIGEST
        for data in _peer_datagram.encode_datagrams(kind, 'a b\n', rows):
            datagram = _peer_datagram.decode_datagram(data)
            self.assertIs(kind, datagram.kind)
            self.assertEqual('a b\n', datagram.sender)
            found += datagram.rows
        self.assertEqual(rows, found)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=60))
    def test_invalid_datagrams_never_raise(self, data):
        datagram = _peer_datagram.decode_datagram(data)
        if not isinstance(datagram, results.Failure):
            for row in datagram.rows:
                peering.split_row(row)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=4),
            lambda inner: strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from(
                    ['address', 'version', 'counts', 'held', 'link_mbps']
                    + ['crash_reports', 'departures', 'kept', 'troubled', 'u']
                ),
                inner,
                max_size=4,
            ),
            max_leaves=8,
        )
    )
    def test_rows_with_any_fields_never_raise(self, fields):
        async def main():
            network = exchange_network.Network(None)
            member = exchange_network.Member(network, 'm', 'a', 1)
            body = orjson.dumps(fields, default=str)
            member.exchange.handle_datagram(b'Xp\np 1 1 ' + body)
            member.exchange.handle_datagram(body)

        try:
            orjson.dumps(fields)
        except TypeError:
            return
        trio.run(main)


class ItemClaimsTest(testtools.TestCase):

    def test_claims_of_several_peers_on_one_item(self):
        claims = _item_claims.create_item_claims()
        claims.replace('p', {'a', 'b'}, {'k'})
        claims.replace('q', {'a'}, {'k'})
        self.assertEqual('q', claims.keeper_by_tag['k'])
        claims.replace('q', set(), set())
        self.assertEqual(['p'], claims.holders_by_tag['a'])
        self.assertEqual('p', claims.keeper_by_tag['k'])
        claims.drop('p')
        self.assertEqual({}, claims.holders_by_tag)
        self.assertEqual({}, claims.keeper_by_tag)
        self.assertEqual([], claims.list_claimants())


class ExchangeTest(testtools.TestCase):

    def _run(self, check, count, domain_count=3):
        async def main():
            async with trio.open_nursery() as nursery:
                network = exchange_network.Network(nursery)
                network.start(count, domain_count)
                await trio.sleep(_START_S)
                self.assertEqual([], network.list_unheard())
                await check(network)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_change_is_known_everywhere(self):
        async def check(network):
            network.members['m3'].load.add_online('u', 1)
            network.members['m4'].held_tags.add('t')
            network.members['m4'].load.announce()
            await trio.sleep(_KNOWN_EVERYWHERE_S)
            for member in network.members.values():
                self.assertEqual(1, member.load.sum_counts()['u'].online)
                if member.name != 'm4':
                    self.assertIn('t', member.directory.claims.holders_by_tag)

        for count in (6, 40):
            self._run(check, count)

    def test_death_is_known_everywhere(self):
        async def check(network):
            network.kill('m5')
            await trio.sleep(_peer_directory.SILENT_S + _KNOWN_EVERYWHERE_S)
            for member in network.members.values():
                self.assertNotIn('m5', member.list_live())

        self._run(check, 40)

    def test_cost_does_not_rise_with_the_fleet(self):
        rates = {}

        async def check(network):
            network.received.clear()
            before = {m.name: m.sent_count for m in network.members.values()}
            await trio.sleep(5)
            for member in network.members.values():
                sent = member.sent_count - before[member.name]
                rate = (sent + network.received[member.name]) / 5
                key = (len(network.members), member.exchange.plan.is_relay)
                rates[key] = max(rates.get(key, 0), rate)

        for count in (30, 90):
            self._run(check, count)
        # All to all they would be 240 and 720 a second.
        for count in (30, 90):
            self.assertLess(rates[(count, False)], 20)
        self.assertLess(rates[(90, True)], 250)

    def test_narrow_links_do_not_make_members_seem_lost(self):
        async def main():
            async with trio.open_nursery() as nursery:
                network = exchange_network.Network(nursery)
                for number in range(88):
                    member = network.start_member(
                        f'm{number}',
                        f'd{number % 5}',
                        link_mbps=15 if number % 2 else 300,
                    )
                    member.held_tags = {f'{number:016x}{n}' for n in range(50)}
                network.tell_all()
                for _ in range(10):
                    await trio.sleep(1)
                    for member in network.members.values():
                        member.held_tags.add(f'{trio.current_time():.6f}')
                self.assertEqual([], network.list_unheard())
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_no_member_seems_lost_when_relays_die(self):
        async def check(network):
            relays = network.members['m0'].exchange.plan.relays
            by_domain = {}
            for name in sorted(relays):
                by_domain.setdefault(network.members[name].domain, name)
            for name in by_domain.values():
                network.kill(name)
            for _ in range(40):
                await trio.sleep(0.1)
                self.assertEqual([], network.list_unheard())

        self._run(check, 40)

    def test_lost_datagrams_do_not_make_members_seem_lost(self):
        async def check(network):
            network.loss_share = 0.05
            for _ in range(100):
                await trio.sleep(0.1)
                self.assertEqual([], network.list_unheard())

        self._run(check, 40)

    def test_member_whose_rows_relays_lose_is_asked(self):
        # The rows of one live member were lost five times in sequence, and it
        # was taken for gone.
        async def check(network):
            network.is_lost = lambda name, data: (
                name == 'm3'
                and not data[1:].startswith(b'm5\n')
                and b'\nm5 ' in data
            )
            for _ in range(40):
                await trio.sleep(0.1)
                self.assertEqual([], network.list_unheard())

        self._run(check, 40)

    def test_member_that_counts_as_gone_is_queried_no_more(self):
        async def check(network):
            network.kill('m5')
            await trio.sleep(_peer_directory.SILENT_S + 0.2)
            queries = []
            network.is_lost = lambda name, data: (
                data.startswith(b'Q') and queries.append(name)
            )
            await trio.sleep(2)
            self.assertEqual([], queries)

        self._run(check, 40)

    def test_halves_that_were_cut_off_meet_again(self):
        async def check(network):
            for length_s in (5, 70):
                network.is_cut = lambda one, other: _is_odd(one) != _is_odd(
                    other
                )
                await trio.sleep(length_s)
                for member in network.members.values():
                    self.assertEqual(11, len(member.list_live()))
                network.is_cut = lambda one, other: False
                await trio.sleep(4)
                self.assertEqual([], network.list_unheard())

        self._run(check, 24)

    def test_member_that_reaches_no_other_returns(self):
        async def check(network):
            network.is_cut = lambda one, other: 'm7' in (one, other)
            await trio.sleep(5)
            self.assertEqual(set(), network.members['m7'].list_live())
            network.is_cut = lambda one, other: False
            await trio.sleep(3)
            self.assertEqual([], network.list_unheard())

        self._run(check, 40)

    def test_all_die_and_come_back_together(self):
        async def check(network):
            for name in list(network.members):
                network.kill(name)
            await trio.sleep(1)
            network.start(40)
            await trio.sleep(_START_S)
            self.assertEqual([], network.list_unheard())

        self._run(check, 40)


class SilentMemberTest(testtools.TestCase):
    """A member that is silent for a while keeps its running work."""

    def test_claims_of_a_silent_member(self):
        silent_s = _peer_directory.SILENT_S
        cases = [
            # How the member falls silent, how long its claims are kept.
            ('frozen', silent_s + _peer_directory.CLAIMS_KEPT_S),
            ('leaving', silent_s),
            ('restarted', 0.0),
        ]
        for how, kept_s in cases:
            held = trio.run(
                self._watch_claim,
                how,
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
            for since_s, is_held in held:
                if abs(since_s - kept_s) > 0.15:
                    self.assertEqual(since_s < kept_s, is_held, (how, since_s))

    async def _watch_claim(self, how):
        """Returns whether a claim was kept, by the time since it was told."""
        network = exchange_network.Network(None)
        member = exchange_network.Member(network, 'm', 'a', 1)
        peer = exchange_network.Member(network, 'p', 'a', 1)
        peer.held_tags = {'t'}
        peer.is_leaving = how == 'leaving'
        member.directory.apply_message(peer._create_message(1))
        if how == 'restarted':
            peer.incarnation = 2
            peer.held_tags = set()
            member.directory.apply_message(peer._create_message(1))
        began_at_s = trio.current_time()
        held = []
        for _ in range(60):
            member.directory.list_live()
            held.append(
                (
                    trio.current_time() - began_at_s,
                    't' in member.directory.claims.holders_by_tag,
                )
            )
            await trio.sleep(0.1)
        return held


def _is_odd(name):
    return int(name[1:]) % 2
