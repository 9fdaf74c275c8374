import pathlib

import testtools

from siskinmount import commands
from siskinmount import configuration
from siskinmount import transport

_PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'OPERATORS.md'

# Attributes that are no settings keys: section names and derived values.
_NON_KEY_FIELDS = frozenset({'name', 'path_prefix', 'identity', 'limits'})


class OperatorsPageTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.text = _PAGE.read_text()

    def test_commands(self):
        for command in commands.create_commands():
            self.assertIn(f'`siskinmount {command.name} ', self.text)

    def test_exit_statuses(self):
        for status in commands.ExitStatus:
            self.assertIn(f'| {int(status)} | `{status.name}` |', self.text)

    def test_keys(self):
        for settings in (
            configuration.Service,
            configuration.Route,
            configuration.CallerPolicy,
            configuration.Objective,
            configuration.DaemonIdentity,
            configuration.EntrySettings,
            transport.ServerLimits,
        ):
            for field in settings.__slots__:
                if field in _NON_KEY_FIELDS or field == 'seeds':
                    continue
                self.assertIn(f'`{field}`', self.text)
