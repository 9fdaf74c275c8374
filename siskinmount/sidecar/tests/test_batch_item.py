"""Tests of the condition under which a batch item may start."""

import testtools
import trio
import trio.testing

from siskinmount.sidecar import _batch_item
from siskinmount.sidecar import _run_request


class BatchItemTest(testtools.TestCase):

    def test_starts_only_after_recent_lease_confirmation(self):
        async def main():
            for idempotent in (True, False):
                item = _batch_item.BatchItem(
                    key=_batch_item.ItemKey('j', 0),
                    attempt=1,
                    lease='l',
                    lease_ms=30_000,
                    idempotent=idempotent,
                    fingerprint='f',
                    body=_run_request.PlainBody(method='POST', target='/'),
                )
                item.extend_lease(trio.current_time())
                request = item.create_request()
                self.assertTrue(request.may_start())
                await trio.sleep(_batch_item.MAX_CONFIRMATION_AGE_S + 0.1)
                self.assertFalse(request.may_start())
                item.extend_lease(trio.current_time())
                self.assertTrue(request.may_start())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
