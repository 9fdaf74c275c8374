"""Operations that one member hands to another, which writes for all."""

import hypothesis
from hypothesis import strategies
import orjson
import testtools
import trio

from siskinmount import jobs
from siskinmount import results
from siskinmount.jobs.tests import test_job_ledger

_NOT_REACHED = results.Failure(
    results.ResultCode.UPSTREAM_UNREACHABLE, 'refused'
)
_NO_ANSWER = results.Failure(
    results.ResultCode.UPSTREAM_SILENT, 'silent', results.RunState.UNKNOWN
)


class _Writer:
    """Hands operations to a ledger, encoded as on the wire.

    Attributes:
        fault: None, 'refused', 'lost' for an answer that is lost after the
            effect, or 'unfinished' for a writer that does not reach the log.
        call_count: Calls so far.
    """

    def __init__(self, ledger):
        self.fault = None
        self.call_count = 0
        self._ledger = ledger

    def choose(self):
        return 'w'

    async def write(self, writer, operations):
        self.call_count += 1
        if self.fault == 'refused':
            return _NOT_REACHED
        if self.fault == 'unfinished':
            await trio.sleep(0.8)
            return [None] * len(operations)
        decoded = jobs.decode_operations(jobs.encode_operations(operations))
        outcomes = await self._ledger.write_for_peer(decoded)
        if self.fault == 'lost':
            return _NO_ANSWER
        return jobs.decode_outcomes(
            jobs.encode_outcomes(outcomes), len(operations)
        )


class PreferredWriterTest(testtools.TestCase):

    def test_operations_are_written_once_whatever_becomes_of_the_call(self):
        for fault in (None, 'refused', 'lost', 'unfinished'):

            async def check(log, members, fault=fault):
                writer = _Writer(members[1].ledger)
                writer.fault = fault
                members[0].ledger.set_writer(writer)
                accepted = await members[0].accept(
                    test_job_ledger.make_job('j')
                )
                self.assertIs(jobs.WriteOutcome.DONE, accepted, fault)
                for item_id in ('i0', 'i1'):
                    listed = await members[0].list_result('j', item_id)
                    self.assertIs(jobs.WriteOutcome.DONE, listed, fault)
                # The member decides on what was written from now on.
                job = members[0].table.jobs['j']
                self.assertEqual({}, job.open_items, fault)
                self.assertEqual(2, len(job.results))
                self.assertEqual(3, len(log.records), fault)
                # After a failure it appends itself for a while.
                self.assertEqual(1 if fault else 3, writer.call_count, fault)

            test_job_ledger.run_members(2, check)

    def test_writer_appends_the_operations_of_all_together(self):
        async def check(log, members):
            for member in members[1:]:
                member.ledger.set_writer(_Writer(members[0].ledger))
            async with trio.open_nursery() as nursery:
                for number, member in enumerate(members):
                    nursery.start_soon(
                        member.accept, test_job_ledger.make_job(f'j{number}')
                    )
            self.assertEqual(8, len(log.records))
            await members[3].follower.sync()
            self.assertEqual(8, len(members[3].table.jobs))

        test_job_ledger.run_members(8, check)

    def test_outcomes_that_are_no_success_arrive(self):
        async def check(log, members):
            members[0].ledger.set_writer(_Writer(members[1].ledger))
            outcome = await members[0].accept(
                test_job_ledger.make_job('j', tokens=50), quota=60
            )
            self.assertIs(jobs.WriteOutcome.OVER_QUOTA, outcome)
            outcome = await members[0].list_result('unknown', 'i0')
            self.assertIs(jobs.WriteOutcome.NO_SUCH_JOB, outcome)
            ended = await members[0].ledger.write(
                jobs.EndJob('unknown', trio.current_time() + 1)
            )
            self.assertIs(jobs.WriteOutcome.NO_SUCH_JOB, ended)

        test_job_ledger.run_members(2, check)

    def test_failures_are_decoded_as_encoded(self):
        failure = results.Failure(
            results.ResultCode.LOG_APPEND_UNKNOWN,
            'why',
            results.RunState.UNKNOWN,
            500,
        )
        rows = [failure, None, jobs.WriteOutcome.DONE]
        found = jobs.decode_outcomes(jobs.encode_outcomes(rows), 3)
        self.assertEqual(repr(rows), repr(found))
        wrong = jobs.decode_outcomes(jobs.encode_outcomes(rows), 2)
        self.assertIsInstance(wrong, results.Failure)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-9, 2**40)
            | strategies.floats(allow_nan=False, allow_infinity=False)
            | strategies.sampled_from(['accept', 'result', 'end', 'drop', 'e'])
            | strategies.text(max_size=3),
            lambda inner: strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from(
                    ['kind', 'job', 'value', 'left_s', 'max_record_bytes']
                    + ['max_waiting_tokens', 'may_have_been_written']
                    + ['outcome', 'code', 'reason', 'run_state']
                ),
                inner,
                max_size=7,
            ),
            max_leaves=10,
        )
    )
    def test_any_bytes_of_a_peer_never_raise(self, document):
        data = orjson.dumps(document)

        async def main():
            jobs.decode_operations(data)
            jobs.decode_outcomes(data, 1)
            jobs.decode_operations(data[:-1])

        trio.run(main)
