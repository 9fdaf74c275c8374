"""Tests of stand-ins that run as processes."""

import signal

import testtools
import trio

from siskinmount import transport
from standins import processes

_READY_PATHS = (
    ('standins.engine', '/v1/state'),
    ('standins.log_service', '/streams/config'),
    ('standins.plain_service', '/control/effects'),
    ('standins.vm_list', '/vms'),
    ('standins.weight_store', '/control/counts'),
)


class ProcessesTest(testtools.TestCase):

    def test_standins_start_answer_and_stop(self):
        async def main():
            with trio.fail_after(60):
                async with processes.open_process_group() as group:
                    for module, path in _READY_PATHS:
                        process = await group.start_module(module, module, [])
                        client = transport.create_http_client(process.listening)
                        request = transport.ClientRequest('GET', path)
                        with await client.send(request) as exchange:
                            self.assertEqual(200, exchange.status)
                        self.assertGreater(
                            process.read_usage().resident_bytes, 0
                        )
                        self.assertEqual(0, await process.stop())
                        self.assertIsNone(process.read_usage())

        trio.run(main)

    def test_kill_control_ends_process(self):
        async def main():
            with trio.fail_after(60):
                async with processes.open_process_group() as group:
                    process = await group.start_module(
                        'plain', 'standins.plain_service', []
                    )
                    client = transport.create_http_client(process.listening)
                    await client.send(
                        transport.ClientRequest('POST', '/control/kill')
                    )
                    self.assertEqual(137, await process.wait())

        trio.run(main)

    def test_crash_marker_ends_engine(self):
        async def main():
            with trio.fail_after(60):
                async with processes.open_process_group() as group:
                    process = await group.start_module(
                        'engine', 'standins.engine', ['--crash_marker=boom']
                    )
                    client = transport.create_http_client(process.listening)
                    await client.send(
                        transport.ClientRequest(
                            'POST',
                            '/v1/completions',
                            [],
                            b'{"prompt":"go boom now","max_tokens":3}',
                        )
                    )
                    self.assertEqual(139, await process.wait())

        trio.run(main)

    def test_closing_a_group_kills_paused_processes(self):
        async def main():
            with trio.fail_after(60):
                async with processes.open_process_group() as group:
                    process = await group.start_module(
                        'vms', 'standins.vm_list', []
                    )
                    process.pause()
                self.assertEqual(-signal.SIGKILL, process.exit_status)

        trio.run(main)

    def test_failed_start_reports_the_log(self):
        async def main():
            with trio.fail_after(60):
                async with processes.open_process_group() as group:
                    try:
                        await group.start_module(
                            'bad', 'standins.vm_list', ['--no_such_flag=1']
                        )
                    except processes.StartError as error:
                        message = str(error)
            self.assertIn('no_such_flag', message)

        trio.run(main)
