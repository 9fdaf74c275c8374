"""Calls of one caller to one entry."""

from collections.abc import Awaitable
from collections.abc import Callable

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools import fleet

MAX_BODY_BYTES = 64 * 1024 * 1024
SILENCE_TIMEOUT_MS = 30_000
JOB_POLL_INTERVAL_S = 0.1
RESULTS_PER_PAGE = 1000


class EntryCalls:
    """Calls one entry as one caller; a failed call raises an error."""

    __slots__ = ('_client', '_caller')

    def __init__(
        self, address: transport.Address, caller: fleet.Caller
    ) -> None:
        self._client = transport.create_http_client(
            address,
            transport.ClientLimits(
                max_connections=1024, silence_timeout_ms=SILENCE_TIMEOUT_MS
            ),
        )
        self._caller = caller

    async def open(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        key: str | None = None,
    ) -> transport.ClientExchange:
        """Sends one request and returns the exchange with its response.

        Raises:
            RuntimeError: There was no response, or its status is 300 or above.
        """
        bearer = f'Bearer {self._caller.key}'.encode('ascii')
        headers = [(b'authorization', bearer)]
        if key is not None:
            headers.append((b'idempotency-key', key.encode('ascii')))
        exchange = await self._client.send(
            transport.ClientRequest(method, target, headers, body)
        )
        if isinstance(exchange, results.Failure):
            raise RuntimeError(repr(exchange))
        if exchange.status >= 300:
            answer = await exchange.read_body(MAX_BODY_BYTES)
            raise RuntimeError(f'{target}: {exchange.status} {answer!r}')
        return exchange

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        key: str | None = None,
    ) -> bytes:
        """Sends one request and returns the body of its response.

        Raises:
            RuntimeError: The request failed or the response is incomplete.
        """
        with await self.open(method, target, body, key) as exchange:
            answer = await exchange.read_body(MAX_BODY_BYTES)
        if isinstance(answer, results.Failure):
            raise RuntimeError(repr(answer))
        return answer

    async def open_stream(
        self, service: str, prompt: str, max_tokens: int
    ) -> transport.ClientExchange:
        """Requests a streamed completion."""
        fields = {
            'model': service,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        return await self.open('POST', '/v1/completions', orjson.dumps(fields))

    async def run_stream(
        self, service: str, prompt: str, max_tokens: int
    ) -> int:
        """Requests a streamed completion and reads it to its end.

        Returns:
            The number of reads that returned data.

        Raises:
            RuntimeError: The request failed or the stream is incomplete.
        """
        exchange = await self.open_stream(service, prompt, max_tokens)
        data = b''
        read_count = 0
        with exchange:
            while True:
                chunk = await exchange.receive_chunk()
                if isinstance(chunk, results.Failure):
                    raise RuntimeError(repr(chunk))
                if not chunk:
                    break
                data += chunk
                read_count += 1
        if not data.rstrip().endswith(b'data: [DONE]'):
            raise RuntimeError(f'stream ended without [DONE]: {data[-500:]!r}')
        return read_count

    async def submit_job(self, service: str, lines: list[bytes]) -> str:
        """Submits a batch job and returns its identifier."""
        answer = await self.call(
            'POST',
            f'/v1/batches?service={service}&due_s=36000',
            b'\n'.join(lines),
        )
        return str(orjson.loads(answer)['job'])

    async def wait_finished(self, job: str) -> None:
        """Waits until all items of a job have ended."""
        while True:
            status = await self.call('GET', f'/v1/batches/{job}')
            if orjson.loads(status)['state'] == 'finished':
                return
            await trio.sleep(JOB_POLL_INTERVAL_S)

    async def read_results(self, job: str) -> int:
        """Reads all results of a job.

        Returns:
            The number of items that are done.
        """
        done_count = 0
        after = -1
        while True:
            page = await self.call(
                'GET',
                f'/v1/batches/{job}/results?after={after}'
                f'&limit={RESULTS_PER_PAGE}',
            )
            items = [orjson.loads(line) for line in page.splitlines()]
            if not items:
                return done_count
            done_count += sum(item['state'] == 'done' for item in items)
            after = items[-1]['index']

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


async def run_in_parallel(
    call: Callable[[int], Awaitable[object]], count: int, parallel: int
) -> None:
    """Makes numbered calls, at most `parallel` of them at a time."""
    limiter = trio.CapacityLimiter(parallel)

    async def run(number: int) -> None:
        async with limiter:
            await call(number)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(run, number)
