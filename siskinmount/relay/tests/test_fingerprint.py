"""Tests of fingerprints."""

import testtools

from siskinmount import relay


class FingerprintTest(testtools.TestCase):

    def test_equal_content_has_equal_fingerprints(self):
        for first, second in (
            (
                {'prompt': 'p', 'max_tokens': 1},
                {'prompt': 'p', 'max_tokens': 2, 'resume_tokens': ['a']},
            ),
            (
                {'prompt': None, 'messages': [{'role': 'r', 'content': 'c'}]},
                {'messages': [{'content': 'c', 'role': 'r', 'name': 'n'}]},
            ),
            (
                {'method': 'POST', 'target': '/a', 'body': 'b', 'headers': []},
                {'method': 'POST', 'target': '/a', 'body': 'b'},
            ),
        ):
            self.assertEqual(
                relay.create_fingerprint('s', first),
                relay.create_fingerprint('s', second),
            )

    def test_other_content_or_service_changes_the_fingerprint(self):
        bodies = (
            {'prompt': 'p'},
            {'prompt': 'q'},
            {'messages': [{'role': 'r', 'content': 'c'}]},
            {'messages': [{'role': 'rc', 'content': ''}]},
            {'messages': [{'role': 'r', 'content': 'c'}] * 2},
            {'method': 'POST', 'target': '/a', 'body': 'b'},
            {'method': 'POST', 'target': '/ab', 'body': ''},
        )
        found = {relay.create_fingerprint('s', body) for body in bodies}
        found.add(relay.create_fingerprint('t', bodies[0]))
        self.assertEqual(len(bodies) + 1, len(found))
