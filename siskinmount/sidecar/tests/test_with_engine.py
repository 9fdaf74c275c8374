"""Tests of the sidecar with the simulated engine of `standins`."""

import orjson
import testtools
import trio

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount import sidecar
from siskinmount import transport
from siskinmount.sidecar.tests import fakes
from standins import engine as engine_module
from standins import faults as faults_module
from standins import serving

TIME_SCALE = 0.2


class EngineTest(testtools.TestCase):

    def run_with_engine(self, check, **settings):
        async def main():
            faults = faults_module.Faults()
            standin = engine_module.create_engine(
                engine_module.EngineSettings(time_scale=TIME_SCALE, **settings),
                faults,
                model='m',
                version='1',
                weight_store=None,
            )
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        serving.serve,
                        transport.Address('127.0.0.1', 0),
                        standin.handle,
                        faults,
                        (standin.loop.run, standin.orders.run),
                    )
                    daemon = await nursery.start(
                        sidecar.run_sidecar,
                        fakes.create_settings(address, slots=4),
                    )
                    await daemon.monitor.became_reachable.wait()
                    await check(standin, faults, daemon)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def read_answer(self, daemon, request_id, prompt, tokens, *headers):
        client = transport.create_http_client(daemon.address)
        request = transport.ClientRequest(
            'POST',
            '/run/model-service',
            [(relay.RelayHeader.REQUEST_ID, request_id.encode()), *headers],
            orjson.dumps({'prompt': prompt, 'max_tokens': tokens}),
        )
        reader = relay.FrameReader()
        frames = []
        with await client.send(request) as exchange:
            while chunk := await exchange.receive_chunk():
                if isinstance(chunk, results.Failure):
                    self.fail(f'{request_id}: {chunk.reason}')
                frames.extend(reader.feed(chunk))
        client.close()
        return fakes.describe_frames(frames)

    async def wait_running(self, standin, request_id):
        """Returns in the middle of a request's run at the engine."""
        while True:
            if standin.started.find_running(request_id):
                break
            await trio.sleep(0.005)
        await trio.sleep(0.1)

    def test_concurrent_requests_get_complete_answers(self):
        async def check(standin, faults, daemon):
            answers = {}

            async def run(name, tokens):
                answers[name] = await self.read_answer(
                    daemon, name, f'prompt {name}', tokens
                )

            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(run, f'r{number}', 10 + number)
            for number in range(6):
                name = f'r{number}'
                expected = engine_module.expected_tokens(
                    f'prompt {name}', None, 10 + number
                )
                self.assertEqual([*expected, 'end'], answers[name])

        self.run_with_engine(check)

    def test_silently_cut_stream_is_resumed(self):
        async def check(standin, faults, daemon):
            async with trio.open_nursery() as nursery:

                async def cut():
                    await self.wait_running(standin, 'a')
                    faults.cut_silently()

                nursery.start_soon(cut)
                answer = await self.read_answer(daemon, 'a', 'words', 80)
            expected = engine_module.expected_tokens('words', None, 80)
            self.assertEqual([*expected, 'end'], answer)
            self.assertEqual(1, daemon.runner.reconnect_count)

        self.run_with_engine(check)

    def test_request_to_a_frozen_engine_fails(self):
        async def check(standin, faults, daemon):
            service = configuration.Service(
                name='model-service', kind=configuration.ServiceKind.MODEL
            )
            daemon.apply_service(service, 1)
            async with trio.open_nursery() as nursery:

                async def freeze():
                    await self.wait_running(standin, 'a')
                    faults.freeze(60_000)

                nursery.start_soon(freeze)
                answer = await self.read_answer(daemon, 'a', 'words', 80)
            self.assertEqual('UPSTREAM_SILENT:ran', answer[-1])
            self.assertEqual(0, daemon.runner.reconnect_count)

        self.run_with_engine(check)

    def test_online_preempts_batch_at_the_engine(self):
        async def check(standin, faults, daemon):
            batch = [(relay.RelayHeader.CLASS, b'batch')]
            batch_answers = []

            async def run_batch(name):
                batch_answers.append(
                    await self.read_answer(daemon, name, name, 400, *batch)
                )

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(run_batch, f'b{number}')
                await trio.sleep(0.5)
                answer = await self.read_answer(daemon, 'o', 'words', 10)
                self.assertEqual(11, len(answer))
                nursery.cancel_scope.cancel()
            yielded = [
                frames[-1] for frames in batch_answers if len(frames) < 400
            ]
            self.assertIn('BATCH_YIELDED:ran', yielded)
            cancelled = [
                request['request_id']
                for request in standin.started.describe(0)
                if request['cancelled']
            ]
            self.assertEqual(1, len(cancelled))

        self.run_with_engine(check)

    def test_aborted_answer_does_not_count_as_a_crash(self):
        async def check(standin, faults, daemon):
            async with trio.open_nursery() as nursery:

                async def abort():
                    await trio.sleep(0.1)
                    standin.loop.abort_all()

                nursery.start_soon(abort)
                answer = await self.read_answer(daemon, 'a', 'words', 60)
            expected = engine_module.expected_tokens('words', None, 60)
            self.assertEqual([*expected, 'end'], answer)
            self.assertEqual(0, daemon.monitor.exit_count)

        self.run_with_engine(check)
