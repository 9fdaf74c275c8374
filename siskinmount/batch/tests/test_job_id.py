"""Tests of job identifiers."""

import testtools

from siskinmount import batch


class JobIdTest(testtools.TestCase):

    def test_only_same_caller_and_key_give_the_same_id(self):
        first = batch.create_job_id('caller', 'key')
        self.assertEqual(first, batch.create_job_id('caller', 'key'))
        for caller, key in (
            ('caller', 'other'),
            ('other', 'key'),
            ('callerkey', ''),
            ('caller', None),
        ):
            self.assertNotEqual(first, batch.create_job_id(caller, key))

    def test_jobs_without_key_have_different_ids(self):
        self.assertNotEqual(
            batch.create_job_id('caller', None),
            batch.create_job_id('caller', None),
        )
