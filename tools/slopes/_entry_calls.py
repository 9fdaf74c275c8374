"""Calls that a caller makes to one entry, and checks of their answers."""

from collections.abc import Awaitable
from collections.abc import Callable

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools import fleet

MAX_BODY_BYTES = 64 * 1024 * 1024
SILENCE_TIMEOUT_MS = 30_000
JOB_POLL_S = 0.1
PAGE_RESULTS = 1000


class EntryCalls:
    """Calls one entry as one caller; each call raises if it fails."""

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
        """Sends one request and returns the answer, whose status is good.

        Raises:
            RuntimeError: There was no good answer.
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
        """Sends one request and returns the body of its answer.

        Raises:
            RuntimeError: There was no whole answer.
        """
        with await self.open(method, target, body, key) as exchange:
            answer = await exchange.read_body(MAX_BODY_BYTES)
        if isinstance(answer, results.Failure):
            raise RuntimeError(repr(answer))
        return answer

    async def open_stream(
        self, service: str, prompt: str, max_tokens: int
    ) -> transport.ClientExchange:
        """Asks for a streamed completion."""
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
        """Reads a streamed completion to its end.

        Returns:
            The number of reads that brought data.

        Raises:
            RuntimeError: It is not whole.
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
            raise RuntimeError(f'no whole answer: {data[-500:]!r}')
        return read_count

    async def submit_job(self, service: str, lines: list[bytes]) -> str:
        """Submits a batch job and returns its name."""
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
            await trio.sleep(JOB_POLL_S)

    async def read_results(self, job: str) -> int:
        """Reads all results of a job.

        Returns:
            How many items are done.
        """
        done_count = 0
        after = -1
        while True:
            page = await self.call(
                'GET',
                f'/v1/batches/{job}/results?after={after}&limit={PAGE_RESULTS}',
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
    """Makes numbered calls with a bound on those in flight."""
    limiter = trio.CapacityLimiter(parallel)

    async def run(number: int) -> None:
        async with limiter:
            await call(number)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(run, number)
