"""The customer of a job, in records, operations and bounds on tokens."""

import orjson
import testtools
import trio

from siskinmount import jobs
from siskinmount import results
from siskinmount.jobs import _job_records
from siskinmount.jobs import _operations


def _make_job(job_id, customer, tokens=10):
    return jobs.Job(
        job_id=job_id,
        route_name='r',
        host='h',
        accepted_at_ms=1,
        items=[jobs.JobItem('i', '/p', [], b'', tokens)],
        customer=customer,
    )


def _accept(job, bound=0):
    return jobs.AcceptJob(job, bound, 4096, float('inf'))


def _make_table(job):
    """Returns a table that has read the acceptance of a job."""
    key = _job_records.RecordKey(_job_records.RecordKind.JOB, job.job_id)
    records = _job_records.encode_value(key, _job_records.encode_job(job), 4096)
    table = jobs.create_job_table()

    async def apply():
        for record in records:
            table.apply_record(record)

    trio.run(apply)
    return table


class JobCustomerTest(testtools.TestCase):

    def test_record_keeps_the_customer(self):
        for customer in ('alpha', ''):
            value = _job_records.encode_job(_make_job('j', customer))
            self.assertEqual(customer, _read_customer(value))
        fields = orjson.loads(value)
        self.assertNotIn('customer', fields)

    def test_bound_is_that_of_each_customer(self):
        table = _make_table(_make_job('j0', 'a', 60))
        planned = _operations.PlannedChanges()
        cases = [
            ('j1', 'a', 50, False),
            ('j2', 'b', 60, True),
            ('j3', 'b', 50, False),
            ('j4', 'a', 40, True),
            # All callers together, if the job has no customer.
            ('j5', '', 1, False),
        ]
        for job_id, customer, tokens, is_accepted in cases:
            plan = _accept(_make_job(job_id, customer, tokens), 100).plan(
                table, planned
            )
            self.assertEqual(is_accepted, isinstance(plan, list), job_id)

    def test_id_of_a_job_of_another_customer_is_refused(self):
        # Guards against a job that is answered as accepted and never runs.
        table = _make_table(_make_job('j', 'a'))
        planned = _operations.PlannedChanges()
        _accept(_make_job('k', 'a')).plan(table, planned)
        for job_id, known in (('j', jobs.WriteOutcome.DONE), ('k', [])):
            for customer in ('a', ''):
                plan = _accept(_make_job(job_id, customer)).plan(table, planned)
                self.assertEqual(known, plan)
            plan = _accept(_make_job(job_id, 'b')).plan(table, planned)
            self.assertIsInstance(plan, results.Failure)


def _read_customer(value):
    """Returns the customer in the record of a job."""
    return _job_records.decode_job('j', value).customer
