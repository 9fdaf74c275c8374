"""Age of keys at members whose store, peers and machines fail."""

import base64
import logging

import hypothesis
from hypothesis import strategies
import orjson
import testtools
import trio
import trio.testing

from siskinmount import transport
from siskinmount.gateway import _key_proofs
from siskinmount.gateway.tests import key_proof_simulation as simulation

_LOGGER_NAME = 'siskinmount.gateway._key_proofs'
_BOUND_S = simulation.BOUND_S

_SECONDS = strategies.sampled_from([0.05, 0.4, 1.0, 2.0, 3.0, 4.0, 5.0, 7.0])
_NUMBER = strategies.integers(0, 2)
_STEP = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(['revoke', 'revoke_invalid']),
        strategies.just(0),
        strategies.just(0.0),
    ),
    strategies.tuples(
        strategies.sampled_from(
            [
                'slow',
                'silent',
                'busy',
                'mend',
                'alone',
                'freeze',
                'restart',
                'transfer',
                'suspend',
                'suspend_and_revoke',
            ]
        ),
        _NUMBER,
        _SECONDS,
    ),
)
_STEPS = strategies.lists(strategies.tuples(_SECONDS, _STEP), max_size=10)


def _run(check, count=1, is_strict=True):
    """Runs `check(world, members, nursery)` with members that have started."""

    async def main():
        world = simulation.World()
        world.store.publish()
        async with trio.open_nursery() as nursery:
            members = [
                world.add(f'm{number}', nursery, is_strict)
                for number in range(count)
            ]
            await trio.sleep(1)
            await check(world, members, nursery)
            nursery.cancel_scope.cancel()
        return world

    logging.disable(logging.CRITICAL)
    try:
        return trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )
    finally:
        logging.disable(logging.NOTSET)


def _apply(world, nursery, step):
    kind, number, duration_s = step
    name = f'm{number}'
    member = world.members[name]
    if kind == 'revoke':
        world.store.publish()
    elif kind == 'revoke_invalid':
        world.store.publish(is_invalid=True)
    elif kind == 'slow':
        member.link.delays_s = [duration_s]
    elif kind in ('silent', 'busy'):
        member.link.fault = kind
    elif kind == 'mend':
        member.link.fault = None
        member.is_alone = False
        member.link.delays_s = [0.005]
    elif kind == 'alone':
        member.is_alone = True
    elif kind == 'freeze':
        member.freeze(duration_s)
    elif kind == 'restart':
        world.add(name, nursery)
    elif kind == 'transfer':
        world.store.transfer_s = duration_s
    else:
        world.suspend(duration_s, kind == 'suspend_and_revoke')


class KeyProofsPropertiesTest(testtools.TestCase):

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(_STEPS)
    def test_no_request_runs_under_a_key_revoked_before_the_bound(self, steps):
        # Guards against a proof that is dated too late: a time taken after the
        # read, a clock that stops, a peer's age that is not its own, a document
        # that was not applied.
        async def check(world, members, nursery):
            for wait_s, step in steps:
                await trio.sleep(wait_s)
                _apply(world, nursery, step)
            await trio.sleep(2 * _BOUND_S)

        world = _run(check, 3)
        self.assertEqual([], world.violations)

    @hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.floats(0.001, 0.55 * _BOUND_S), min_size=1, max_size=9
        ),
        strategies.lists(strategies.floats(0.1, 9), max_size=5),
    )
    def test_nothing_is_refused_while_reads_are_answered(
        self, delays_s, revoked_after_s
    ):
        # Guards against a member that refuses requests though it reaches the
        # store: each read is answered within 0.55 of the bound, and no peer
        # vouches.
        async def check(world, members, nursery):
            members[0].link.delays_s = delays_s
            with trio.move_on_after(30):
                for wait_s in revoked_after_s:
                    await trio.sleep(wait_s)
                    world.store.publish()
                await trio.sleep_forever()

        world = _run(check)
        (member,) = world.members.values()
        self.assertIsNotNone(member.first_current_at_s)
        self.assertEqual([], member.list_refused_after_start())
        self.assertEqual([], world.violations)


class KeyProofsTest(testtools.TestCase):

    def test_calm_store_gets_no_further_reads(self):
        # Guards against calls to the store that cost and prove nothing new.
        for is_strict, most_reads in ((True, 34), (False, 21)):

            async def check(world, members, nursery):
                await trio.sleep(29)

            world = _run(check, 1, is_strict)
            (member,) = world.members.values()
            counts = member.link.call_counts
            self.assertLessEqual(counts['read'], most_reads)
            # One at the start, as the load proves nothing.
            self.assertEqual(1 if is_strict else 0, counts['read_end'])
            self.assertEqual([], member.list_refused_after_start())
            self.assertEqual(0, member.peer_calls)

    def test_store_that_fails_ends_service_at_the_bound(self):
        # Guards against keys in use while the store cannot be read, and against
        # a member that goes on refusing when it can.
        for fault in ('silent', 'busy'):

            async def check(world, members, nursery, fault=fault):
                (member,) = members
                member.link.fault = fault
                failed_at_s = world.get_time_s()
                await trio.sleep(20)
                self.assertFalse(member.key_age.is_current())
                self.assertGreater(member.refused[-1], failed_at_s + 19)
                self.assertLessEqual(
                    member.list_refused_after_start()[0],
                    failed_at_s + _BOUND_S + simulation.CHECK_INTERVAL_S,
                )
                self.assertLessEqual(member.link.most_end_reads, 4)
                member.link.fault = None
                await trio.sleep(1.2)
                self.assertTrue(member.key_age.is_current())

            _run(check)

    def test_slow_answers_keep_the_keys_current(self):
        # Guards against reads sent in bursts, and against reads that are given
        # up before their answers come. The follower's own reads time out here.
        for delays_s in ([1], [2], [3], [3.5], [1, 4, 2, 3, 1.5, 3.5, 2.5]):

            async def check(world, members, nursery, delays_s=delays_s):
                (member,) = members
                member.link.delays_s = delays_s
                # Until the reads are spread over the time of the answers.
                await trio.sleep(15)
                member.refused.clear()
                await trio.sleep(30)
                self.assertEqual([], member.refused, delays_s)
                # A document is received though each read is slow.
                world.store.publish()
                await trio.sleep(2 * max(delays_s) + 2)
                self.assertEqual(2, member.view.document.version)

            _run(check)

    def test_large_document_is_received_once(self):
        # Guards against further reads that receive a large document again and
        # again, so that none arrives in time.
        async def check(world, members, nursery):
            (member,) = members
            world.store.transfer_s = 2.9
            received = member.link.received_documents
            for _ in range(4):
                world.store.publish()
                await trio.sleep(7)
            self.assertEqual(4, member.link.received_documents - received)
            self.assertEqual([], member.list_refused_after_start())

        self.assertEqual([], _run(check).violations)

    def test_refused_document_proves_nothing(self):
        # Guards against keys that a document revokes which this member cannot
        # decode; the next valid document serves again.
        async def check(world, members, nursery):
            (member,) = members
            world.store.publish(is_invalid=True)
            await trio.sleep(_BOUND_S + 0.2)
            self.assertFalse(member.key_age.is_current())
            self.assertFalse(member.proofs.may_serve())
            world.store.publish()
            await trio.sleep(0.5)
            self.assertTrue(member.key_age.is_current())

        self.assertEqual([], _run(check).violations)

    def test_read_in_flight_during_a_freeze_proves_its_own_time(self):
        # Guards against an answer that waited for a frozen process and counts
        # as of its arrival.
        async def check(world, members, nursery):
            (member,) = members
            member.link.delays_s = [1.0]
            await trio.sleep(2.5)
            member.freeze(_BOUND_S + 1)
            await trio.sleep(0.05)
            world.store.publish()
            await trio.sleep(_BOUND_S + 1)
            self.assertGreater(member.key_age.get_age_s(), _BOUND_S)

        self.assertEqual([], _run(check).violations)

    def test_time_of_a_suspension_counts(self):
        # Guards against the monotonic clock, which stops meanwhile.
        async def check(world, members, nursery):
            (member,) = members
            member.link.fault = 'silent'
            world.suspend(_BOUND_S + 1, revokes=True)
            await trio.sleep(0.2)
            self.assertFalse(member.key_age.is_current())
            self.assertLess(0, len(member.list_refused_after_start()))

        self.assertEqual([], _run(check).violations)

    def test_start_is_refused_until_a_document_is_proved(self):
        # Guards against a member that serves at its start with a document whose
        # age it does not know.
        async def check(world, members, nursery):
            late = world.add('late', nursery)
            late.link.fault = 'silent'
            late.is_alone = True
            await trio.sleep(8)
            self.assertFalse(late.key_age.is_current())
            # A peer gives the document and its proof.
            late.is_alone = False
            await trio.sleep(1)
            self.assertTrue(late.key_age.is_current())
            self.assertIsNotNone(late.view.document)

        _run(check)

    def test_peers_vouch_while_one_of_them_reads(self):
        # Guards against members that are cut off from the store and refuse
        # requests though a member that they reach reads it; and against ages
        # that are lost on the way, once no member reads any more.
        async def check(world, members, nursery):
            for member in members[1:]:
                member.link.fault = 'silent'
            await trio.sleep(20)
            for member in members:
                self.assertEqual([], member.list_refused_after_start())
            world.store.publish()
            members[0].link.fault = 'silent'
            await trio.sleep(_BOUND_S + 0.2)
            for member in members:
                self.assertFalse(member.key_age.is_current())

        self.assertEqual([], _run(check, 3).violations)

    def test_peer_is_asked_before_the_store_counts_as_lost(self):
        # Guards against waiting for the time-out of a read while the proof
        # expires.
        async def check(world, members, nursery):
            members[0].link.fault = 'silent'
            await trio.sleep(2.2)
            self.assertTrue(members[0].follower.is_reachable)
            self.assertLess(0, members[0].peer_calls)

        _run(check, 2)

    def test_peers_do_not_send_a_document_that_is_held(self):
        # Guards against a large document with each poll for its age.
        async def check(world, members, nursery):
            members[0].link.fault = 'silent'
            await trio.sleep(30)
            calls = members[0].peer_calls
            self.assertGreater(calls, 20)
            self.assertLess(members[0].peer_bytes / calls, 200)

        _run(check, 2)

    def test_expiry_is_logged_once_with_its_cause(self):
        # Guards against refusals whose cause no line tells.
        async def check(world, members, nursery):
            logging.disable(logging.NOTSET)
            (member,) = members
            member.link.fault = 'silent'
            with self.assertLogs(_LOGGER_NAME, 'INFO') as logs:
                await trio.sleep(15)
                member.link.fault = None
                await trio.sleep(2)
            lines = {line.message: line for line in logs.records}
            self.assertEqual(
                ['keys_outdated', 'key_read_failed', 'keys_current'],
                sorted(lines, key=[r.message for r in logs.records].index),
            )
            outdated = lines['keys_outdated']
            self.assertEqual(1013, outdated.code)
            self.assertEqual((1, 1), (outdated.document_version, 1))
            self.assertFalse(outdated.store_reachable)
            self.assertEqual(1, member.metrics.keys_outdated.get())

        _run(check)


class PeerProofTest(testtools.TestCase):

    def test_answer_that_is_long_on_its_way_is_as_old_as_the_call(self):
        # Guards against a peer's proof that is dated at the arrival of the
        # answer, as when this process is frozen meanwhile.
        async def check(world, members, nursery):
            member = simulation.Member(world, 'other')
            call = member.api._call

            async def call_late(address, request):
                member.api.call_peer = None
                body = await call(address, request)
                await trio.sleep(3)
                return body

            member.api.call_peer = call_late
            await member.api._fetch_fleet(transport.Address('m0', 1))
            self.assertEqual(1, member.view.document.version)
            self.assertGreater(member.key_age.get_age_s(), 3)

        _run(check)

    def test_peer_of_an_earlier_release_gives_the_document_and_no_proof(self):
        # Guards against an answer without an age that counts as new, or that
        # is refused as a whole.
        async def check(world, members, nursery):
            fields = {
                'document': base64.b64encode(world.store.sources[0]).decode(),
                'upstreams': {},
                'upstreams_offset': 0,
            }
            for age_ms, expected in ((None, False), (100, True)):
                if age_ms is not None:
                    fields['document_age_ms'] = age_ms
                member = simulation.Member(world, 'other')

                async def call(address, request):
                    return orjson.dumps(fields)

                member.api.call_peer = call
                address = transport.Address('m0', 1)
                await member.api._fetch_fleet(address)
                self.assertEqual(1, member.view.document.version)
                self.assertEqual(expected, member.key_age.is_current())

        _run(check)

    def test_ages_that_prove_nothing_are_dropped(self):
        # Guards against a proof of the future, or of nothing, by a peer of
        # another release or with a fault.
        cases = [
            # Version, age in ms, whether the proof counts.
            (1, 100, True),
            (1, None, False),
            (1, -100, False),
            (1, True, False),
            (1, '100', False),
            (None, 100, False),
            (2, 100, False),
        ]

        async def check(world, members, nursery):
            for version, age_ms, expected in cases:
                member = simulation.Member(world, 'other')
                member.view.apply_document(world.store.sources[0], 'test')
                asked_at_s = world.get_time_s()
                member.proofs.record_peer('p', asked_at_s, version, age_ms)
                self.assertEqual(
                    expected, member.key_age.is_current(), (version, age_ms)
                )
                if expected:
                    self.assertAlmostEqual(0.1, member.key_age.get_age_s())

        _run(check)

    def test_wait_of_reads_is_within_the_store_client_s_timeout(self):
        cases = [(None, 1500), (5.0, 900), (60.0, 1500)]
        for max_age_s, expected_ms in cases:
            self.assertEqual(
                expected_ms, _key_proofs.compute_read_wait_ms(max_age_s)
            )
