"""Submits one batch job, polls its status, and may cancel it."""

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
    """Caller of one batch job.

    Attributes:
        job: Observations of the caller.
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
        """Submits the job and returns when it is finished or cancelled.

        The results are read once at the end.
        """
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
        """Reads all results through one entry.

        Returns:
            Whether all pages were read.
        """
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
        """Submits the job under one idempotency key until it is accepted."""
        body = self._format_items()
        headers = [(b'idempotency-key', self.job.name.encode('ascii'))]
        while True:
            answer = await self._request_json(
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
        """Returns the job's items as JSON Lines."""
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
        """Requests the cancellation until it is acknowledged."""
        while True:
            answer = await self._request_json(
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
        """Requests the job status once."""
        answer = await self._request_json(
            'GET', f'/v1/batches/{self.job.job_id}'
        )
        if isinstance(answer, dict):
            self.job.last_status = orjson.dumps(answer).decode('utf-8')
            self.job.is_finished = answer['state'] == 'finished'
            return
        self.job.last_status = repr(answer)

    async def _request_json(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> dict | results.Failure | None:
        """Sends one request.

        Returns:
            The JSON object of the answer; a failure of the system or the
            connection; or None if an error answer cannot be parsed.
        """
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
