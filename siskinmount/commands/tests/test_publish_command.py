import concurrent.futures
import pathlib
import tempfile

import orjson
import testtools

from siskinmount import commands
from siskinmount import transport
from siskinmount.commands.tests import command_harness
from siskinmount.state import _configuration_stream
from standins import faults as faults_module
from standins import log_service
from standins import serving

_TEXT = """\
[document]
format = 1
owner = %s
[service lm]
kind = model
model = m
model_version = 1
"""


class PublishCommandTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.faults = faults_module.Faults()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def _write(self, owner):
        path = self.directory / f'{owner}.ini'
        path.write_text(_TEXT % owner)
        return str(path)

    async def _start(self, nursery):
        return await nursery.start(
            serving.serve,
            transport.Address('127.0.0.1', 0),
            log_service.create_log_service().handle,
            self.faults,
        )

    def _publish(self, log, path, base):
        return command_harness.run_command(
            'publish', path, '--base', str(base), '--log', str(log)
        )

    def test_accepted_then_lost(self):
        with command_harness.serve(self._start) as log:
            status, text, _ = self._publish(log, self._write('a'), 0)
            self.assertEqual(commands.ExitStatus.OK, status)
            self.assertEqual('accepted: version 1\n', text)
            status, text, _ = self._publish(log, self._write('b'), 0)
            self.assertEqual(commands.ExitStatus.NEGATIVE, status)
            self.assertEqual(
                'not accepted: version 1 by a is in force'
                ' (5003 PUBLISH_LOST_RACE)\n',
                text,
            )
            status, text, _ = self._publish(log, self._write('b'), 1)
            self.assertEqual(commands.ExitStatus.OK, status)

    def test_repeated_publish_is_in_force_already(self):
        with command_harness.serve(self._start) as log:
            path = self._write('a')
            self._publish(log, path, 0)
            status, text, _ = self._publish(log, path, 0)
            self.assertEqual(commands.ExitStatus.OK, status)
            self.assertEqual('in force already: version 1\n', text)

    def test_lost_append_answer_is_resolved(self):
        self.faults.lose_answers(faults_module.FaultMode.CLOSE, 1)
        with command_harness.serve(self._start) as log:
            status, text, _ = self._publish(log, self._write('a'), 0)
            self.assertEqual(commands.ExitStatus.OK, status)
            self.assertEqual('accepted: version 1\n', text)

    def test_concurrent_publishes_accept_one(self):
        owners = ['a', 'b', 'c', 'd']
        paths = [self._write(owner) for owner in owners]
        with (
            command_harness.serve(self._start) as log,
            concurrent.futures.ThreadPoolExecutor(len(paths)) as pool,
        ):
            outcomes = list(
                pool.map(lambda path: self._publish(log, path, 0), paths)
            )
        statuses = [status for status, _, _ in outcomes]
        self.assertEqual(1, statuses.count(commands.ExitStatus.OK))
        self.assertEqual(3, statuses.count(commands.ExitStatus.NEGATIVE))
        winner = owners[statuses.index(commands.ExitStatus.OK)]
        for status, text, _ in outcomes:
            if status is commands.ExitStatus.NEGATIVE:
                self.assertIn(f'by {winner} is in force', text)

    def test_unreadable_log_after_append_exits_unknown(self):
        self.patch(_configuration_stream, 'PUBLISH_TIMEOUT_MS', 500)

        async def handle(exchange):
            # Appends succeed, and then nothing can be read.
            if exchange.head.method == 'POST':
                await exchange.read_body()
                await exchange.send_json(200, {'offset': 1})
            elif exchange.head.path == '/streams/config':
                await exchange.send_json(
                    200, {'first_offset': 1, 'next_offset': 1}
                )
            else:
                await exchange.send_json(503, {})

        async def start(nursery):
            server = transport.create_http_server(handle)
            return await nursery.start(
                server.run, transport.Address('127.0.0.1', 0)
            )

        with command_harness.serve(start) as log:
            status, text, errors = self._publish(log, self._write('a'), 0)
        self.assertEqual((commands.ExitStatus.UNKNOWN, ''), (status, text))
        self.assertIn('4002 LOG_APPEND_UNKNOWN', errors)

    def test_unreachable_log_exits_unavailable(self):
        self.patch(_configuration_stream, 'PUBLISH_TIMEOUT_MS', 500)
        address = transport.Address('127.0.0.1', 1)
        status, _, errors = self._publish(address, self._write('a'), 0)
        self.assertEqual(commands.ExitStatus.UNAVAILABLE, status)
        self.assertIn('4001 LOG_UNAVAILABLE', errors)

    def test_wrong_base(self):
        with command_harness.serve(self._start) as log:
            status, text, _ = self._publish(log, self._write('a'), 7)
            self.assertEqual(commands.ExitStatus.NEGATIVE, status)
            self.assertIn('the base is 0', text)

    def test_invalid_document(self):
        path = self.directory / 'bad.ini'
        path.write_text('[document]\nformat = 1\n')
        status, text, _ = command_harness.run_command(
            *('publish', str(path), '--base', '0', '--json'),
            *('--log', '127.0.0.1:1'),
        )
        self.assertEqual(commands.ExitStatus.NEGATIVE, status)
        self.assertEqual(5001, orjson.loads(text)['code'])

    def test_usage_errors(self):
        path = self._write('a')
        for words in (
            ['--base', '0'],
            ['--log', '127.0.0.1:1'],
            ['--base', '-1', '--log', '127.0.0.1:1'],
            ['--base', '0', '--log', 'nowhere'],
        ):
            status, _, _ = command_harness.run_command('publish', path, *words)
            self.assertEqual(commands.ExitStatus.USAGE, status, words)
