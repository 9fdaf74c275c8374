"""Tests that a terminated soak leaves no process behind."""

import pathlib
import tempfile

import testtools
import trio

from standins import processes

_TIMEOUT_S = 40.0
_POLL_S = 0.1


def _list_children(pid):
    """Returns the ids of the running child processes of a process."""
    children = []
    for path in pathlib.Path('/proc').glob('[0-9]*/stat'):
        try:
            fields = path.read_text('ascii').rpartition(')')[2].split()
        except OSError:
            # The process has ended meanwhile.
            continue
        state, parent = fields[0], int(fields[1])
        if parent == pid and state != 'Z':
            children.append(int(path.parent.name))
    return children


class SoakEndTest(testtools.TestCase):

    def test_gateways_end_with_a_soak_that_is_terminated(self):
        # Seeds 403 and 407 failed because gateways of soaks that had been
        # terminated by a signal kept running and called their store at ports
        # where engines of other soaks listened by then. Those calls counted as
        # runs that no caller had requested.
        with tempfile.TemporaryDirectory() as directory:
            children = trio.run(self._terminate_one, directory)
        self.assertEqual(3, len(children))
        for pid in children:
            self.assertFalse(pathlib.Path(f'/proc/{pid}').exists(), pid)

    async def _terminate_one(self, directory):
        with trio.fail_after(_TIMEOUT_S):
            async with processes.open_process_group() as group:
                soak = await group.start_module(
                    'soak',
                    'tools.soak',
                    ['--seed=1', '--seconds=30', f'--logs={directory}'],
                    waits_for_line=False,
                )
                children = []
                while len(children) < 3:
                    await trio.sleep(_POLL_S)
                    children = _list_children(soak.pid)
                await soak.stop()
        return children
