"""Age of the proof that the document in force is the newest."""

import testtools

from siskinmount import customers


class KeyAgeTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.version = 3
        self.changes = []

    def _create(self, max_age_s=5.0):
        age = customers.create_key_age(
            max_age_s, lambda: self.now_s, lambda: self.version
        )
        age.watch(self.changes.append)
        return age

    def test_keys_are_outdated_without_a_proof_and_at_the_bound(self):
        # Guards against a request that runs at exactly the bound.
        age = self._create()
        self.assertFalse(age.is_current())
        self.assertTrue(age.record_proof(98.0, 3))
        for now_s, expected in ((100.0, True), (102.9, True), (103.0, False)):
            self.now_s = now_s
            self.assertEqual(expected, age.is_current(), now_s)
        self.assertEqual([True, False], self.changes)

    def test_proof_counts_only_for_the_version_in_force_or_an_earlier_one(
        self,
    ):
        # Guards against keys of an old document that a proof for a newer one,
        # which this member does not hold, keeps in use.
        cases = [
            # Version in force, version proved, whether the proof counts.
            (3, 3, True),
            (4, 3, True),
            (3, 4, False),
            (None, 3, False),
        ]
        for in_force, proved, expected in cases:
            self.version = in_force
            age = self._create()
            self.assertEqual(expected, age.record_proof(99.0, proved))
            self.assertEqual(expected, age.is_current())

    def test_earlier_proof_does_not_replace_a_later_one(self):
        # Guards against an answer that arrives late and shortens the age.
        age = self._create()
        age.record_proof(99.0, 3)
        self.assertFalse(age.record_proof(95.0, 3))
        self.assertEqual(1.0, age.get_age_s())

    def test_nothing_is_outdated_without_a_bound(self):
        age = self._create(None)
        self.assertTrue(age.is_current())
        self.assertFalse(age.is_older_than(0.5))
        self.assertEqual([], self.changes)
