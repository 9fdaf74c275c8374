"""Tests unusual orders of starting and stopping real processes."""

import json

import testtools
import trio

from siskinmount import results
from siskinmount import transport
from tools import fleet

_TIMEOUT_S = 90
_CALLERS = fleet.create_callers(['demo'])
_DOCUMENT = fleet.format_document(
    model_services=['lm'], plain_services=[], callers=_CALLERS
)


async def _request(address, method, path, body=b''):
    """Sends one request of a caller; returns the status and the body."""
    client = transport.create_http_client(
        address, transport.ClientLimits(silence_timeout_ms=30_000)
    )
    key = f'Bearer {_CALLERS[0].key}'.encode()
    exchange = await client.send(
        transport.ClientRequest(method, path, [(b'authorization', key)], body)
    )
    assert not isinstance(exchange, results.Failure), exchange
    with exchange:
        answer = await exchange.read_body(1 << 20)
    client.close()
    return exchange.status, answer


async def _request_completion(entry):
    body = json.dumps({'model': 'lm', 'prompt': 'p', 'max_tokens': 3})
    return await _request(
        entry.callers_address, 'POST', '/v1/completions', body.encode()
    )


class StartOrderTest(testtools.TestCase):

    def run_fleet(self, check, entry_count=1):
        async def main():
            plan = fleet.plan_fleet(
                entry_count=entry_count,
                model_services={'lm': 1},
                plain_services={},
            )
            with trio.fail_after(_TIMEOUT_S):
                async with fleet.open_fleet(plan) as running:
                    await check(running, plan)

        trio.run(main)

    async def publish(self, plan):
        await fleet.publish_document(plan.log_address, _DOCUMENT, 0)

    async def assert_serves_requests(self, running, plan):
        await running.wait_ready()
        for entry in plan.entries:
            status, body = await _request_completion(entry)
            self.assertEqual(200, status, body)

    async def assert_exit_cleanly(self, running, *vms):
        for vm in vms:
            running.group.processes[vm].terminate()
        for vm in vms:
            status = await running.group.processes[vm].stop(30)
            log = bytes(running.group.processes[vm].log[-2000:])
            self.assertEqual(0, status, log)

    def test_entries_start_first_and_the_log_last(self):
        async def check(running, plan):
            (entry,) = plan.entries
            await running.start_entry(entry)
            ready, _ = await _request(entry.callers_address, 'GET', '/readyz')
            self.assertEqual(503, ready)
            status, body = await _request_completion(entry)
            error = json.loads(body)['error']
            self.assertEqual(
                (503, 5004, 'not_run'),
                (status, error['code'], error['run_state']),
            )
            self.assertTrue(error['retry_after_ms'])
            await running.start_sidecar(plan.sidecars[0])
            ready, _ = await _request(
                plan.sidecars[0].peers_address, 'GET', '/readyz'
            )
            self.assertEqual(503, ready)
            await running.start_upstream(plan.sidecars[0])
            await running.start_platform()
            await self.publish(plan)
            await self.assert_serves_requests(running, plan)

        self.run_fleet(check)

    def test_document_then_sidecars_then_entries(self):
        async def check(running, plan):
            await running.start_platform()
            await self.publish(plan)
            await running.start_sidecar(plan.sidecars[0])
            await running.start_upstream(plan.sidecars[0])
            await running.start_entry(plan.entries[0])
            await self.assert_serves_requests(running, plan)
            # A sidecar also exits cleanly after all entries have exited.
            await self.assert_exit_cleanly(running, plan.entries[0].vm)
            await self.assert_exit_cleanly(running, 'lm-0')

        self.run_fleet(check)

    def test_daemons_exit_cleanly_if_the_log_never_started(self):
        async def check(running, plan):
            await running.start_sidecar(plan.sidecars[0])
            await running.start_entry(plan.entries[0])
            await self.assert_exit_cleanly(running, plan.entries[0].vm, 'lm-0')

        self.run_fleet(check)

    def test_entry_restarts_while_the_log_is_down(self):
        async def check(running, plan):
            await running.start_all()
            await self.publish(plan)
            await self.assert_serves_requests(running, plan)
            running.group.processes['log'].kill()
            first, second = plan.entries
            running.group.processes[first.vm].kill()
            await running.group.processes[first.vm].wait()
            await running.start_entry(first)
            await self.assert_serves_requests(running, plan)
            status, body = await _request(
                first.callers_address,
                'POST',
                '/v1/batches?service=lm',
                b'{"prompt": "p"}',
            )
            error = json.loads(body)['error']
            self.assertEqual((503, 4), (status, error['code'] // 1000), body)
            self.assertTrue(error['retry_after_ms'])
            await self.assert_exit_cleanly(running, first.vm, second.vm, 'lm-0')

        self.run_fleet(check, entry_count=2)
