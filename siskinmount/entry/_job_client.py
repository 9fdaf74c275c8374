"""Operations on batch jobs, executed at the owner of the job's stream."""

import urllib.parse

import orjson

from siskinmount import batch
from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _job_messages
from siskinmount.entry import _query_number
from siskinmount.entry import _stream_owner_client

DEFAULT_PAGE_ITEMS = 1000
MAX_PAGE_ITEMS = 10_000
MAX_AFTER = 10**9
JOBS_PREFIX = '/jobs/'
#: Size at which buffered items are sent to a remote owner.
CHUNK_BYTES = 256 * 1024


class JobClient:
    """Executes callers' operations on jobs, locally or at a remote owner."""

    __slots__ = ('_owner_client',)

    def __init__(
        self, owner_client: _stream_owner_client.StreamOwnerClient
    ) -> None:
        self._owner_client = owner_client

    async def open_upload(
        self, request: batch.JobRequest
    ) -> 'LocalUpload | RemoteUpload | results.Failure':
        """Starts the upload of a job."""
        stream = self._owner_client.find_stream(request.job)
        shard = await _stream_owner_client.wait_for_shard(
            self._owner_client, stream
        )
        if not isinstance(shard, results.Failure):
            upload = shard.batch.open_upload(request)
            if isinstance(upload, results.Failure):
                return upload
            return LocalUpload(shard.batch, upload)
        if shard.code is not results.ResultCode.NOT_OWNER:
            return shard
        response = await self._owner_client.send(
            stream,
            transport.ClientRequest(
                'POST',
                f'{JOBS_PREFIX}{request.job}/open',
                [],
                _job_messages.encode_job_request(request),
            ),
        )
        if isinstance(response, results.Failure):
            return _mark_not_run(response)
        upload_id = str(orjson.loads(response)['upload'])
        return RemoteUpload(self._owner_client, stream, request.job, upload_id)

    async def read_status(
        self, job: str, caller: str
    ) -> bytes | results.Failure:
        """Returns the status of a job as JSON."""
        return await self._execute(job, 'status', caller)

    async def cancel(self, job: str, caller: str) -> bytes | results.Failure:
        """Cancels a job and returns its status as JSON."""
        return await self._execute(job, 'cancel', caller)

    async def read_results(
        self, job: str, caller: str, after: int, limit: int
    ) -> '_job_messages.EncodedResultsPage | results.Failure':
        """Returns one page of a job's results."""
        response = await self._execute(
            job, 'results', caller, {'after': str(after), 'limit': str(limit)}
        )
        if isinstance(response, results.Failure):
            return response
        return _job_messages.decode_results_page(response)

    async def _execute(
        self,
        job: str,
        operation: str,
        caller: str,
        parameters: dict[str, str] | None = None,
    ) -> bytes | results.Failure:
        """Executes one operation locally or at the remote owner."""
        stream = self._owner_client.find_stream(job)
        query = {'caller': caller, **(parameters or {})}
        shard = await _stream_owner_client.wait_for_shard(
            self._owner_client, stream
        )
        if not isinstance(shard, results.Failure):
            return await execute_job_operation(
                shard.batch, job, operation, query
            )
        if shard.code is not results.ResultCode.NOT_OWNER:
            return shard
        target = (
            f'{JOBS_PREFIX}{job}/{operation}?{urllib.parse.urlencode(query)}'
        )
        return await self._owner_client.send(
            stream, transport.ClientRequest('POST', target)
        )


class LocalUpload:
    """An upload to a stream that this entry owns."""

    __slots__ = ('_owner', '_upload')

    def __init__(
        self, owner: batch.BatchOwner, upload: batch.JobUpload
    ) -> None:
        self._owner = owner
        self._upload = upload

    async def add(self, body: bytes) -> results.Failure | None:
        """Adds the next item."""
        return await self._upload.add(body)

    async def finish(self) -> bytes | results.Failure:
        """Submits the job and returns its status as JSON."""
        status = await self._owner.finish_upload(self._upload)
        if isinstance(status, results.Failure):
            return status
        return status.to_json()

    async def give_up(self) -> None:
        """Discards the upload."""
        self._upload.give_up()


class RemoteUpload:
    """An upload to a stream that another entry owns."""

    __slots__ = (
        '_owner_client',
        '_stream',
        '_job',
        '_upload_id',
        '_chunk',
        '_size',
    )

    def __init__(
        self,
        owner_client: _stream_owner_client.StreamOwnerClient,
        stream: str,
        job: str,
        upload_id: str,
    ) -> None:
        self._owner_client = owner_client
        self._stream = stream
        self._job = job
        self._upload_id = upload_id
        self._chunk: list[bytes] = []
        self._size = 0

    async def add(self, body: bytes) -> results.Failure | None:
        """Adds the next item."""
        self._chunk.append(body)
        self._size += len(body)
        if self._size < CHUNK_BYTES:
            return None
        return await self._send_chunk()

    async def finish(self) -> bytes | results.Failure:
        """Submits the job and returns its status as JSON."""
        failure = await self._send_chunk()
        if failure is not None:
            return failure
        return await self._send_once('finish', b'')

    async def give_up(self) -> None:
        """Discards the upload; if this fails, it expires at the owner."""
        await self._send_once('give-up', b'')

    async def _send_chunk(self) -> results.Failure | None:
        """Sends the buffered items."""
        if not self._chunk:
            return None
        body = b'\n'.join(self._chunk)
        self._chunk = []
        self._size = 0
        response = await self._send_once('items', body)
        if isinstance(response, results.Failure):
            return _mark_not_run(response)
        return None

    async def _send_once(
        self, operation: str, body: bytes
    ) -> bytes | results.Failure:
        """Sends a part without retries, which could add its items twice."""
        return await self._owner_client.send_once(
            self._stream,
            transport.ClientRequest(
                'POST',
                f'{JOBS_PREFIX}{self._job}/{operation}'
                f'?upload={self._upload_id}',
                [],
                body,
            ),
        )


Upload = LocalUpload | RemoteUpload


async def execute_job_operation(
    owner: batch.BatchOwner, job: str, operation: str, query: dict[str, str]
) -> bytes | results.Failure:
    """Executes an operation on a job that this entry owns.

    Args:
        owner: The owner of the job's stream.
        job: Identifier of the job.
        operation: `status`, `cancel` or `results`.
        query: The caller's name and the operation's parameters.
    """
    caller = query.get('caller', '')
    if operation == 'status':
        status = owner.status(job, caller)
    elif operation == 'cancel':
        status = await owner.cancel(job, caller)
    elif operation == 'results':
        after = _query_number.read_query_number(
            query, 'after', -1, -1, MAX_AFTER
        )
        limit = _query_number.read_query_number(
            query, 'limit', DEFAULT_PAGE_ITEMS, 1, MAX_PAGE_ITEMS
        )
        if isinstance(after, results.Failure):
            return after
        if isinstance(limit, results.Failure):
            return limit
        page = await owner.results_page(job, caller, after, limit)
        if isinstance(page, results.Failure):
            return page
        return _job_messages.encode_results_page(page)
    else:
        return results.Failure(
            results.ResultCode.NO_SUCH_ROUTE, f'no operation {operation!r}'
        )
    if isinstance(status, results.Failure):
        return status
    return status.to_json()


def _mark_not_run(failure: results.Failure) -> results.Failure:
    """Returns a failure of an unfinished upload with run state NOT_RUN.

    Only finishing an upload creates the job; before that nothing can run.
    """
    return results.Failure(
        failure.code,
        failure.reason,
        results.RunState.NOT_RUN,
        failure.retry_after_ms or 1000,
    )
