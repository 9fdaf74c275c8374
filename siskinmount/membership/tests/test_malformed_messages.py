"""Fuzz tests of member messages and addresses."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import membership
from siskinmount import results
from siskinmount import rpc
from siskinmount import transport

_TEXTS = strategies.text(max_size=8) | strategies.sampled_from(
    ['127.0.0.1:1', 'x:99999', ':1', '::1:1', '1:\u0663', 'h:' + '9' * 5000]
)
_NUMBERS = strategies.sampled_from([0, 1, 2**32 - 1])


class MalformedMessagesTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.builds(
                rpc.Member,
                vm=_TEXTS,
                role=_TEXTS | strategies.sampled_from(['entry', 'sidecar']),
                incarnation=strategies.sampled_from([0, 1, 2**64 - 1]),
                region=_TEXTS,
                failure_domain=_TEXTS,
                peers_address=_TEXTS,
                control_address=_TEXTS,
                state=_TEXTS | strategies.sampled_from(['live', 'leaving']),
                service=_TEXTS,
                slots=_NUMBERS,
                in_flight=_NUMBERS,
                heard_ms_ago=_NUMBERS,
            ),
            max_size=4,
        )
    )
    def test_any_member_is_taken_or_refused(self, messages):
        table = membership.create_member_table()
        for message in messages:
            member = membership.decode_member(message)
            if isinstance(member, results.Failure):
                self.assertEqual(results.ResultCode.INVALID_FIELD, member.code)
                continue
            table.apply_heartbeat(member)
            self.assertTrue(membership.encode_member(member).vm)

    def test_invalid_addresses_are_rejected(self):
        for text in ('', ':', ':1', 'h:', 'h:65536', 'h:-1', 'h:\u0663'):
            self.assertIsInstance(
                transport.parse_address(text), results.Failure
            )
        self.assertIsInstance(
            transport.parse_address('h:' + '9' * 5000), results.Failure
        )
