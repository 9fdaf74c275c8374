"""Tests of parts of prompts that crash the upstreams that run them."""

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness

#: Crashes after which requests with the part are counted, once this time has
#: passed.
_CRASHES = 5
_STABLE_WINDOW_S = 3.0
#: Requests with the part that may still reach upstreams.
_MAX_LATE_REQUESTS = 3
#: The platform drops the entry of a crashed upstream after three heartbeats.
_ENTRY_LIFETIME_S = 3.25
_MODEL = 'm'


class PromptTraffic:
    """Requests of which no two have the same body, path or last part."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._sent = 0

    async def send(self, parts, gateway=None, route='once'):
        """Sends a request with some shared parts, and returns the answer."""
        self._sent += 1
        number = self._sent
        if gateway is None:
            gateway = number % len(self._fleet.gateways)
        prompt = [f'{part}:100' for part in parts]
        return await self._fleet.call(
            gateway,
            'POST',
            f'/{route}/{number}',
            f'body {number}'.encode(),
            x_request_id=f'q{number}',
            x_model=_MODEL,
            x_prompt_prefix=','.join([*prompt, f'own{number}:250']),
        )


class CrashingPromptPartsTest(testtools.TestCase):

    def _count_late_requests(self, prompts, crashing_part, sound_prompts):
        """Returns how many requests crash upstreams after the stable window.

        Args:
            prompts: Shared parts of the requests with the crashing part, in
                turn.
            crashing_part: The part that crashes upstreams.
            sound_prompts: Shared parts of requests that run meanwhile. They are
                to be served in the end.
        """
        counts = []

        async def expire_entry(fleet, engine_id):
            await trio.sleep(_ENTRY_LIFETIME_S)
            fleet.store.put('keyed.servers', engine_id, b'')

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.crashing_part = crashing_part
            traffic = PromptTraffic(fleet)
            async with trio.open_nursery() as nursery:

                async def send(number):
                    known = len(fleet.crashed)
                    await traffic.send(prompts[number % len(prompts)])
                    for engine_id in fleet.crashed[known:]:
                        nursery.start_soon(expire_entry, fleet, engine_id)
                    for parts in sound_prompts:
                        await traffic.send(parts)

                for number in range(_CRASHES):
                    await send(number)
                    await trio.sleep(0.3)
                await trio.sleep(_STABLE_WINDOW_S)
                known = len(fleet.crashed)
                for number in range(8):
                    await send(number)
                    await trio.sleep(0.1)
                counts.append(len(fleet.crashed) - known)
                for parts in sound_prompts:
                    answer = await traffic.send(parts)
                    self.assertEqual(
                        (200, True), (answer.status, answer.is_whole), parts
                    )
                nursery.cancel_scope.cancel()

        gateway_harness.run_fleet(
            check,
            gateway_count=2,
            engines=tuple(f'e{number}' for number in range(16)),
        )
        return counts[0]

    def test_requests_with_a_crashing_part_of_their_prompt_are_refused(self):
        cases = [
            # Prompts with the part, the part, sound prompts.
            ([['f', 'p']], 'p', [['f', 'q']]),
            ([['p', 'q'], ['p', 'r']], 'p', [['f', 'q'], ['f', 'r']]),
            ([['f', 'g', 'p']], 'p', [['f', 'g', 'q']]),
            ([['f', 'p', 'q'], ['g', 'p', 'q']], 'p', [['f', 'r', 'q']]),
        ]
        for prompts, crashing_part, sound_prompts in cases:
            self.assertLessEqual(
                self._count_late_requests(
                    prompts, crashing_part, sound_prompts
                ),
                _MAX_LATE_REQUESTS,
                prompts,
            )

    def test_retry_of_a_suspect_prompt_waits_for_the_crash_check(self):
        # Guards against a second crash that tells nothing new.
        async def check(fleet):
            for engine in fleet.engines.values():
                engine.crashing_part = 'p'
            traffic = PromptTraffic(fleet)
            for _ in range(5):
                await traffic.send(['f', 'p'], route='stream')
                for gateway in range(2):
                    await traffic.send(['f', 'q'], gateway)
                await trio.sleep(0.3)
            # Two under the first request, which nobody suspects, two under the
            # second.
            self.assertLessEqual(len(fleet.crashed), 4)

        gateway_harness.run_fleet(
            check,
            gateway_count=2,
            engines=tuple(f'e{number}' for number in range(16)),
        )

    def test_output_at_another_service_does_not_clear_a_part(self):
        # Guards against a part that crashes one service and is sound at another.
        async def check(fleet):
            for engine in fleet.engines.values():
                if engine.is_streaming:
                    engine.crashing_part = 'p'
            traffic = PromptTraffic(fleet)
            for _ in range(8):
                await traffic.send(['f', 'p'])
                for gateway in range(2):
                    answer = await traffic.send(['f', 'p'], gateway, 'plain')
                    self.assertEqual(200, answer.status)
                    await traffic.send(['f', 'q'], gateway)
                await trio.sleep(0.3)
            self.assertLessEqual(len(fleet.crashed), 4)

        gateway_harness.run_fleet(
            check,
            gateway_count=2,
            engines=tuple(f'e{number}' for number in range(12)),
            plain=('p1', 'p2'),
        )

    def test_quarantine_outlives_the_loss_of_all_gateways(self):
        async def check(fleet):
            for engine in fleet.engines.values():
                engine.crashing_part = 'p'
            traffic = PromptTraffic(fleet)
            for _ in range(6):
                await traffic.send(['f', 'p'])
                await traffic.send(['f', 'q'])
                await trio.sleep(0.3)
            await gateway_harness.wait_until(
                lambda: fleet.store.read_newest_values(
                    gateway_harness.QUARANTINE_TOPIC
                )
            )
            known = len(fleet.crashed)
            for running in fleet.gateways:
                running.kill()
                await running.ended.wait()
            await trio.sleep(0.2)
            fleet.gateways.clear()
            for number in range(2):
                await fleet.start_gateway(number)
            for running in fleet.gateways:
                await fleet.wait_ready(running)
            for number in range(4):
                answer = await traffic.send(['f', 'p'], number % 2)
                self.assertEqual(503, answer.status)
            self.assertEqual(known, len(fleet.crashed))
            answer = await traffic.send(['f', 'q'])
            self.assertEqual(200, answer.status)

        gateway_harness.run_fleet(
            check,
            gateway_count=2,
            engines=tuple(f'e{number}' for number in range(16)),
        )
