import fcntl
import os
import pathlib
import subprocess
import sys
import tempfile
import termios
import time
import zipfile

import testtools

from tools.binary import binary_start
from tools.binary import build
from tools.binary import process_inspection

_EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
_TIMEOUT_S = 60


class BinaryTest(testtools.TestCase):

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.directory = tempfile.TemporaryDirectory()
        cls.binary = os.path.join(cls.directory.name, 'siskinmount')
        build.build_binary(cls.binary)

    @classmethod
    def tearDownClass(cls):
        cls.directory.cleanup()
        super().tearDownClass()

    def _run(self, *arguments, **environment):
        # The binary must not depend on the environment of the tests.
        return subprocess.run(
            [self.binary, *arguments],
            capture_output=True,
            text=True,
            env=environment,
            cwd='/',
            timeout=_TIMEOUT_S,
        )

    def test_help(self):
        completed = self._run('--help')
        self.assertEqual((0, ''), (completed.returncode, completed.stderr))
        self.assertIn('usage: siskinmount COMMAND', completed.stdout)

    def test_commands_report_missing_settings(self):
        for arguments in (
            ['entry', '--settings', '/nonexistent'],
            ['sidecar', '--settings', '/nonexistent'],
        ):
            completed = self._run(*arguments)
            self.assertEqual(3, completed.returncode, completed.stderr)
            self.assertIn('"code":5002', completed.stderr)

    def test_without_a_memory_file_system(self):
        completed = self._run('--help', SISKINMOUNT_MEMORY_DIR='/nonexistent')
        self.assertEqual((70, ''), (completed.returncode, completed.stdout))
        self.assertIn('set SISKINMOUNT_MEMORY_DIR', completed.stderr)
        self.assertEqual(1, completed.stderr.count('\n'))

    def test_check_accepts_examples(self):
        for name in ('swapnest.ini', 'roadhaven.ini'):
            completed = self._run('check', str(_EXAMPLES / name))
            self.assertEqual((0, ''), (completed.returncode, completed.stderr))

    def test_packages_of_extensions_have_directory_entries(self):
        with zipfile.ZipFile(self.binary) as archive:
            names = set(archive.namelist())
        modules = [n for n in names if n.startswith('extensions/')]
        self.assertIn('extensions/google._upb._message.so', modules)
        for module in modules:
            package = module[len('extensions/') : -len('.so')].split('.')[:-1]
            if package:
                self.assertIn('/'.join(package) + '/', names)

    def test_starts_no_other_process(self):
        process = subprocess.Popen(
            [self.binary, 'check', '/dev/stdin'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={},
        )
        try:
            deadline_s = time.monotonic() + _TIMEOUT_S
            process.stdin.write(b'[x]\n')
            process.stdin.flush()
            while not _is_pipe_drained(process.stdin):
                self.assertLess(time.monotonic(), deadline_s)
                children = process_inspection.list_children(process.pid)
                self.assertEqual([], children)
                time.sleep(0.01)
            self.assertEqual(
                0,
                process_inspection.count_reaped_child_page_faults(process.pid),
            )
            executable = os.readlink(f'/proc/{process.pid}/exe')
            self.assertEqual(os.path.realpath(self.binary), executable)
            self.assertEqual(
                [], process_inspection.list_files_open_for_writing(process.pid)
            )
            self.assertEqual(
                [], list(pathlib.Path('/dev/shm').glob(f'*-{process.pid}-*'))
            )
            output, _ = process.communicate(timeout=_TIMEOUT_S)
        finally:
            process.kill()
            process.wait()
        self.assertIn(b'invalid', output)
        self.assertEqual(1, process.returncode)


class MemoryDirectoryTest(testtools.TestCase):

    def test_is_memory_directory(self):
        # Mount table, directory, whether code may be loaded from it.
        cases = [
            ('/dev/vda / ext4 rw\ntmpfs /dev/shm tmpfs rw,nosuid', '/dev/shm', True),
            ('/dev/vda / ext4 rw\ntmpfs /dev/shm tmpfs rw,noexec', '/dev/shm', False),
            ('/dev/vda / ext4 rw\ntmpfs /dev/shm tmpfs rw', '/tmp', False),
            ('rootfs / rootfs rw', '/tmp', True),
            ('tmpfs /run tmpfs rw\n/dev/vda /run ext4 rw', '/run', False),
            ('tmpfs /tm tmpfs rw', '/tmp', False),
            ('', '/tmp', False),
        ]  # fmt: skip
        for text, directory, expected in cases:
            mounts = [line.split() for line in text.splitlines()]
            found = binary_start.is_memory_directory(directory, mounts)
            self.assertEqual(expected, found, text)


class ProcessInspectionTest(testtools.TestCase):

    def test_counts_page_faults_of_ended_child(self):
        subprocess.run([sys.executable, '-c', ''], check=True)
        self.assertGreater(
            process_inspection.count_reaped_child_page_faults(os.getpid()), 0
        )

    def test_lists_child_and_file_open_for_writing(self):
        with tempfile.NamedTemporaryFile('w') as file:
            process = subprocess.Popen(
                [sys.executable, '-c', 'input()'], stdin=subprocess.PIPE
            )
            children = process_inspection.list_children(os.getpid())
            self.assertIn(process.pid, children)
            open_files = process_inspection.list_files_open_for_writing(
                os.getpid()
            )
            self.assertIn(file.name, open_files)
            process.communicate(b'\n', timeout=_TIMEOUT_S)


def _is_pipe_drained(pipe):
    """Returns whether the reader has read all data in a pipe."""
    unread = fcntl.ioctl(pipe, termios.FIONREAD, bytes(4))
    return not int.from_bytes(unread, sys.byteorder)
