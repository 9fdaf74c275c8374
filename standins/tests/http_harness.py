"""Runs a stand-in inside the test process."""

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import faults as faults_module
from standins import serving

TEST_TIMEOUT_S = 30
POLL_S = 0.005


class Caller:
    """Sends requests to a stand-in."""

    def __init__(self, address, limits=None):
        self.address = address
        self.client = transport.create_http_client(address, limits)

    async def call(self, method, target, body=b'', headers=()):
        """Returns the status and the body, or a failure."""
        if not isinstance(body, bytes):
            body = orjson.dumps(body)
        request = transport.ClientRequest(method, target, list(headers), body)
        exchange = await self.client.send(request)
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            data = await exchange.read_body(10_000_000)
            if isinstance(data, results.Failure):
                return data
            return exchange.status, data

    async def call_json(self, method, target, body=b'', headers=()):
        """Returns the status and the parsed body."""
        status, data = await self.call(method, target, body, headers)
        return status, orjson.loads(data)


def run_standin(handler, check, background_tasks=()):
    """Serves a stand-in while `check(caller)` runs."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    serving.serve,
                    transport.Address('127.0.0.1', 0),
                    handler,
                    faults_module.Faults(),
                    background_tasks,
                )
                await check(Caller(address))
                nursery.cancel_scope.cancel()

    trio.run(main)


async def wait_until(condition):
    """Polls until the condition holds; `run_standin` sets the timeout."""
    while True:
        if condition():
            return
        await trio.sleep(POLL_S)
