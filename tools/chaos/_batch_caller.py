"""Submits one batch job, follows it, and may cancel it."""

import time

import orjson
import trio

from siskinmount import results
from tools.chaos import _entry_client
from tools.chaos import _observations

POLL_S = 0.5
PAGE_ITEMS = 7
ITEM_DELAY_MS = 100


class BatchCaller:
    """Has one job done.

    Attributes:
        job: What the caller has seen.
    """

    __slots__ = ('job', '_client', '_service', '_cancel_after_s')

    def __init__(
        self,
        client: _entry_client.EntryClient,
        service: str,
        job: _observations.JobObservation,
        cancel_after_s: float | None,
    ) -> None:
        self.job = job
        self._client = client
        self._service = service
        self._cancel_after_s = cancel_after_s

    async def run(self) -> None:
        """Returns once the job has finished or was cancelled."""
        await self._submit()
        if not self.job.job_id:
            return
        if self._cancel_after_s is not None:
            await trio.sleep(self._cancel_after_s)
            await self._cancel()
            await self.read_results(self._client.choose_entry())
            return
        while not self.job.is_finished:
            await trio.sleep(POLL_S)
            await self._poll()
        await self.read_results(self._client.choose_entry())

    async def read_results(self, entry_vm: str) -> bool:
        """Reads all results through one entry; tells whether that worked."""
        found: list[_observations.ItemResult] = []
        after = -1
        while True:
            exchange = await self._client.send(
                entry_vm,
                'GET',
                f'/v1/batches/{self.job.job_id}/results'
                f'?after={after}&limit={PAGE_ITEMS}',
            )
            if isinstance(exchange, results.Failure):
                return False
            with exchange:
                body = await exchange.read_body(_entry_client.MAX_BODY_BYTES)
            if isinstance(body, results.Failure) or exchange.status != 200:
                return False
            for line in body.splitlines():
                found.append(_read_line(line))
            after = int(exchange.find_header(b'x-next-after') or '-1')
            if exchange.find_header(b'x-has-more') != 'true':
                self.job.readings.append(found)
                return True

    async def _submit(self) -> None:
        """Submits under one key until the job is accepted or given up."""
        body = self._format_items()
        headers = [(b'idempotency-key', self.job.name.encode('ascii'))]
        while True:
            answer = await self._ask(
                'POST',
                f'/v1/batches?service={self._service}&due_s=3600',
                body,
                headers,
            )
            if isinstance(answer, dict):
                self.job.job_id = str(answer['job'])
                return
            await trio.sleep(POLL_S)

    def _format_items(self) -> bytes:
        """Returns the job's items, one a line."""
        lines: list[bytes] = []
        for prompt in self.job.prompts:
            item: dict[str, object] = {
                'prompt': prompt,
                'max_tokens': self.job.max_tokens,
            }
            if self.job.is_plain:
                item = {
                    'method': 'POST',
                    'path': f'/{self._service}/sheet',
                    'body': {'key': prompt, 'delay_ms': ITEM_DELAY_MS},
                }
            lines.append(orjson.dumps(item))
        return b'\n'.join(lines)

    async def _cancel(self) -> None:
        """Asks for the cancellation until it is acknowledged."""
        while True:
            answer = await self._ask(
                'POST', f'/v1/batches/{self.job.job_id}/cancel'
            )
            if isinstance(answer, dict):
                if answer['state'] == 'cancelled':
                    self.job.cancelled_at_s = time.monotonic()
                else:
                    self.job.is_finished = True
                return
            await trio.sleep(POLL_S)

    async def _poll(self) -> None:
        """Reads the status once."""
        answer = await self._ask('GET', f'/v1/batches/{self.job.job_id}')
        if isinstance(answer, dict):
            self.job.last_status = orjson.dumps(answer).decode('utf-8')
            self.job.is_finished = answer['state'] == 'finished'
            return
        self.job.last_status = repr(answer)

    async def _ask(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> dict | results.Failure | None:
        """Returns the JSON object that an entry answers with."""
        exchange = await self._client.send(
            self._client.choose_entry(), method, target, body, headers
        )
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            answer = await exchange.read_body(_entry_client.MAX_BODY_BYTES)
        if isinstance(answer, results.Failure):
            return answer
        if exchange.status not in (200, 201, 202):
            return _entry_client.read_failure(answer)
        return orjson.loads(answer)


def _read_line(line: bytes) -> _observations.ItemResult:
    """Parses one line of results."""
    document = orjson.loads(line)
    output = document['output'] or {}
    return _observations.ItemResult(
        document['index'],
        document['state'],
        str(output.get('text', '')),
        str(document['reason']),
    )
