import pathlib
import tempfile

import orjson
import testtools

from siskinmount import commands
from siskinmount import configuration
from siskinmount.commands.tests import command_harness

_EXAMPLE = pathlib.Path(__file__).parents[3] / 'examples' / 'swapnest.ini'


class CommandLineTest(testtools.TestCase):

    def test_help_of_each_command(self):
        status, text, _ = command_harness.run_command('--help')
        self.assertEqual(commands.ExitStatus.OK, status)
        for command in commands.create_commands():
            self.assertIn(command.name, text)
            status, help_text, _ = command_harness.run_command(
                *command.name.split(), '--help'
            )
            self.assertEqual(commands.ExitStatus.OK, status)
            self.assertIn(command.summary, help_text)

    def test_usage_errors(self):
        for words in (
            (),
            ('foo',),
            ('check',),
            ('check', 'a', 'b'),
            ('check', 'a', '--nope'),
            ('check', '/nonexistent'),
            ('entry',),
        ):
            status, _, errors = command_harness.run_command(*words)
            self.assertEqual(commands.ExitStatus.USAGE, status, words)
            self.assertTrue(errors)

    def test_check_valid(self):
        status, text, _ = command_harness.run_command('check', str(_EXAMPLE))
        self.assertEqual(commands.ExitStatus.OK, status)
        self.assertIn('valid: owner swapnest', text)

    def test_check_invalid(self):
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
            file.write('[document]\nformat = 1\nwoner = x\n')
            file.flush()
            status, text, _ = command_harness.run_command('check', file.name)
            self.assertEqual(commands.ExitStatus.NEGATIVE, status)
            self.assertIn('line 3: [document] woner', text)
            status, text, _ = command_harness.run_command(
                'check', '--json', file.name
            )
            self.assertEqual(commands.ExitStatus.NEGATIVE, status)
            self.assertEqual(3, len(orjson.loads(text)['faults']))

    def test_uncaught_exception_exits_internal(self):
        def fail(text):
            raise ValueError('broken')

        self.patch(configuration, 'parse_document', fail)
        status, _, errors = command_harness.run_command('check', str(_EXAMPLE))
        self.assertEqual(commands.ExitStatus.INTERNAL, status)
        self.assertIn('ValueError: broken', errors)
        self.assertTrue(errors.endswith('siskinmount: 9002 INTERNAL\n'))
