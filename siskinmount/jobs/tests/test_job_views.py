"""A member's view of the jobs when other members write or drop history."""

import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount.jobs.tests import test_job_ledger
from siskinmount.keyed_log.tests import unsteady_log

_MAX_RECORD_BYTES = 700
_MAX_CALL_BYTES = 600


class _Member:
    """A follower, a table and a ledger, without tasks."""

    def __init__(self, log):
        self.table = jobs.create_job_table()
        self.follower = keyed_log.create_log_follower(
            'jobs', log, self.table.apply_record
        )
        self.ledger = jobs.create_job_ledger(
            log, self.follower, self.table, _MAX_CALL_BYTES
        )

    async def accept(self, job_id, item_count=2):
        job = test_job_ledger.make_job(job_id, item_count)
        return await self.ledger.write(
            jobs.AcceptJob(job, 0, _MAX_RECORD_BYTES, 1000)
        )

    async def list_result(self, job_id, item_id, output):
        return await self.ledger.write(
            jobs.AppendResult(
                job_id,
                jobs.ItemResult(item_id, jobs.ItemState.DONE, output),
                _MAX_RECORD_BYTES,
            )
        )

    def list_results(self, job_id):
        found = self.table.jobs[job_id].results
        return [(result.item_id, result.output) for result in found]


class JobViewsTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            async with trio.open_nursery() as nursery:
                log = unsteady_log.UnsteadyLog(nursery)
                members = [_Member(log), _Member(log)]
                for member in members:
                    nursery.start_soon(member.ledger.run)
                with trio.fail_after(1000):
                    await check(log, members, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_record_between_two_calls_of_one_result_is_a_conflict(self):
        # The follower reads the other member's result before the first call of
        # the large one is answered.
        seen = []

        async def check(log, members, nursery):
            first, second = members
            await first.accept('j')
            nursery.start_soon(first.follower.run)
            nursery.start_soon(second.follower.run)
            await trio.sleep(1)
            log.append_faults = [unsteady_log.Fault(None, 0.2)]
            async with trio.open_nursery() as writers:
                writers.start_soon(first.list_result, 'j', 'i0', 'x' * 900)
                await trio.sleep(0.1)
                writers.start_soon(second.list_result, 'j', 'i1', 'y')
            await trio.sleep(2)
            fresh = _Member(log)
            await fresh.follower.sync()
            for member in (first, second, fresh):
                seen.append(member.list_results('j'))

        self._run(check)
        expected = [('i1', 'y'), ('i0', 'x' * 900)]
        self.assertEqual([expected] * 3, seen)

    def test_reload_does_not_complete_a_result_with_parts_of_another(self):
        seen = []

        async def check(log, members, nursery):
            first, second = members
            await first.accept('j')
            # The call after the first parts of the result never arrives.
            log.append_faults = [
                unsteady_log.Fault(None, 0),
                unsteady_log.Fault('late', 1000),
            ]
            nursery.start_soon(first.list_result, 'j', 'i0', 'x' * 600)
            await trio.sleep(0.1)
            reader = _Member(log)
            await reader.follower.sync()
            await second.list_result('j', 'i1', 'y' * 600)
            log.drop_history(len(log.records))
            fresh = _Member(log)
            for member in (reader, fresh):
                await member.follower.sync()
                seen.append(member.list_results('j'))

        self._run(check)
        self.assertEqual([[('i1', 'y' * 600)]] * 2, seen)

    def test_slow_load_does_not_restore_a_dropped_job(self):
        seen = []

        async def check(log, members, nursery):
            first, second = members
            await first.accept('j')
            await first.ledger.write(jobs.EndJob('j', 1000))
            log.page_keys = 100
            log.page_faults = [unsteady_log.Fault(None, 1.0)]
            nursery.start_soon(second.follower.run)
            await trio.sleep(0.1)
            await second.follower.sync()
            await first.ledger.write(jobs.DropJob('j'))
            await second.follower.sync()
            seen.append(list(second.table.jobs))
            await trio.sleep(2)
            seen.append(list(second.table.jobs))

        self._run(check)
        self.assertEqual([[], []], seen)

    def test_reload_replaces_a_job_that_was_dropped_and_accepted_again(self):
        seen = []

        async def check(log, members, nursery):
            first, second = members
            await first.accept('j')
            await first.list_result('j', 'i0', 'x')
            await first.ledger.write(jobs.EndJob('j', 1000))
            await second.follower.sync()
            await first.ledger.write(jobs.DropJob('j'))
            await first.accept('j')
            log.drop_history(len(log.records))
            await second.follower.sync()
            job = second.table.jobs['j']
            seen.append((len(job.results), list(job.open_items), job.is_ended))

        self._run(check)
        self.assertEqual([(0, ['i0', 'i1'], False)], seen)

    def test_reload_keeps_parts_of_a_job_that_is_being_accepted_again(self):
        seen = []

        async def check(log, members, nursery):
            first, second = members
            await first.accept('j', 7)
            await first.ledger.write(jobs.EndJob('j', 1000))
            await second.follower.sync()
            await first.ledger.write(jobs.DropJob('j'))
            # The call with the first part of the new job takes effect later.
            log.append_faults = [
                unsteady_log.Fault(None, 0),
                unsteady_log.Fault('late', 1.0),
            ]
            nursery.start_soon(first.accept, 'j', 7)
            await trio.sleep(0.1)
            log.drop_history(len(log.records))
            await second.follower.sync()
            await trio.sleep(5)
            await second.follower.sync()
            seen.append(list(second.table.jobs))

        self._run(check)
        self.assertEqual([['j']], seen)

    def test_result_queued_with_the_drop_of_its_job_is_not_left_in_the_log(
        self,
    ):
        cases = [('result', 'drop'), ('drop', 'result')]
        for kinds in cases:
            seen = []

            async def check(log, members, nursery, kinds=kinds, seen=seen):
                first = members[0]
                await first.accept('j')
                await first.ledger.write(jobs.EndJob('j', 1000))
                operations = {
                    'drop': jobs.DropJob('j'),
                    'result': jobs.AppendResult(
                        'j',
                        jobs.ItemResult('i0', jobs.ItemState.DONE, 'x'),
                        _MAX_RECORD_BYTES,
                    ),
                }
                for kind in kinds:
                    first.ledger.submit(operations[kind])
                for operation in operations.values():
                    await operation.finished.wait()
                seen.append(list(log.list_newest_values()))

            self._run(check)
            self.assertEqual([[]], seen, kinds)
