"""Tests of job identifiers."""

import testtools

from siskinmount import batch


class JobIdTest(testtools.TestCase):

    def test_resend_has_the_same_id_and_others_have_not(self):
        first = batch.create_job_id('caller', 'key')
        self.assertEqual(first, batch.create_job_id('caller', 'key'))
        for caller, key in (
            ('caller', 'other'),
            ('other', 'key'),
            ('callerkey', ''),
            ('caller', None),
        ):
            self.assertNotEqual(first, batch.create_job_id(caller, key))

    def test_jobs_without_key_are_different(self):
        self.assertNotEqual(
            batch.create_job_id('caller', None),
            batch.create_job_id('caller', None),
        )
