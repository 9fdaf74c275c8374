"""Serves callers' batch jobs: submit, status, results, cancel."""

import re
import time

from siskinmount import batch
from siskinmount import configuration
from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _error_responses
from siskinmount.entry import _item_bodies
from siskinmount.entry import _job_client
from siskinmount.entry import _model_request
from siskinmount.entry import _query_number

BATCHES_PATH = '/v1/batches'
DEFAULT_DUE_S = 24 * 3600
MAX_DUE_S = 30 * 24 * 3600
MAX_LINE_BYTES = 1024 * 1024
_JOB_PATTERN = re.compile(r'[0-9a-f]{32}')


class BatchApi:
    """Handles `/v1/batches` for callers."""

    __slots__ = ('_jobs',)

    def __init__(self, jobs: _job_client.JobClient) -> None:
        self._jobs = jobs

    async def serve(
        self,
        exchange: transport.ServerExchange,
        document: configuration.ServiceDocument,
        caller: configuration.CallerPolicy,
    ) -> None:
        """Answers one request."""
        failure = await self._dispatch(exchange, document, caller)
        if failure is not None:
            await _error_responses.send_failure(exchange, failure)

    async def _dispatch(
        self,
        exchange: transport.ServerExchange,
        document: configuration.ServiceDocument,
        caller: configuration.CallerPolicy,
    ) -> results.Failure | None:
        """Executes the requested operation; returns a failure or None."""
        path = exchange.head.path.removeprefix(BATCHES_PATH).strip('/')
        method = exchange.head.method
        if not path and method == 'POST':
            return await self._submit(exchange, document, caller)
        job, _, operation = path.partition('/')
        if job and not _JOB_PATTERN.fullmatch(job):
            return results.Failure(
                results.ResultCode.NO_SUCH_JOB, 'no job with this identifier'
            )
        if job and not operation and method == 'GET':
            return await _send_json(
                exchange, await self._jobs.read_status(job, caller.name)
            )
        if job and operation == 'results' and method == 'GET':
            return await self._send_results(exchange, job, caller)
        if job and operation == 'cancel' and method == 'POST':
            return await _send_json(
                exchange, await self._jobs.cancel(job, caller.name)
            )
        return results.Failure(
            results.ResultCode.NO_SUCH_ROUTE,
            f'no batch operation {method} {exchange.head.path}',
        )

    async def _submit(
        self,
        exchange: transport.ServerExchange,
        document: configuration.ServiceDocument,
        caller: configuration.CallerPolicy,
    ) -> results.Failure | None:
        """Reads a job's items line by line and submits the job."""
        request = _parse_job_request(document, caller, exchange.head)
        if isinstance(request, results.Failure):
            return request
        upload = await self._jobs.open_upload(request)
        if isinstance(upload, results.Failure):
            return upload
        failure = await _add_lines(
            exchange, document, document.services[request.service], upload
        )
        if failure is not None:
            await upload.give_up()
            return failure
        return await _send_json(exchange, await upload.finish(), 202)

    async def _send_results(
        self,
        exchange: transport.ServerExchange,
        job: str,
        caller: configuration.CallerPolicy,
    ) -> results.Failure | None:
        """Sends one page of results as JSON lines."""
        after = _query_number.read_query_number(
            exchange.head.query, 'after', -1, -1, _job_client.MAX_AFTER
        )
        limit = _query_number.read_query_number(
            exchange.head.query,
            'limit',
            _job_client.DEFAULT_PAGE_ITEMS,
            1,
            _job_client.MAX_PAGE_ITEMS,
        )
        if isinstance(after, results.Failure):
            return after
        if isinstance(limit, results.Failure):
            return limit
        page = await self._jobs.read_results(job, caller.name, after, limit)
        if isinstance(page, results.Failure):
            return page
        await exchange.send_whole(
            200,
            [
                (b'content-type', b'application/jsonl'),
                (b'x-next-after', b'%d' % page.next_after),
                (b'x-has-more', b'true' if page.has_more else b'false'),
                (b'x-job-state', page.job_state.encode('ascii')),
            ],
            page.lines,
        )
        return None


def is_batch_path(path: str) -> bool:
    """Returns whether a path belongs to the batch API."""
    return path == BATCHES_PATH or path.startswith(BATCHES_PATH + '/')


async def _add_lines(
    exchange: transport.ServerExchange,
    document: configuration.ServiceDocument,
    service: configuration.Service,
    upload: _job_client.Upload,
) -> results.Failure | None:
    """Reads the body and adds one item per non-empty line."""
    pending = b''
    line_number = 0
    while True:
        chunk = await exchange.receive_body_chunk()
        if isinstance(chunk, results.Failure):
            return chunk
        lines = (pending + chunk).split(b'\n')
        pending = lines.pop() if chunk else b''
        if len(pending) > MAX_LINE_BYTES:
            return results.Failure(
                results.ResultCode.ITEM_INVALID,
                f'line {line_number + 1} is longer than {MAX_LINE_BYTES} bytes',
            )
        for line in lines:
            line_number += 1
            if not line.strip():
                continue
            body = _item_bodies.parse_item_line(
                document, service, line, line_number
            )
            if isinstance(body, results.Failure):
                return body
            failure = await upload.add(body)
            if failure is not None:
                return failure
        if not chunk:
            return None


def _parse_job_request(
    document: configuration.ServiceDocument,
    caller: configuration.CallerPolicy,
    head: transport.RequestHead,
) -> batch.JobRequest | results.Failure:
    """Validates the parameters of a submission."""
    name = head.query.get('service', '')
    service = document.services.get(name)
    if service is None:
        return results.Failure(
            results.ResultCode.NO_SUCH_SERVICE, f'no service {name!r}'
        )
    due_s = _query_number.read_query_number(
        head.query, 'due_s', DEFAULT_DUE_S, 1, MAX_DUE_S
    )
    if isinstance(due_s, results.Failure):
        return due_s
    key = _model_request.check_idempotency_key(
        head.find_header(b'idempotency-key')
    )
    if isinstance(key, results.Failure):
        return key
    return batch.JobRequest(
        job=batch.create_job_id(caller.name, key),
        caller=caller.name,
        service=service.name,
        due_at_ms=int((time.time() + due_s) * 1000),
        idempotent=may_retry_items(document, service),
        max_attempts=service.batch_max_attempts,
        result_retention_ms=service.result_retention_s * 1000,
    )


def may_retry_items(
    document: configuration.ServiceDocument, service: configuration.Service
) -> bool:
    """Returns whether a service's items may be retried.

    An item of a plain service can call any of its routes, so a single route
    that is not idempotent rules retries out.
    """
    if not service.batch_idempotent:
        return False
    for route in document.routes:
        if route.service == service.name and not route.idempotent:
            return False
    return True


async def _send_json(
    exchange: transport.ServerExchange,
    response: bytes | results.Failure,
    status: int = 200,
) -> results.Failure | None:
    """Sends the JSON that a job's owner returned, or returns its failure."""
    if isinstance(response, results.Failure):
        return response
    await exchange.send_whole(
        status, [(b'content-type', b'application/json')], response
    )
    return None
