import pathlib

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import configuration

_COMMON = """\
[daemon]
vm = a1
region = north
failure_domain = fd1
log_level = info
peers_address = 127.0.0.1:0
control_address = 127.0.0.1:0
%s
[platform]
log_address = 127.0.0.1:7001
vm_list_address = 127.0.0.1:7002
[seeds]
entries = 127.0.0.1:1, 127.0.0.1:2
    127.0.0.1:3
"""
_ENTRY = _COMMON % 'callers_address = 127.0.0.1:0'
_SIDECAR = (
    _COMMON % ''
    + '[upstream]\nservice = lm\naddress = 127.0.0.1:9\norders_fenced = true\n'
)


class EntrySettingsTest(testtools.TestCase):

    def test_valid(self):
        text = _ENTRY + '[limits]\nheader_timeout_ms = 500\n'
        settings = configuration.parse_entry_settings(text)
        self.assertIsInstance(settings, configuration.EntrySettings)
        self.assertEqual('a1', settings.identity.vm)
        self.assertEqual(3, len(settings.identity.seeds))
        self.assertEqual(500, settings.limits.header_timeout_ms)
        self.assertEqual(0, settings.callers_address.port)

    def test_faults(self):
        # Replaced text, replacement, and the keys with faults.
        cases = [
            ('vm = a1', 'vmm = a1', ['vm', 'vmm']),
            ('log_level = info', 'log_level = loud', ['log_level']),
            ('log_address = 127.0.0.1:7001', 'log_address = host:1', ['log_address']),
            ('127.0.0.1:2', '127.0.0.1', ['entries']),
            ('[platform]', '[platforms]', ['', '']),
            ('[seeds]', '[limits]\nheader_timeout_s = 5\n[seeds]', ['header_timeout_s']),
            ('[seeds]', '[limits]\nidle_timeout_ms = 5 s\n[seeds]', ['idle_timeout_ms']),
            ('[seeds]', '[state]\nstream_count = 0\n[seeds]', ['stream_count']),
        ]  # fmt: skip
        for old, new, keys in cases:
            text = _ENTRY.replace(old, new, 1)
            self.assertNotEqual(_ENTRY, text)
            faults = configuration.parse_entry_settings(text)
            self.assertIsInstance(faults, list, new)
            self.assertEqual(keys, [fault.key for fault in faults], new)

    def test_missing_file(self):
        faults = configuration.load_entry_settings('/nonexistent/entry.ini')
        self.assertEqual(1, len(faults))


class AnySettingsTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(0, len(_SIDECAR)),
        strategies.integers(0, 20),
        strategies.text(max_size=5),
    )
    def test_any_edit_has_a_verdict(self, start, length, text):
        edited = _SIDECAR[:start] + text + _SIDECAR[start + length :]
        for parse in (
            configuration.parse_entry_settings,
            configuration.parse_sidecar_settings,
        ):
            for fault in self._list_faults(parse(edited)):
                self.assertNotIn('\n', str(fault))

    def _list_faults(self, result):
        return result if isinstance(result, list) else []

    def test_examples(self):
        examples = pathlib.Path(__file__).parents[3] / 'examples'
        entry = configuration.load_entry_settings(examples / 'entry.ini')
        self.assertIsInstance(entry, configuration.EntrySettings, entry)
        sidecar = configuration.load_sidecar_settings(examples / 'sidecar.ini')
        self.assertIsInstance(sidecar, configuration.SidecarSettings, sidecar)


class SidecarSettingsTest(testtools.TestCase):

    def test_valid(self):
        settings = configuration.parse_sidecar_settings(_SIDECAR)
        self.assertIsInstance(settings, configuration.SidecarSettings)
        self.assertEqual('lm', settings.service)
        self.assertTrue(settings.orders_fenced)
        self.assertIsNone(settings.slots)

    def test_gate_section(self):
        # Text of the section, and the keys with faults.
        cases = [
            ('gate_policy = pass_through', []),
            ('gate_policy = static_split\nonline_slots = 2', []),
            ('gate_policy = static_split', ['online_slots']),
            ('gate_policy = static_split\nslots = 2\nonline_slots = 2', ['online_slots']),
            ('online_slots = 2', ['online_slots']),
            ('gate_policy = fifo\nslots = 0', ['gate_policy', 'slots']),
        ]  # fmt: skip
        for text, keys in cases:
            result = configuration.parse_sidecar_settings(
                f'{_SIDECAR}[gate]\n{text}\n'
            )
            faults = result if isinstance(result, list) else []
            self.assertEqual(keys, [fault.key for fault in faults], text)
