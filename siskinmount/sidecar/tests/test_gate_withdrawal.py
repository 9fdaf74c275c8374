"""Tests of the gate while the platform lists the VM as leaving."""

import testtools
import trio
import trio.testing

from siskinmount import configuration
from siskinmount import results
from siskinmount.sidecar import _gate
from siskinmount.sidecar import _gate_load


def _create_gate(slots):
    return _gate.create_gate(
        configuration.GatePolicy.ONLINE_FIRST,
        _gate_load.GateLoad(slots=slots),
    )


class GateWithdrawalTest(testtools.TestCase):

    def test_refuses_new_requests_until_restored(self):
        async def main():
            gate = _create_gate(2)
            running = _gate_load.Ticket(online=True)
            self.assertIsNone(await gate.admit(running))
            gate.withdraw()
            refusal = await gate.admit(_gate_load.Ticket(online=True))
            self.assertEqual(results.ResultCode.LEAVING, refusal.code)
            self.assertIs(results.RunState.NOT_RUN, refusal.run_state)
            self.assertEqual(1, gate.count_running())
            gate.restore()
            self.assertIsNone(await gate.admit(_gate_load.Ticket(online=True)))

        trio.run(main)

    def test_refuses_waiting_requests(self):
        async def main():
            gate = _create_gate(1)
            await gate.admit(_gate_load.Ticket(online=True))
            refusals = []

            async def wait():
                refusals.append(
                    await gate.admit(_gate_load.Ticket(online=True))
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                gate.withdraw()
            self.assertEqual(results.ResultCode.LEAVING, refusals[0].code)

        trio.run(main)
