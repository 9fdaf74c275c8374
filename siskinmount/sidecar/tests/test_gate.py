"""Tests of the gate and its policies."""

import testtools
import trio
import trio.testing

from siskinmount import configuration
from siskinmount import sidecar
from siskinmount.sidecar import _gate

ONLINE = 'o'
BATCH = 'b'
#: A batch request whose prompt is still being computed.
PREFILLING = 'p'
SOLO = 's'
POLICIES = {
    'online_first': configuration.GatePolicy.ONLINE_FIRST,
    'pass_through': configuration.GatePolicy.PASS_THROUGH,
    'static_split': configuration.GatePolicy.STATIC_SPLIT,
}


class _Client:
    """A request that runs until `end` is called."""

    def __init__(self, gate, kind, prompt_tokens):
        self.gate = gate
        self.kind = kind
        self.state = 'waiting'
        self.ticket = sidecar.Ticket(
            online=kind not in (BATCH, PREFILLING),
            solo=kind == SOLO,
            prompt_tokens=prompt_tokens,
            preemptible=kind in (BATCH, PREFILLING),
            preempt=self.preempt,
        )

    def preempt(self):
        self.state = 'preempted'

    async def run(self):
        refusal = await self.gate.admit(self.ticket)
        if refusal is not None:
            self.state = refusal.code.name
        elif self.state == 'waiting':
            self.state = 'running'
            if self.kind == BATCH:
                self.gate.record_tokens(self.ticket, 1)

    def end(self):
        self.gate.release(self.ticket)
        if self.state == 'running':
            self.state = 'ended'


class GateTest(testtools.TestCase):

    def run_gate(self, check, policy='online_first', **load):
        async def main():
            gate = sidecar.create_gate(
                POLICIES[policy], sidecar.GateLoad(**{'slots': 3, **load})
            )
            async with trio.open_nursery() as nursery:

                async def add(kind, prompt_tokens=10):
                    client = _Client(gate, kind, prompt_tokens)
                    nursery.start_soon(client.run)
                    await trio.testing.wait_all_tasks_blocked()
                    return client

                await check(gate, add)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def run_arrivals(self, policy, kinds, **load):
        """Returns the states after requests of these kinds have arrived."""
        clients = []

        async def check(gate, add):
            for kind in kinds:
                clients.append(await add(kind))

        self.run_gate(check, policy, **load)
        return ' '.join(client.state for client in clients)

    def test_arrivals(self):
        for policy, kinds, expected in (
            ('online_first', 'bbb', 'running running running'),
            ('online_first', 'bbbb', 'running running running waiting'),
            # At equal resume costs the oldest batch request is preempted.
            ('online_first', 'bbbo', 'preempted running running running'),
            ('online_first', 'pbbo', 'preempted running running running'),
            ('online_first', 'bbpo', 'running running preempted running'),
            ('online_first', 'bpo', 'running preempted running'),
            ('online_first', 'ooob', 'running running running waiting'),
            ('online_first', 'oooo', 'running running running waiting'),
            ('online_first', 's', 'running'),
            ('online_first', 'so', 'running waiting'),
            ('online_first', 'os', 'running waiting'),
            ('online_first', 'bs', 'preempted waiting'),
            ('online_first', 'oso', 'running waiting waiting'),
            ('pass_through', 'bbbo', 'running running running running'),
            ('pass_through', 'bsb', 'running waiting waiting'),
            ('static_split', 'bbo', 'running waiting running'),
            ('static_split', 'ooo', 'running running waiting'),
        ):
            states = self.run_arrivals(policy, kinds)
            self.assertEqual(expected, states, f'{policy} {kinds}')

    def test_reserved_slots_are_left_free(self):
        states = self.run_arrivals(
            'online_first', 'bbb', online_reserve_slots=1
        )
        self.assertEqual('running running waiting', states)

    def test_online_preempts_and_waits_for_solo_batch(self):
        async def check(gate, add):
            suspect = await add(BATCH)
            suspect.ticket.solo = True
            online = await add(ONLINE)
            self.assertEqual(
                ('preempted', 'waiting'), (suspect.state, online.state)
            )
            suspect.end()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual('running', online.state)

        self.run_gate(check)

    def test_least_progress_is_preempted(self):
        async def check(gate, add):
            clients = [await add(BATCH, size) for size in (30, 10, 20)]
            for client, count in zip(clients, (1, 50, 5), strict=True):
                gate.record_tokens(client.ticket, count)
            await add(ONLINE)
            self.assertEqual(
                ['running', 'running', 'preempted'],
                [client.state for client in clients],
            )

        self.run_gate(check)

    def test_batch_limit_beside_online(self):
        async def check(gate, add):
            gate.load.batch_slots_beside_online = 1
            batch = [await add(BATCH) for _ in range(6)]
            online = await add(ONLINE)
            self.assertEqual('running', online.state)
            stopped = [len([c for c in batch if c.state == 'preempted'])]
            for _ in range(5):
                gate.trim_batch()
                stopped.append(
                    len([c for c in batch if c.state == 'preempted'])
                )
            # Gradually, and an excess of one is tolerated.
            self.assertEqual([0, 1, 2, 3, 4, 4], stopped)
            for client in batch:
                if client.state == 'preempted':
                    client.end()
            waiting = await add(BATCH)
            self.assertEqual('waiting', waiting.state)
            online.end()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual('running', waiting.state)

        self.run_gate(check, slots=8)

    def test_long_batch_prompt_waits_for_online(self):
        async def check(gate, add):
            online = await add(ONLINE)
            long = await add(PREFILLING, 100)
            self.assertEqual('waiting', long.state)
            online.end()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual('running', long.state)
            # The request is still in prefill, so it is preempted again.
            await add(ONLINE)
            self.assertEqual('preempted', long.state)

        self.run_gate(check, batch_prefill_tokens=50)

    def test_batch_prefills_are_paced_beside_online(self):
        async def check(gate, add):
            await add(ONLINE)
            first = await add(PREFILLING)
            second = await add(PREFILLING)
            self.assertEqual('waiting', second.state)
            await trio.sleep(1)
            gate.record_tokens(first.ticket, 1)
            await trio.sleep(2.9)
            self.assertEqual('waiting', second.state)
            await trio.sleep(0.2)
            self.assertEqual('running', second.state)

        self.run_gate(check)

    def test_concurrent_batch_prefill_tokens_are_bounded(self):
        async def check(gate, add):
            sizes = (30, 10, 20, 5)
            clients = [await add(PREFILLING, size) for size in sizes]
            self.assertEqual(
                ['running', 'running', 'waiting', 'running'],
                [client.state for client in clients],
            )
            gate.record_tokens(clients[0].ticket, 1)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual('running', clients[2].state)

        self.run_gate(check, slots=4, batch_prefill_tokens=50)

    def test_online_overload_is_refused(self):
        async def check(gate, add):
            clients = [await add(ONLINE) for _ in range(3)]
            waiting = [await add(ONLINE) for _ in range(6)]
            refused = await add(ONLINE)
            self.assertEqual('OVERLOADED', refused.state)
            clients[0].end()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual('running', waiting[0].state)
            await trio.sleep(_gate.MAX_ONLINE_WAIT_MS / 1000 + 1)
            self.assertEqual('OVERLOADED', waiting[1].state)
            self.assertEqual(0, gate.count_waiting())

        self.run_gate(check)

    def test_refused_solo_unblocks_waiting_requests(self):
        async def check(gate, add):
            await add(ONLINE)
            solo = await add(SOLO)
            batch = await add(BATCH)
            await trio.sleep(_gate.MAX_SOLO_WAIT_MS / 1000 - 1)
            self.assertEqual('waiting', batch.state)
            await trio.sleep(1.1)
            self.assertEqual(
                ('OVERLOADED', 'running'), (solo.state, batch.state)
            )

        self.run_gate(check)

    def test_close_refuses_waiting_requests(self):
        async def check(gate, add):
            running = [await add(ONLINE) for _ in range(3)]
            waiting = [await add(ONLINE), await add(BATCH)]
            gate.close()
            late = await add(ONLINE)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(
                ['LEAVING'] * 3, [c.state for c in (*waiting, late)]
            )
            self.assertEqual('running', running[0].state)

        self.run_gate(check)

    def test_ticket_admitted_after_cancellation_is_released(self):
        async def check(gate, add):
            running = [await add(BATCH) for _ in range(3)]
            ticket = sidecar.Ticket(online=False)
            scope = trio.CancelScope()

            async def wait():
                with scope:
                    await gate.admit(ticket)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                scope.cancel()
                running[0].end()
            self.assertEqual(2, gate.count_running())
            self.assertEqual(0, gate.count_waiting())

        self.run_gate(check)

    def test_in_flight_counts_requests_competing_with_online(self):
        for policy, kinds, expected in (
            ('online_first', 'bbo', 1),
            ('pass_through', 'bbo', 3),
            ('online_first', 's', 3),
        ):
            counts = []

            async def check(gate, add, kinds=kinds, counts=counts):
                for kind in kinds:
                    await add(kind)
                counts.append(gate.count_in_flight())

            self.run_gate(check, policy)
            self.assertEqual([expected], counts, kinds)
