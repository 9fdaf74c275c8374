"""Gateways that must prove the age of their keys, over real connections."""

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness
from standins import faults


async def _read_fleet(running, target='/peer/fleet'):
    answer = await gateway_harness.call(
        running.settings.control_address, 'GET', target
    )
    return answer.json()


class StrictRevocationTest(testtools.TestCase):

    def _run(self, check):
        async def start(fleet):
            fleet.settings = {'strict_revocation': True, 'key_max_age_ms': 2000}
            for number in range(2):
                running = await fleet.start_gateway(number)
                await fleet.wait_ready(running)
            await check(fleet)

        gateway_harness.run_fleet(start, gateway_count=0)

    def test_peer_tells_its_document_and_the_age_of_its_proof(self):
        # Guards against a document that is sent again to a peer that holds it,
        # and against an age that is not told or not renewed.
        async def check(fleet):
            running = fleet.gateways[0]
            fields = await _read_fleet(running)
            while fields['document_age_ms'] is None:
                await trio.sleep(gateway_harness.POLL_S)
                fields = await _read_fleet(running)
            self.assertEqual(1, fields['document_version'])
            self.assertNotEqual('', fields['document'])
            offset = fields['upstreams_offset']
            for held, is_sent in ((0, True), (1, False), (2, False)):
                fields = await _read_fleet(
                    running,
                    f'/peer/fleet?version={held}&upstreams_offset={offset}',
                )
                self.assertEqual(is_sent, fields['document'] != '', held)
                self.assertEqual({}, fields['upstreams'])

        self._run(check)

    def test_age_grows_while_the_store_is_silent_and_falls_after(self):
        # Guards against a peer or a late answer that makes a proof younger than
        # the last read of any member.
        async def check(fleet):
            fleet.store_faults.begin_outage(faults.FaultMode.SILENT, 4000)
            ages_ms = []
            while not ages_ms or max(ages_ms) < 2000:
                for running in fleet.gateways:
                    fields = await _read_fleet(running)
                    ages_ms.append(fields['document_age_ms'] or 0)
                await trio.sleep(gateway_harness.POLL_S)
            while ages_ms[-1] > 500:
                fields = await _read_fleet(fleet.gateways[0])
                ages_ms.append(fields['document_age_ms'])
                await trio.sleep(gateway_harness.POLL_S)

        self._run(check)
