"""Tests of reloading the settings of a running gateway."""

import copy
import logging

import testtools

from siskinmount import configuration
from siskinmount.gateway.tests import gateway_harness


class ReloadTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        level = logging.getLogger().level
        self.addCleanup(logging.getLogger().setLevel, level)

    def test_reload_applies_new_settings_while_requests_are_served(self):
        async def check(fleet):
            running = fleet.gateways[0]
            settings = copy.copy(running.settings)
            settings.log_level = configuration.LogLevel.ERROR
            running.next_settings = settings
            running.signals.reload.set()
            await gateway_harness.wait_until(
                lambda: logging.getLogger().level == logging.ERROR
            )
            answer = await fleet.call(0, 'POST', '/stream/x', x_request_id='q')
            self.assertEqual((200, True), (answer.status, answer.is_whole))

        gateway_harness.run_fleet(check)

    def test_reload_of_invalid_settings_keeps_the_old_ones(self):
        async def check(fleet):
            running = fleet.gateways[0]
            logging.getLogger().setLevel(logging.INFO)
            running.signals.reload.set()
            await gateway_harness.wait_until(
                lambda: not running.signals.reload.is_set()
            )
            self.assertEqual(logging.INFO, logging.getLogger().level)
            answer = await fleet.call(0, 'POST', '/stream/x', x_request_id='q')
            self.assertEqual(200, answer.status)

        gateway_harness.run_fleet(check)
