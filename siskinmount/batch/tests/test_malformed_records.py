"""Fuzz tests: malformed or unexpected records in the log cause no error."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import results
from siskinmount import state
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state import _configuration_versions
from siskinmount.state import _stream_names
from siskinmount.state import records_pb2

_NUMBERS = strategies.sampled_from([0, 1, 2, 2**31, 2**32 - 1])
_TEXTS = strategies.sampled_from(['', 'job', 'a', '\0'])


@strategies.composite
def _records(draw):
    """Draws a record of any kind with arbitrary field values."""
    record = records_pb2.Record()
    oneof = records_pb2.Record.DESCRIPTOR.oneofs_by_name['kind']
    field = draw(strategies.sampled_from(list(oneof.fields)))
    _fill(draw, getattr(record, field.name), 0)
    getattr(record, field.name).SetInParent()
    return record


def _fill(draw, message, depth):
    for field in message.DESCRIPTOR.fields:
        if not draw(strategies.booleans()):
            continue
        if field.type == field.TYPE_MESSAGE:
            if depth > 1:
                continue
            target = getattr(message, field.name)
            _fill(
                draw, target.add() if field.is_repeated else target, depth + 1
            )
            continue
        value = _value(draw, field)
        if field.is_repeated:
            getattr(message, field.name).append(value)
            continue
        setattr(message, field.name, value)


def _value(draw, field):
    if field.type == field.TYPE_STRING:
        return draw(_TEXTS)
    if field.type == field.TYPE_BYTES:
        return draw(strategies.binary(max_size=4))
    if field.type == field.TYPE_BOOL:
        return draw(strategies.booleans())
    if field.type == field.TYPE_ENUM:
        return draw(strategies.integers(0, 5))
    return draw(_NUMBERS)


class MalformedRecordsTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.binary(max_size=30)))
    def test_bytes_in_a_state_stream(self, items):
        async def check(log, nursery):
            for data in items:
                log.append_now(batch_fixtures.NAME, data)
            owner = await batch_fixtures.start_owner(log, nursery)
            for data in items:
                log.append_now(batch_fixtures.NAME, data)
            await trio.sleep(5)
            self.assertFalse(owner.ended.is_set())

        batch_fixtures.run_with_log(check, fake_log.FakeLog)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.binary(max_size=30)))
    def test_bytes_in_the_unowned_streams(self, items):
        async def main():
            log = fake_log.FakeLog()
            crash_reports = state.create_crash_report_stream(log)
            stream = state.create_configuration_stream(log, _parse)
            for data in items:
                log.append_now(_stream_names.CRASH_REPORTS_STREAM, data)
                log.append_now(_stream_names.CONFIGURATION_STREAM, data)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(crash_reports.run)
                nursery.start_soon(stream.run)
                await trio.sleep(200)
                self.assertEqual(len(items), crash_reports.read_offset)
                self.assertEqual(0, stream.version)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.binary(max_size=10),
                _NUMBERS,
                _NUMBERS,
                strategies.integers(0, 3),
            )
        )
    )
    def test_odd_publications(self, publications):
        tracker = _configuration_versions.VersionTracker(_parse, 1)
        for offset, (text, base, carried, grammar) in enumerate(
            publications, 1
        ):
            record = records_pb2.ConfigurationRecord(
                text=text,
                base_version=base,
                carried_version=carried,
                grammar=grammar,
            )
            tracker.apply(
                backing_services.LogRecord(offset, record.SerializeToString())
            )
        self.assertEqual(0, tracker.version)

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.lists(_records(), max_size=6))
    def test_odd_records_of_an_owner(self, records):
        async def check(log, nursery):
            first = await batch_fixtures.start_owner(log, nursery)
            for record in records:
                await first.stream.commit(record)
            await trio.sleep(5)
            self.assertFalse(first.ended.is_set())

        batch_fixtures.run_with_log(check, fake_log.FakeLog)


def _parse(text):
    document = configuration.parse_document(text)
    if isinstance(document, list):
        return results.Failure(results.ResultCode.DOCUMENT_INVALID, 'faults')
    return document
