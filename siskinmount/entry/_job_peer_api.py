"""Serves other entries' operations on the jobs that this entry owns."""

import uuid

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _job_client
from siskinmount.entry import _job_messages
from siskinmount.entry import _key_service
from siskinmount.entry import _stream_owner_client

#: Maximum time between two parts of an upload.
UPLOAD_IDLE_TIMEOUT_S = 60.0
MAX_PART_BYTES = 8 * 1024 * 1024


class _OpenUpload:
    """An upload that another entry sends in parts.

    Attributes:
        upload: The upload.
        last_active_s: Monotonic time of its last part.
    """

    __slots__ = ('upload', 'last_active_s')

    def __init__(self, upload: _job_client.LocalUpload) -> None:
        self.upload = upload
        self.last_active_s = trio.current_time()


class JobPeerApi:
    """Answers `POST /jobs/{job}/{operation}`."""

    __slots__ = ('_owner_client', '_uploads')

    def __init__(
        self, owner_client: _stream_owner_client.StreamOwnerClient
    ) -> None:
        self._owner_client = owner_client
        self._uploads: dict[str, _OpenUpload] = {}

    async def serve(self, exchange: transport.ServerExchange) -> None:
        """Answers one request."""
        body = await exchange.read_body(MAX_PART_BYTES)
        if isinstance(body, results.Failure):
            await _key_service.send_peer_failure(exchange, body)
            return
        response = await self._execute(exchange.head, body)
        if isinstance(response, results.Failure):
            await _key_service.send_peer_failure(exchange, response)
            return
        await exchange.send_whole(200, [], response)

    async def drop_idle_uploads(self) -> None:
        """Discards uploads that have been idle for `UPLOAD_IDLE_TIMEOUT_S`."""
        limit_s = trio.current_time() - UPLOAD_IDLE_TIMEOUT_S
        for upload_id in list(self._uploads):
            if self._uploads[upload_id].last_active_s < limit_s:
                await self._uploads.pop(upload_id).upload.give_up()

    async def _execute(
        self, head: transport.RequestHead, body: bytes
    ) -> bytes | results.Failure:
        """Executes one operation."""
        path = head.path.removeprefix(_job_client.JOBS_PREFIX)
        job, _, operation = path.partition('/')
        if operation == 'open':
            return await self._open(job, body)
        if operation in ('items', 'finish', 'give-up'):
            return await self._continue_upload(operation, head, body)
        shard = await _stream_owner_client.wait_for_shard(
            self._owner_client, self._owner_client.find_stream(job)
        )
        if isinstance(shard, results.Failure):
            return shard
        return await _job_client.execute_job_operation(
            shard.batch, job, operation, head.query
        )

    async def _open(self, job: str, body: bytes) -> bytes | results.Failure:
        """Starts an upload and returns its identifier."""
        request = _job_messages.decode_job_request(body)
        if isinstance(request, results.Failure):
            return request
        shard = await _stream_owner_client.wait_for_shard(
            self._owner_client, self._owner_client.find_stream(job)
        )
        if isinstance(shard, results.Failure):
            return shard
        upload = shard.batch.open_upload(request)
        if isinstance(upload, results.Failure):
            return upload
        upload_id = uuid.uuid4().hex
        self._uploads[upload_id] = _OpenUpload(
            _job_client.LocalUpload(shard.batch, upload)
        )
        return orjson.dumps({'upload': upload_id})

    async def _continue_upload(
        self, operation: str, head: transport.RequestHead, body: bytes
    ) -> bytes | results.Failure:
        """Adds items to an upload, or finishes or discards it."""
        upload_id = head.query.get('upload', '')
        opened = self._uploads.get(upload_id)
        if opened is None:
            return results.Failure(
                results.ResultCode.OWNERSHIP_LOST,
                'the upload is unknown to this entry',
                retry_after_ms=1000,
            )
        opened.last_active_s = trio.current_time()
        if operation == 'items':
            for line in body.split(b'\n'):
                failure = await opened.upload.add(line)
                if failure is not None:
                    return failure
            return b'{}'
        del self._uploads[upload_id]
        if operation == 'finish':
            return await opened.upload.finish()
        await opened.upload.give_up()
        return b'{}'
