import os
import pathlib
import socket
import subprocess
import sys
import tempfile

import orjson
import testtools

from siskinmount import commands

_SETTINGS = """\
[daemon]
vm = a1
region = north
failure_domain = fd1
peers_address = 127.0.0.1:0
control_address = 127.0.0.1:0
callers_address = {callers_address}
[platform]
log_address = 127.0.0.1:1
vm_list_address = 127.0.0.1:1
[seeds]
entries = 127.0.0.1:1
"""
_WAIT_S = 60
_SIDECAR_SECTION = """\
[upstream]
service = s
address = 127.0.0.1:1
"""
#: Runs a daemon with an added child that fails at every start. The first
#: argument names both the command and the supervisor that gets the child.
_BROKEN_DAEMON = """\
import sys
from siskinmount import commands
from siskinmount import supervision
from siskinmount.supervision import _supervisor
_supervisor.MAX_RESTARTS_IN_WINDOW = 2
run_supervisor = supervision.run_supervisor
async def fail():
    raise ValueError('broken child')
async def run_with_broken_child(name, children):
    broken = supervision.Child('broken', fail)
    added = [broken] if name == sys.argv[1] else []
    await run_supervisor(name, [*children, *added])
supervision.run_supervisor = run_with_broken_child
sys.exit(int(commands.run_command_line(['siskinmount', *sys.argv[1:]])))
"""


class DaemonStartTest(testtools.TestCase):

    def _run_entry(self, text):
        """Returns the exit status and the lines of the log."""
        return self._run_daemon(['-m', 'siskinmount'], 'entry', text)

    def _run_daemon(self, program, command, text):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, 'entry.ini')
            path.write_text(text)
            done = subprocess.run(
                [sys.executable, *program, command, '--settings', str(path)],
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
                capture_output=True,
                timeout=_WAIT_S,
            )
        lines = [orjson.loads(line) for line in done.stderr.splitlines()]
        return done.returncode, lines

    def test_every_settings_fault_is_logged(self):
        text = _SETTINGS.format(callers_address='here').replace('vm =', 'wm =')
        status, lines = self._run_entry(text)
        self.assertEqual(commands.ExitStatus.SETTINGS_INVALID, status)
        self.assertEqual(
            [('settings_fault', 5002, key)
             for key in ('vm', 'wm', 'callers_address')],
            [(line['event'], line['code'], line['key']) for line in lines],
        )  # fmt: skip

    def test_daemon_exits_when_a_child_exceeds_its_restarts(self):
        entry_text = _SETTINGS.format(callers_address='127.0.0.1:0')
        sidecar_text = (
            '\n'.join(
                line
                for line in entry_text.splitlines()
                if not line.startswith('callers_address')
            )
            + '\n'
            + _SIDECAR_SECTION
        )
        for command, text in (('entry', entry_text), ('sidecar', sidecar_text)):
            status, lines = self._run_daemon(
                ['-c', _BROKEN_DAEMON], command, text
            )
            self.assertEqual(commands.ExitStatus.INTERNAL, status, lines)
            restarts = [line for line in lines if line.get('child') == 'broken']
            self.assertEqual([9003] * 3, [line['code'] for line in restarts])
            last = lines[-1]
            self.assertEqual(
                ('daemon_failed', 9002), (last['event'], last['code'])
            )

    def test_address_in_use(self):
        with socket.socket() as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            for command, text in (
                ('entry', _SETTINGS.format(callers_address=address)),
                (
                    'sidecar',
                    _SETTINGS.replace(
                        'peers_address = 127.0.0.1:0',
                        f'peers_address = {address}',
                    ).replace('callers_address = {callers_address}\n', '')
                    + _SIDECAR_SECTION,
                ),
            ):
                status, lines = self._run_daemon(
                    ['-m', 'siskinmount'], command, text
                )
                self.assertEqual(
                    commands.ExitStatus.SETTINGS_INVALID, status, lines
                )
                last = lines[-1]
                self.assertEqual(
                    ('daemon_failed', 5002), (last['event'], last['code'])
                )
                self.assertIn('cannot be listened on', last['reason'])
                self.assertIn('in use', last['reason'])
