"""Tests of an owner whose process was paused while another took over."""

import testtools
import trio
import trio.lowlevel

from siskinmount import batch
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state.tests import stream_fixtures

_PAUSE_S = 8.0


class PausedOwnerTest(testtools.TestCase):

    def test_owner_that_was_paused_starts_no_items_of_a_cancelled_job(self):
        async def main(log, nursery):
            view = stream_fixtures.FrozenView(log)
            paused = await batch_fixtures.start_owner(view, nursery)
            await paused.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(3)
            )
            [held] = (await paused.batch.pull(batch_fixtures.pull(1))).items
            view.freeze()
            successor = await batch_fixtures.start_owner(log, nursery, 'vm-b')
            await successor.batch.cancel('job', 'swapnest')
            trio.lowlevel.current_clock().jump(_PAUSE_S)

            pulled = await paused.batch.pull(batch_fixtures.pull())
            self.assertEqual([], pulled.items)
            renewed = paused.batch.renew(
                batch.RenewRequest(
                    'vm-s',
                    1,
                    [batch.LeaseName(held.job, held.index, held.lease)],
                )
            )
            self.assertEqual([], renewed.cancelled)
            self.assertEqual(1, len(renewed.unconfirmed))

            view.thaw()
            await paused.ended.wait()

        batch_fixtures.run_with_log(main, fake_log.FakeLog)

    def test_owner_that_was_paused_goes_on_once_it_has_read_the_log(self):
        async def main(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(3)
            )
            trio.lowlevel.current_clock().jump(_PAUSE_S)
            pulled = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual([], pulled.items)
            # Less than a read waits at the end of the log.
            await trio.sleep(0.5)
            pulled = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual(3, len(pulled.items))

        batch_fixtures.run_with_log(main, fake_log.FakeLog)
