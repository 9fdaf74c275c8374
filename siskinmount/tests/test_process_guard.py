import os
import subprocess
import sys

import testtools

# Each statement runs in a separate interpreter with the guard installed.
_ATTEMPTS = [
    "os.system('true')",
    "os.fork()",
    "os.execv('/bin/true', ['true'])",
    "subprocess.run(['true'])",
    "os.posix_spawn('/bin/true', ['true'], {})",
]

_PROGRAM = """
import os, resource, subprocess, sys
import siskinmount
import trio
from siskinmount import _process_guard
_process_guard.forbid_child_processes()
try:
    %s
except RuntimeError:
    faults = resource.getrusage(resource.RUSAGE_CHILDREN).ru_minflt
    sys.exit(42 if faults == 0 else 43)
"""


class ProcessGuardTest(testtools.TestCase):

    def test_starting_a_process_raises(self):
        for attempt in _ATTEMPTS:
            done = subprocess.run(
                [sys.executable, "-c", _PROGRAM % attempt],
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
                capture_output=True,
                text=True,
            )
            self.assertEqual(42, done.returncode, attempt + done.stderr)
