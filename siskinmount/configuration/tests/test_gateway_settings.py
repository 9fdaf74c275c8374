"""Tests of a gateway's settings, rendered from the platform's template."""

import pathlib
import re

import testtools

from siskinmount import configuration

_TEMPLATE = pathlib.Path(__file__).parents[3] / 'deploy/gateway.ini.template'
_VALUES = {
    'node': 'front-a-1',
    'region': 'r',
    'zone': 'a',
    'ip': '10.0.0.1',
    'listen.front': '10.0.0.1:1',
    'listen.ready': '10.0.0.1:2',
    'listen.control': '10.0.0.1:3',
    'inner_ports.0': '7660',
    'bounds.grace_s': '8',
    'bounds.status_s': '120',
    'platform.address': '10.0.0.9:4',
    'platform.record_bytes': '262144',
    'platform.call_bytes': '2097152',
    'heartbeat_ms': '700',
    'seeds': '10.0.0.1:3,10.0.0.2:3',
    'bounds.strict_revoke': 'true',
    'bounds.revoke_ms': '4000',
    'bounds.quota_window_s': '6',
    'bounds.quota_excess': '0.2',
    'bounds.quota_slack': '30',
    'limits.memory_mb': '160',
    'limits.max_fds': '1675',
    'limits.link_mbps': '15.0',
}


def _render(values):
    text = _TEMPLATE.read_text(encoding='utf-8')
    return re.sub(r'\{\{(.*?)\}\}', lambda found: values[found[1]], text)


class GatewaySettingsTest(testtools.TestCase):

    def test_template_gives_valid_settings(self):
        settings = configuration.parse_gateway_settings(_render(_VALUES))
        self.assertEqual('front-a-1', settings.vm)
        self.assertEqual(7660, settings.peers_port)
        self.assertEqual(2, len(settings.seeds))
        self.assertEqual(8, settings.stop_grace_s)
        self.assertEqual(700, settings.upstream_heartbeat_ms)
        self.assertTrue(settings.strict_revocation)
        self.assertEqual(4000, settings.key_max_age_ms)
        self.assertEqual(160 * 1024 * 1024, settings.memory_bytes)
        self.assertEqual(1675, settings.max_descriptors)
        self.assertEqual(15, settings.link_mbps)

    def test_values_that_the_platform_lacks_get_defaults(self):
        lacking = {}
        for name in _VALUES:
            if name.startswith('limits.') or name in (
                'bounds.strict_revoke',
                'bounds.revoke_ms',
                'bounds.quota_window_s',
                'bounds.quota_excess',
                'bounds.quota_slack',
            ):
                lacking[name] = ''
        settings = configuration.parse_gateway_settings(
            _render({**_VALUES, **lacking})
        )
        self.assertFalse(settings.strict_revocation)
        self.assertEqual(5000, settings.key_max_age_ms)
        self.assertEqual(5, settings.quota_window_s)
        self.assertEqual(0.1, settings.quota_excess_share)
        self.assertEqual(20, settings.quota_slack_requests)
        self.assertEqual(0, settings.memory_bytes)
        self.assertEqual(0, settings.max_descriptors)
        self.assertEqual(0, settings.link_mbps)

    def test_template_without_seeds_is_valid(self):
        settings = configuration.parse_gateway_settings(
            _render({**_VALUES, 'seeds': ''})
        )
        self.assertEqual([], settings.seeds)

    def test_each_invalid_value_is_reported_with_its_key(self):
        cases = [
            ('node', '', 'vm'),
            ('listen.front', 'here', 'callers_address'),
            ('inner_ports.0', '99999', 'peers_port'),
            ('bounds.grace_s', 'long', 'stop_grace_s'),
            ('platform.call_bytes', '-1', 'max_call_bytes'),
            ('heartbeat_ms', '0', 'upstream_heartbeat_ms'),
            ('bounds.strict_revoke', 'yes', 'strict_revocation'),
            ('bounds.quota_window_s', '-1', 'window_s'),
            ('limits.memory_mb', 'all', 'memory_mb'),
            ('limits.link_mbps', 'fast', 'link_mbps'),
        ]
        for name, value, key in cases:
            faults = configuration.parse_gateway_settings(
                _render({**_VALUES, name: value})
            )
            self.assertEqual([key], [fault.key for fault in faults], name)
