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


class DaemonStartTest(testtools.TestCase):

    def _run_entry(self, text):
        """Returns the exit status and the lines of the log."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, 'entry.ini')
            path.write_text(text)
            done = subprocess.run(
                [sys.executable, '-m', 'siskinmount', 'entry']
                + ['--settings', str(path)],
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
                capture_output=True,
                timeout=_WAIT_S,
            )
        lines = [orjson.loads(line) for line in done.stderr.splitlines()]
        return done.returncode, lines

    def test_every_fault_is_logged(self):
        text = _SETTINGS.format(callers_address='here').replace('vm =', 'wm =')
        status, lines = self._run_entry(text)
        self.assertEqual(commands.ExitStatus.SETTINGS_INVALID, status)
        self.assertEqual(
            [('settings_fault', 5002, key)
             for key in ('vm', 'wm', 'callers_address')],
            [(line['event'], line['code'], line['key']) for line in lines],
        )  # fmt: skip

    def test_address_in_use(self):
        with socket.socket() as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            status, lines = self._run_entry(
                _SETTINGS.format(callers_address=address)
            )
        self.assertEqual(commands.ExitStatus.SETTINGS_INVALID, status)
        last = lines[-1]
        self.assertEqual(('daemon_failed', 5002), (last['event'], last['code']))
        self.assertIn('cannot be listened on', last['reason'])
