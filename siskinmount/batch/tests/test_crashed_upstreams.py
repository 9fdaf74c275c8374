"""Tests of items whose runs end with crashes of their upstreams."""

import testtools
import trio

from siskinmount import batch
from siskinmount import results
from siskinmount import state
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state.tests import stream_fixtures

_CRASHES = 12
#: Longer than any pause between two attempts.
_PAUSE_S = 61


class CrashedUpstreamsTest(testtools.TestCase):

    def test_item_under_which_upstreams_crash_is_handed_out_again(self):
        codes = results.ResultCode
        cases = [
            (False, codes.UPSTREAM_LOST),
            (True, codes.UPSTREAM_LOST),
            (True, codes.REQUEST_SUSPECT),
            (True, codes.REQUEST_CONVICTED),
        ]
        for was_alone, code in cases:

            async def check(log, nursery, was_alone=was_alone, code=code):
                crash_reports = state.create_crash_report_stream(
                    log, clock_ms=stream_fixtures.clock_ms
                )
                owner = await batch_fixtures.start_owner(
                    log, nursery, crash_tracker=crash_reports
                )
                await owner.batch.submit(
                    batch_fixtures.request(), batch_fixtures.bodies(1)
                )
                for number in range(_CRASHES):
                    reply = await owner.batch.pull(batch_fixtures.pull())
                    self.assertEqual(1, len(reply.items), (was_alone, number))
                    self.assertEqual(number > 0, reply.items[0].solo)
                    await owner.batch.report(
                        batch_fixtures.report(
                            reply.items[0],
                            batch.ReportedOutcome.FAILED,
                            code=int(code),
                            upstream_generation=number + 1,
                            was_alone=was_alone,
                            fingerprint=reply.items[0].fingerprint,
                        )
                    )
                    await trio.sleep(_PAUSE_S)
                self.assertEqual(
                    [0], await batch_fixtures.finish_all(owner), was_alone
                )

            batch_fixtures.run_with_log(check, fake_log.FakeLog)
