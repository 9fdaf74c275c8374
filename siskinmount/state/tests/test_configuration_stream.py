"""Tests of publishing and following configurations."""

import random

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import backing_services
from siskinmount import results
from siskinmount import state
from siskinmount.backing_services.tests import fake_log
from siskinmount.backing_services.tests import faulty_log
from siskinmount.backing_services.tests import seeded_run
from siskinmount.state import _configuration_versions
from siskinmount.state import records_pb2
from siskinmount.state.tests import stream_fixtures

DAY_MS = 24 * 3600 * 1000


def parse(text):
    if 'invalid' in text:
        return results.Failure(results.ResultCode.DOCUMENT_INVALID, text)
    return text.upper()


def create(log, **options):
    return state.create_configuration_stream(
        log, parse, clock_ms=stream_fixtures.clock_ms, **options
    )


def _record(offset, base, text, *, grammar=1, carried=0):
    record = records_pb2.ConfigurationRecord(
        base_version=base,
        publication=f'{offset}{text}',
        grammar=grammar,
        text=text.encode(),
        carried_version=carried,
    )
    return backing_services.LogRecord(offset, record.SerializeToString())


class ConfigurationStreamTest(testtools.TestCase):

    def run_with_log(self, check):
        async def main():
            log = fake_log.FakeLog()
            async with trio.open_nursery() as nursery:
                await check(log, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_first_publication_on_a_base_wins(self):
        async def check(log, nursery):
            configuration = create(log)
            nursery.start_soon(configuration.run)
            first = await configuration.publish('one', 0, 'ann')
            second = await configuration.publish('two', 0, 'bob')
            third = await configuration.publish('three', first.version, 'bob')
            self.assertEqual(1, first.version)
            self.assertEqual('ann', second.winner.publisher)
            self.assertEqual(3, third.version)
            in_force = await configuration.wait_newer(1)
            self.assertEqual('THREE', in_force.document)

        self.run_with_log(check)

    def test_lost_answers_do_not_fail_a_publication(self):
        async def check(log, nursery):
            log.answers_lost = 3
            accepted = await create(log).publish('one', 0, 'ann')
            self.assertEqual(1, accepted.version)

        self.run_with_log(check)

    def test_outage_sets_the_run_state_of_the_failure(self):
        async def check(log, nursery):
            log.is_down = True
            refused = await create(log).publish('one', 0, 'ann')
            self.assertIs(results.RunState.NOT_RUN, refused.run_state)
            log.is_down = False
            log.appends_dropped = 1000
            unknown = await create(log).publish('one', 0, 'ann')
            self.assertIs(results.RunState.UNKNOWN, unknown.run_state)

        self.run_with_log(check)

    def test_invalid_document_is_never_in_force(self):
        async def check(log, nursery):
            configuration = create(log)
            nursery.start_soon(configuration.run)
            refused = await configuration.publish('invalid', 0, 'ann')
            self.assertEqual(results.ResultCode.DOCUMENT_INVALID, refused.code)
            log.append_now('config', _record(1, 0, 'invalid').data)
            log.append_now('config', b'\xff not a record')
            accepted = await configuration.publish('valid', 0, 'ann')
            self.assertEqual(3, accepted.version)
            in_force = await configuration.wait_newer(0)
            self.assertEqual(3, in_force.version)

        self.run_with_log(check)

    def test_version_is_carried_forward_before_it_expires(self):
        async def check(log, nursery):
            configuration = create(log, retention_ms=DAY_MS)
            nursery.start_soon(configuration.run)
            accepted = await configuration.publish('one', 0, 'ann')
            await trio.sleep(3 * 24 * 3600)
            count = len(log.records('config'))
            self.assertTrue(5 <= count <= 8, count)
            log.expire_before('config', count)
            newcomer = create(log)
            nursery.start_soon(newcomer.run)
            in_force = await newcomer.wait_newer(0)
            self.assertEqual(accepted.version, in_force.version)
            following = await newcomer.publish('two', in_force.version, 'bob')
            self.assertTrue(following.version > count)
            for reader in (configuration, newcomer):
                in_force = await reader.wait_newer(accepted.version)
                self.assertEqual(following.version, in_force.version)
                self.assertEqual('TWO', in_force.document)

        self.run_with_log(check)

    def test_first_publication_after_all_records_expired_is_in_force(self):
        async def check(log, nursery):
            old = create(log, is_carrier=lambda: False)
            nursery.start_soon(old.run)
            await old.publish('lost', 0, 'ann')
            await trio.sleep(1)
            log.append_now('config', _record(2, 0, 'void').data)
            log.expire_before('config', 2)
            winner = await create(log).publish('new', 0, 'ann')
            loser = await create(log).publish('later', 0, 'bob')
            self.assertEqual(3, winner.version)
            self.assertEqual(3, loser.winner.version)
            newcomer = create(log)
            nursery.start_soon(newcomer.run)
            for reader in (old, newcomer):
                in_force = await reader.wait_newer(1)
                self.assertEqual('NEW', in_force.document)

        self.run_with_log(check)

    def test_document_is_evaluated_by_its_own_grammar(self):
        async def check(log, nursery):
            newer = create(
                log, grammar=2, grammar_of=lambda text: 1 + ('X' in text)
            )
            older = create(log)
            nursery.start_soon(older.run)
            first = await newer.publish('a', 0, 'ann')
            self.assertEqual(1, (await older.wait_newer(0)).version)
            await newer.publish('x', first.version, 'ann')
            await trio.sleep(60)
            self.assertEqual(1, older.version)

        self.run_with_log(check)

    def test_adopts_only_higher_versions_from_peers(self):
        async def check(log, nursery):
            configuration = create(log)
            self.assertTrue(configuration.adopt(7, 'seven'))
            self.assertFalse(configuration.adopt(6, 'six'))
            self.assertFalse(configuration.adopt(8, 'invalid'))
            self.assertEqual('SEVEN', configuration.in_force.document)

        self.run_with_log(check)

    def test_older_release_defers_documents_of_unknown_grammar(self):
        records = (
            _record(1, 0, 'one'),
            _record(2, 1, 'invalid', grammar=2),
            _record(3, 1, 'three'),
            _record(4, 3, 'four', grammar=2),
            _record(5, 4, 'five'),
            _record(6, 3, 'three', carried=3),
            _record(7, 5, 'five', carried=5),
        )
        newer = _configuration_versions.VersionTracker(parse, 2)
        older = _configuration_versions.VersionTracker(parse, 1)
        versions = []
        for record in records:
            newer.apply(record)
            older.apply(record)
            versions.append((newer.version, older.version))
            self.assertTrue(older.version <= newer.version)
        self.assertEqual(
            [(1, 1), (1, 1), (3, 1), (4, 1), (5, 1), (5, 3), (5, 5)], versions
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.sampled_from(('valid', 'invalid', 'carry', 'copy')),
            ),
            max_size=30,
        ),
        strategies.integers(1, 30),
    )
    @hypothesis.example([(0, 'valid'), (0, 'valid'), (1, 'carry')], 2)
    @hypothesis.example([(0, 'valid'), (1, 'valid'), (0, 'carry')], 2)
    def test_readers_agree_from_any_start_offset(self, steps, start):
        full = _configuration_versions.VersionTracker(parse, 1)
        records = []
        versions = [0]
        texts = {}
        agrees = False
        is_carried = False
        for offset, (lag, action) in enumerate(steps, start=1):
            # A process that has not read the newest version may carry an older
            # one forward.
            carried = versions[-1 - lag % len(versions)]
            if action == 'carry' and carried:
                record = _record(offset, 0, texts[carried], carried=carried)
                if offset >= start and not is_carried:
                    is_carried = True
                    agrees = all(
                        version <= carried or version >= start
                        for version in versions
                    )
            elif action == 'copy' and records:
                record = backing_services.LogRecord(offset, records[-1].data)
            else:
                base = max(0, full.version - lag)
                record = _record(offset, base, f'{action} {offset}')
            full.apply(record)
            records.append(record)
            versions.append(full.version)
            if full.version:
                texts[full.version] = full.in_force.text
        late = _configuration_versions.VersionTracker(parse, 1)
        for record in records[start - 1 :]:
            late.apply(record)
        if agrees:
            self.assertEqual(full.version, late.version)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(strategies.integers(0, 1 << 32))
    def test_racing_publishers_get_true_outcomes(self, seed):
        run = _PublishRun(seed)
        seeded_run.run(seed, run.main)
        for followed in run.followed:
            self.assertEqual(sorted(set(followed)), followed)
        in_force = {
            version for versions in run.followed for version in versions
        }
        for version in run.accepted:
            self.assertIn(version, run.all_versions)
        self.assertEqual(len(run.accepted), len(set(run.accepted)))
        self.assertEqual(set(), in_force - run.all_versions)


class _PublishRun:
    """Publishers race over a faulty log while followers read it."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.log = fake_log.FakeLog()
        self.accepted = []
        self.followed = []
        self.all_versions = set()

    async def main(self):
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                view = faulty_log.FaultyLog(self.log, self.generator, 0.2)
                nursery.start_soon(self.follow, create(view))
                nursery.start_soon(
                    deliver_delayed_appends, view, self.generator
                )
                for _ in range(2):
                    nursery.start_soon(self.publish, create(view))
            await trio.sleep(60)
            nursery.cancel_scope.cancel()
        tracker = _configuration_versions.VersionTracker(parse, 1)
        for offset, data in enumerate(self.log.records('config'), start=1):
            tracker.apply(backing_services.LogRecord(offset, data))
            self.all_versions.add(tracker.version)

    async def follow(self, configuration):
        versions = []
        self.followed.append(versions)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(configuration.run)
            async for in_force in configuration.follow():
                versions.append(in_force.version)

    async def publish(self, configuration):
        base = 0
        for number in range(10):
            outcome = await configuration.publish(str(number), base, 'p')
            if isinstance(outcome, state.Accepted):
                self.accepted.append(outcome.version)
                base = outcome.version
            elif isinstance(outcome, state.VersionConflict) and outcome.winner:
                base = outcome.winner.version
            await trio.sleep(self.generator.uniform(0, 1))


async def deliver_delayed_appends(view, generator):
    while True:
        await trio.sleep(generator.uniform(0, 3))
        view.deliver_late()
