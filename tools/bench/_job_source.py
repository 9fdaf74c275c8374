"""Submits batch items to entries as jobs."""

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools import load
from tools.bench import _batch_progress

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
RESULTS_PER_PAGE = 10_000
DUE_S = 3600
ACCEPTED_STATUS = 202
RETRIED_STATUSES = (429, 503)
RETRY_DELAY_S = 0.2
MAX_ATTEMPTS = 50


class SubmittedJob:
    """A job that an entry has accepted.

    Attributes:
        job_id: Identifier of the job.
        requests: Requests of its items, by index.
        client: Client of the entry from which its results are read.
    """

    __slots__ = ('job_id', 'requests', 'client')

    def __init__(
        self,
        job_id: str,
        requests: list[load.LoadRequest],
        client: transport.HttpClient,
    ) -> None:
        self.job_id = job_id
        self.requests = requests
        self.client = client


class JobError(Exception):
    """An entry did not accept a job or did not return its results."""


class JobSource:
    """Submits jobs with more items than an arm can complete.

    Attributes:
        jobs: The accepted jobs.
    """

    __slots__ = (
        'jobs',
        '_service',
        '_key',
        '_clients',
        '_workload',
        '_job_count',
        '_items_per_job',
    )

    def __init__(
        self,
        *,
        service: str,
        key: str,
        entries: list[transport.Address],
        shape: load.WorkloadShape,
        seed: int,
        job_count: int,
        items_per_job: int,
    ) -> None:
        self.jobs: list[SubmittedJob] = []
        self._service = service
        self._key = key
        limits = transport.ClientLimits(silence_timeout_ms=30_000)
        self._clients = [
            transport.create_http_client(entry, limits) for entry in entries
        ]
        self._workload = load.create_workload(shape, seed, 'batch')
        self._job_count = job_count
        self._items_per_job = items_per_job

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Submits all jobs; the sidecars pull their items.

        Raises:
            JobError: A job was not accepted.
        """
        for number in range(self._job_count):
            client = self._clients[number % len(self._clients)]
            requests = [
                self._workload.create_request(0.0)
                for _ in range(self._items_per_job)
            ]
            job_id = await self._submit(client, requests, number)
            self.jobs.append(SubmittedJob(job_id, requests, client))
        task_status.started()

    async def read_progress(self) -> _batch_progress.BatchProgress:
        """Reads all results, checks each answer and returns the counts."""
        progress = _batch_progress.BatchProgress()
        for job in self.jobs:
            await self._add_results(job, progress)
        return progress

    async def _submit(
        self,
        client: transport.HttpClient,
        requests: list[load.LoadRequest],
        number: int,
    ) -> str:
        """Submits a job, with retries while it has no owner yet.

        Returns:
            The job's identifier.

        Raises:
            JobError: The job was not accepted.
        """
        lines = [
            orjson.dumps(
                {'prompt': request.prompt, 'max_tokens': request.max_tokens}
            )
            for request in requests
        ]
        headers = [
            *self._build_headers(),
            (b'idempotency-key', b'bench-job-%d' % number),
        ]
        target = f'/v1/batches?service={self._service}&due_s={DUE_S}'
        body = b'\n'.join(lines)
        reason = ''
        for _ in range(MAX_ATTEMPTS):
            answer = await _send_request(
                client, transport.ClientRequest('POST', target, headers, body)
            )
            if answer.status == ACCEPTED_STATUS:
                return str(orjson.loads(answer.body)['job'])
            reason = f'status {answer.status}: {answer.body[:300]!r}'
            if answer.status not in RETRIED_STATUSES:
                break
            await trio.sleep(RETRY_DELAY_S)
        raise JobError(f'the job was not accepted: {reason}')

    async def _add_results(
        self, job: SubmittedJob, progress: _batch_progress.BatchProgress
    ) -> None:
        """Adds the results of one job to the counts, page by page."""
        after = -1
        while True:
            target = (
                f'/v1/batches/{job.job_id}/results'
                f'?after={after}&limit={RESULTS_PER_PAGE}'
            )
            answer = await _send_request(
                job.client,
                transport.ClientRequest('GET', target, self._build_headers()),
            )
            if answer.status != 200:
                raise JobError(
                    f'no results of the job: status {answer.status}:'
                    f' {answer.body[:300]!r}'
                )
            for line in answer.body.splitlines():
                after = _add_result(job, orjson.loads(line), progress)
            if answer.find_header(b'x-has-more') != 'true':
                return

    def _build_headers(self) -> transport.Headers:
        return [(b'authorization', f'Bearer {self._key}'.encode('ascii'))]


class _Response:
    """A complete response.

    Attributes:
        status: HTTP status; 0 if there was no complete response.
        body: The body, or the reason of the failure if the status is 0.
        headers: The response headers.
    """

    __slots__ = ('status', 'body', 'headers')

    def __init__(
        self, status: int, body: bytes, headers: transport.Headers
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers

    def find_header(self, name: bytes) -> str | None:
        """Returns the first value of a header, by lower-case name."""
        return transport.find_header(self.headers, name)


async def _send_request(
    client: transport.HttpClient, request: transport.ClientRequest
) -> _Response:
    """Sends a request and reads the complete response."""
    exchange = await client.send(request)
    if isinstance(exchange, results.Failure):
        return _Response(0, exchange.reason.encode('utf-8'), [])
    with exchange:
        body = await exchange.read_body(MAX_RESPONSE_BYTES)
    if isinstance(body, results.Failure):
        return _Response(0, body.reason.encode('utf-8'), [])
    return _Response(exchange.status, body, exchange.headers)


def _add_result(
    job: SubmittedJob, document: dict, progress: _batch_progress.BatchProgress
) -> int:
    """Adds one result to the counts and returns the item's index."""
    index = document['index']
    if document['state'] != 'done':
        progress.failures += 1
        return index
    progress.done_items += 1
    tokens = job.requests[index].find_answer()
    progress.kept_tokens += len(tokens)
    if document['output']['text'] != ''.join(tokens):
        progress.wrong_items += 1
    return index
