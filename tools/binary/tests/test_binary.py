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
_WAIT_S = 60


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

    def _run(self, *words, **variables):
        # No variable of the tests' own environment helps the binary.
        return subprocess.run(
            [self.binary, *words],
            capture_output=True,
            text=True,
            env=variables,
            cwd='/',
            timeout=_WAIT_S,
        )

    def test_help(self):
        done = self._run('--help')
        self.assertEqual((0, ''), (done.returncode, done.stderr))
        self.assertIn('usage: siskinmount COMMAND', done.stdout)

    def test_every_command_starts(self):
        for words in (
            ['entry', '--settings', '/nonexistent'],
            ['sidecar', '--settings', '/nonexistent'],
        ):
            done = self._run(*words)
            self.assertEqual(3, done.returncode, done.stderr)
            self.assertIn('"code":5002', done.stderr)

    def test_without_a_memory_file_system(self):
        done = self._run('--help', SISKINMOUNT_MEMORY_DIR='/nonexistent')
        self.assertEqual((70, ''), (done.returncode, done.stdout))
        self.assertIn('set SISKINMOUNT_MEMORY_DIR', done.stderr)
        self.assertEqual(1, done.stderr.count('\n'))

    def test_check(self):
        for name in ('swapnest.ini', 'roadhaven.ini'):
            done = self._run('check', str(_EXAMPLES / name))
            self.assertEqual((0, ''), (done.returncode, done.stderr))

    def test_packages_of_extensions_can_be_found(self):
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
            limit_s = time.monotonic() + _WAIT_S
            process.stdin.write(b'[x]\n')
            process.stdin.flush()
            while not _has_read_all(process.stdin):
                self.assertLess(time.monotonic(), limit_s)
                children = process_inspection.list_children(process.pid)
                self.assertEqual([], children)
                time.sleep(0.01)
            self.assertEqual(
                0, process_inspection.count_ended_child_faults(process.pid)
            )
            executable = os.readlink(f'/proc/{process.pid}/exe')
            self.assertEqual(os.path.realpath(self.binary), executable)
            self.assertEqual(
                [], process_inspection.list_written_files(process.pid)
            )
            self.assertEqual(
                [], list(pathlib.Path('/dev/shm').glob(f'*-{process.pid}-*'))
            )
            output, _ = process.communicate(timeout=_WAIT_S)
        finally:
            process.kill()
            process.wait()
        self.assertIn(b'invalid', output)
        self.assertEqual(1, process.returncode)


class MemoryDirectoryTest(testtools.TestCase):

    def test_mounts(self):
        # Lines of mounts, a directory, and whether it may be used.
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

    def test_sees_a_child_that_has_ended(self):
        subprocess.run([sys.executable, '-c', ''], check=True)
        self.assertGreater(
            process_inspection.count_ended_child_faults(os.getpid()), 0
        )

    def test_sees_a_child_and_a_written_file(self):
        with tempfile.NamedTemporaryFile('w') as file:
            process = subprocess.Popen(
                [sys.executable, '-c', 'input()'], stdin=subprocess.PIPE
            )
            children = process_inspection.list_children(os.getpid())
            self.assertIn(process.pid, children)
            written = process_inspection.list_written_files(os.getpid())
            self.assertIn(file.name, written)
            process.communicate(b'\n', timeout=_WAIT_S)


def _has_read_all(pipe):
    """Returns whether the reader of a pipe has taken all of it."""
    waiting = fcntl.ioctl(pipe, termios.FIONREAD, bytes(4))
    return not int.from_bytes(waiting, sys.byteorder)
