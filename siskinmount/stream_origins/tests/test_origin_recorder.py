"""Tests that recorded streams stay in the log, whatever the log does."""

import enum

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import stream_origins
from siskinmount.stream_origins import _origin_recorder

_V2 = fleet.Software('s', 'v2')
#: Longest time after which an unanswered append takes effect.
_LATE_S = 6.0


class _Fault(enum.Enum):
    NONE = 'none'
    REFUSED = 'refused'
    #: It takes effect, and is not answered.
    ANSWER_LOST = 'answer_lost'
    #: It takes effect later, and is not answered.
    LATE = 'late'
    #: It takes no effect, and is not answered.
    LOST = 'lost'


class _Log:
    """Keeps the newest value of each key; injects faults into appends."""

    def __init__(self, nursery, faults=()):
        self.values = {}
        self.faults = list(faults)
        self.append_count = 0
        self.answer_s = 0.004
        self._nursery = nursery

    async def read_newest(self):
        await trio.sleep(0.005)
        records = [
            keyed_log.KeyedRecord(key, value, 0)
            for key, value in self.values.items()
        ]
        return keyed_log.LogPage(records, 1)

    async def append(self, records, at_offset):
        self.append_count += 1
        fault = self.faults.pop(0) if self.faults else _Fault.NONE
        await trio.sleep(self.answer_s)
        if fault is _Fault.REFUSED:
            return results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'busy')
        if fault is _Fault.LATE:
            self._nursery.start_soon(self._apply_late, records)
        elif fault is not _Fault.LOST:
            self._apply(records)
        if fault is not _Fault.NONE:
            await trio.sleep_forever()
        return 0

    async def _apply_late(self, records):
        await trio.sleep(_LATE_S)
        self._apply(records)

    def _apply(self, records):
        for record in records:
            self.values[record.key] = record.value

    def list_streams(self):
        streams = set()
        for value in self.values.values():
            for origin in stream_origins.decode_origins(value):
                streams.add(origin.key.first_attempt)
        return streams


def _submit(recorder, request_id):
    return recorder.submit(
        stream_origins.StreamOrigin(
            stream_origins.make_stream_key(request_id, 'f'), _V2
        )
    )


class OriginRecorderTest(testtools.TestCase):

    def _run(self, check, faults=()):
        async def main():
            async with trio.open_nursery() as nursery:
                log = _Log(nursery, faults)
                recorder = stream_origins.create_origin_recorder(log, 'm')
                nursery.start_soon(recorder.run)
                await check(log, recorder)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_nothing_is_read_or_written_before_a_stream_needs_a_record(self):
        async def check(log, recorder):
            await trio.sleep(60)
            self.assertEqual({}, log.values)
            self.assertEqual(0, log.append_count)
            self.assertTrue(recorder.is_available())

        self._run(check)

    def test_streams_of_a_moment_share_an_append(self):
        async def check(log, recorder):
            pending = [_submit(recorder, f'q{n}') for n in range(20)]
            for each in pending:
                await each.recorded.wait()
            self.assertEqual(1, log.append_count)
            self.assertEqual(20, len(log.list_streams()))

        self._run(check)

    def test_log_that_does_not_answer_is_avoided_until_it_does(self):
        async def check(log, recorder):
            pending = _submit(recorder, 'q')
            await trio.sleep(0.1)
            self.assertFalse(recorder.is_available())
            self.assertFalse(pending.recorded.is_set())
            await pending.recorded.wait()
            self.assertTrue(recorder.is_available())

        self._run(check, [_Fault.LOST, _Fault.LOST])

    def test_log_that_fails_is_tried_without_streams_until_it_works(self):
        async def check(log, recorder):
            _submit(recorder, 'q')
            await trio.sleep(10)
            self.assertFalse(recorder.is_available())
            # Nobody waits for that stream any more.
            log.faults.clear()
            await trio.sleep(2)
            self.assertTrue(recorder.is_available())

        self._run(check, [_Fault.REFUSED] * 200)

    def test_slow_log_is_avoided_though_it_answers(self):
        async def check(log, recorder):
            log.answer_s = 0.3
            for number in range(20):
                await _submit(recorder, f'q{number}').recorded.wait()
            self.assertFalse(recorder.is_available())
            log.answer_s = 0.004
            await trio.sleep(10)
            self.assertTrue(recorder.is_available())

        self._run(check)

    def test_stream_that_was_not_sent_yet_can_be_taken_back(self):
        async def check(log, recorder):
            first = _submit(recorder, 'q')
            await trio.sleep(0.007)
            second = _submit(recorder, 'r')
            self.assertFalse(recorder.withdraw(first))
            self.assertTrue(recorder.withdraw(second))
            await trio.sleep(1)
            self.assertEqual(
                {first.origin.key.first_attempt}, log.list_streams()
            )

        self._run(check)

    def test_keys_of_the_process_before_are_left_alone(self):
        async def check(log, recorder):
            first = _submit(recorder, 'q')
            await first.recorded.wait()
            keys = set(log.values)
            async with trio.open_nursery() as nursery:
                successor = stream_origins.create_origin_recorder(log, 'm')
                nursery.start_soon(successor.run)
                second = _submit(successor, 'r')
                await second.recorded.wait()
                nursery.cancel_scope.cancel()
            self.assertEqual(2, len(log.list_streams()))
            self.assertEqual(1, len(set(log.values) - keys))

        self._run(check)

    def test_late_append_of_the_process_before_overwrites_nothing(self):
        async def check(log, recorder):
            await _submit(recorder, 'q').recorded.wait()
            await trio.sleep(_origin_recorder.RECORD_OPEN_S + 1)
            log.faults = [_Fault.LATE]
            _submit(recorder, 'r')
            await trio.sleep(0.02)
            async with trio.open_nursery() as nursery:
                successor = stream_origins.create_origin_recorder(log, 'm')
                nursery.start_soon(successor.run)
                second = _submit(successor, 's')
                await second.recorded.wait()
                await trio.sleep(2 * _LATE_S)
                nursery.cancel_scope.cancel()
            self.assertIn(second.origin.key.first_attempt, log.list_streams())

        self._run(check)

    def test_number_of_keys_is_bounded(self):
        async def check(log, recorder):
            for number in range(1200):
                await _submit(recorder, f'q{number}').recorded.wait()
                await trio.sleep(0.5)
            rest_s = _origin_recorder.KEY_REST_S
            open_s = _origin_recorder.RECORD_OPEN_S
            self.assertLessEqual(len(log.values), rest_s / open_s + 2)

        self._run(check)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(list(_Fault)), max_size=12),
        strategies.lists(strategies.floats(0, 3), min_size=1, max_size=12),
    )
    def test_recorded_streams_are_in_the_log_for_their_life(
        self, faults, pauses_s
    ):
        async def check(log, recorder):
            recorded = {}

            async def watch(pending):
                await pending.recorded.wait()
                recorded[pending.origin.key.first_attempt] = trio.current_time()

            def check_all():
                now_s = trio.current_time()
                kept = log.list_streams()
                for stream, at_s in recorded.items():
                    if now_s - at_s < stream_origins.STREAM_LIFE_S:
                        self.assertIn(stream, kept)

            async with trio.open_nursery() as nursery:
                for number, pause_s in enumerate(pauses_s):
                    nursery.start_soon(watch, _submit(recorder, f'q{number}'))
                    await trio.sleep(pause_s)
                    check_all()
                for _ in range(40):
                    await trio.sleep(0.7)
                    check_all()
                nursery.cancel_scope.cancel()

        self._run(check, faults)
