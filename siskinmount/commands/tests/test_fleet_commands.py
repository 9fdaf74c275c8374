import pathlib
import tempfile
import time

import orjson
import testtools

from siskinmount import backing_services
from siskinmount import commands
from siskinmount import objectives
from siskinmount import results
from siskinmount import rpc
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.commands.tests import command_harness
from standins import faults as faults_module
from standins import log_service
from standins import serving

_TEXT = """\
[document]
format = 1
owner = team
[service lm]
kind = model
model = m
model_version = 1
[objective fast]
service = lm
measure = first_token
within_ms = 100
share = 0.99
"""

_LOCALHOST = transport.Address('127.0.0.1', 0)


class _Entry:
    """An entry that implements the control interface."""

    def __init__(self, vm, jobs):
        self.vm = vm
        self.jobs = jobs
        self.address = None
        self.others = []
        self.histograms = telemetry.create_histograms(
            [
                telemetry.ObjectiveBound(
                    name='fast',
                    service='lm',
                    measure='first_token',
                    within_ms=100,
                )
            ]
        )

    def describe(self):
        return rpc.Member(
            vm=self.vm,
            role='entry',
            incarnation=1,
            failure_domain='fd1',
            peers_address='127.0.0.1:1',
            control_address=str(self.address),
            state='live',
            configuration_version=7,
        )

    async def heartbeat(self, request):
        return rpc.HeartbeatReply()

    async def get_configuration(self, request):
        return rpc.ConfigurationReply(version=7, text=_TEXT)

    async def get_status(self, request):
        details = {'streams_owned': [f'state-{self.vm}'], 'jobs': self.jobs}
        reply = rpc.StatusReply(details=orjson.dumps(details))
        reply.self.CopyFrom(self.describe())
        for other in self.others:
            reply.members.append(other)
        return reply

    async def get_histograms(self, request):
        reply = rpc.HistogramsReply(vm=self.vm, incarnation=1)
        for snapshot in self.histograms.take_snapshots():
            fields = {n: getattr(snapshot, n) for n in snapshot.__slots__}
            reply.histograms.append(rpc.WindowedHistogram(**fields))
        return reply


def _create_job(name, state, due_in_s, at_risk=False):
    return {
        'job': name,
        'caller': 'app',
        'service': 'lm',
        'state': state,
        'item_count': 10,
        'done_count': 4,
        'failed_count': 1,
        'unknown_count': 0,
        'due_at_ms': int((time.time() + due_in_s) * 1000),
        'at_risk': at_risk,
    }


class FleetCommandsTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.entries = [
            _Entry('e1', [_create_job('j1', 'running', 3600)]),
            _Entry('e2', [_create_job('j2', 'finished', -60)]),
        ]

    async def _start(self, nursery):
        for entry in self.entries:
            server = rpc.create_control_server(entry)
            entry.address = await nursery.start(server.run, _LOCALHOST)
        # The first entry reports the second, whose address is not passed to
        # the command.
        first, second = self.entries
        sidecar = rpc.Member(
            vm='s1',
            role='sidecar',
            incarnation=1,
            peers_address='127.0.0.1:1',
            control_address='127.0.0.1:1',
            state='leaving',
            service='lm',
            slots=8,
            in_flight=3,
        )
        first.others = [second.describe(), sidecar]
        return first.address

    def test_status(self):
        with command_harness.serve(self._start) as address:
            status, text, errors = command_harness.run_command(
                'status', '--entries', str(address)
            )
        self.assertEqual((commands.ExitStatus.OK, ''), (status, errors))
        lines = [line.split() for line in text.splitlines()]
        self.assertEqual(['e1', 'entry', 'live', 'fd1', '7'], lines[1])
        self.assertEqual(['e2', 'entry', 'live', 'fd1', '7'], lines[2])
        self.assertEqual(
            ['s1', 'sidecar', 'leaving', '0', 'lm', '3/8'], lines[3]
        )
        self.assertEqual(['state-e2', 'e2'], lines[-1])

    def test_status_with_an_unreachable_entry(self):
        with command_harness.serve(self._start) as address:
            status, text, errors = command_harness.run_command(
                'status', '--json', '--entries', f'{address},127.0.0.1:1'
            )
        self.assertEqual(commands.ExitStatus.OK, status)
        self.assertEqual(3, len(orjson.loads(text)['members']))
        self.assertIn('127.0.0.1:1: no answer', errors)

    def test_unreachable_entries_exit_unavailable(self):
        for words in (['status'], ['jobs'], ['report', 'burn']):
            status, _, errors = command_harness.run_command(
                *words, '--entries', '127.0.0.1:1'
            )
            self.assertEqual(commands.ExitStatus.UNAVAILABLE, status, words)
            self.assertTrue(errors)

    def test_jobs(self):
        with command_harness.serve(self._start) as address:
            status, text, _ = command_harness.run_command(
                'jobs', '--entries', str(address)
            )
            self.assertEqual(commands.ExitStatus.OK, status)
            lines = text.splitlines()
            self.assertEqual(['j2', 'app', 'lm', 'finished', '5/10'],
                             lines[1].split()[:5])  # fmt: skip
            self.assertTrue(lines[2].endswith('on_time'))

    def test_jobs_at_risk(self):
        self.entries[0].jobs = [
            _create_job('j1', 'running', 3600, at_risk=True),
            _create_job('j3', 'running', -1),
        ]
        with command_harness.serve(self._start) as address:
            status, text, _ = command_harness.run_command(
                'jobs', '--json', '--entries', str(address)
            )
        self.assertEqual(commands.ExitStatus.NEGATIVE, status)
        risks = {job['job']: job['risk'] for job in orjson.loads(text)['jobs']}
        self.assertEqual(
            {'j1': 'at_risk', 'j2': 'ended', 'j3': 'overdue'}, risks
        )

    def test_diff(self):
        with command_harness.serve(self._start) as address:
            for text, expected in (
                (_TEXT, commands.ExitStatus.OK),
                (_TEXT.replace('100', '90'), commands.ExitStatus.NEGATIVE),
            ):
                with tempfile.NamedTemporaryFile('w') as file:
                    file.write(text)
                    file.flush()
                    status, output, _ = command_harness.run_command(
                        'diff', file.name, '--entries', str(address)
                    )
                self.assertEqual(expected, status)
                self.assertIn('version 7', output)
        self.assertIn('+within_ms = 90', output)

    def _record(self, good, bad):
        for entry in self.entries:
            for _ in range(good):
                entry.histograms.record('lm', 'first_token', 50)
            for _ in range(bad):
                entry.histograms.record('lm', 'first_token', 200)

    def test_report_burn(self):
        self._record(good=40, bad=10)
        with (
            command_harness.serve(self._start) as address,
            tempfile.TemporaryDirectory() as directory,
        ):
            path = pathlib.Path(directory, 'burn.html')
            status, text, errors = command_harness.run_command(
                *('report', 'burn', '--entries', str(address)),
                *('--html', str(path)),
            )
            page = path.read_text()
        self.assertEqual((commands.ExitStatus.NEGATIVE, ''), (status, errors))
        self.assertIn('2 entries answered, 0 did not', text)
        row = text.splitlines()[3].split()
        self.assertEqual(['lm', 'fast', 'fast_burn', '20.00'], row[:4])
        self.assertEqual(2, page.count('<polyline'))
        self.assertIn('80', page)
        for outside in ('http:', 'https:', '<script', 'src='):
            self.assertNotIn(outside, page)

    def test_report_burn_counts_lost_entries_from_the_log(self):
        self._record(good=10, bad=0)
        gone = _Entry('e1', [])
        for _ in range(5):
            gone.histograms.record('lm', 'first_token', 200)

        async def start(nursery):
            log = await nursery.start(
                serving.serve,
                _LOCALHOST,
                log_service.create_log_service().handle,
                faults_module.Faults(),
            )
            writer = objectives.create_archive_writer(
                backing_services.create_log_client(log),
                gone.histograms,
                'e1',
                0,
            )
            await writer.append_rest()
            return await self._start(nursery), log

        with command_harness.serve(start) as (address, log):
            for words, archive, bad in (
                ([], 'not_asked', 0),
                (['--log', str(log)], 'read', 5),
                (['--log', '127.0.0.1:1'], 'unavailable', 0),
            ):
                _, text, _ = command_harness.run_command(
                    *('report', 'burn', '--json', *words),
                    *('--entries', str(address)),
                )
                report = orjson.loads(text)
                self.assertEqual(archive, report['archive'])
                for window in report['objectives'][0]['windows']:
                    self.assertEqual(bad, window['bad'])

    def test_report_burn_when_every_status_fails(self):
        async def fail(request):
            return results.Failure(results.ResultCode.INTERNAL, 'failed')

        for entry in self.entries:
            entry.get_status = fail
        with command_harness.serve(self._start) as address:
            status, _, errors = command_harness.run_command(
                'report', 'burn', '--entries', str(address)
            )
        self.assertEqual(commands.ExitStatus.UNAVAILABLE, status)
        self.assertIn('failed (9002 INTERNAL)', errors)

    def test_report_burn_ok(self):
        self._record(good=40, bad=0)
        with command_harness.serve(self._start) as address:
            status, text, _ = command_harness.run_command(
                'report', 'burn', '--json', '--entries', str(address)
            )
        self.assertEqual(commands.ExitStatus.OK, status)
        objective = orjson.loads(text)['objectives'][0]
        self.assertEqual('ok', objective['level'])
        self.assertEqual(80, objective['windows'][0]['good'])
