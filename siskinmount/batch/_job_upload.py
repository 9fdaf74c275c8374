"""Upload of the items of a new job to the log in chunks."""

import uuid

import xxhash

from siskinmount import results
from siskinmount.batch import _job
from siskinmount.batch import _job_messages
from siskinmount.batch import _owner_state
from siskinmount.state import records_pb2


def create_job_id(caller: str, key: str | None) -> str:
    """Returns a job identifier, the same one for the same caller and key.

    Without a key the identifier is random.
    """
    if key is None:
        return uuid.uuid4().hex
    return xxhash.xxh3_128_hexdigest(f'{caller}\n{key}'.encode())


class JobUpload:
    """Upload of the items of one submission.

    The job is accepted only by `finish`; without it the added items have no
    effect. If the job exists already, the submission is compared with it.
    """

    __slots__ = (
        '_state',
        '_request',
        '_upload_id',
        '_digest',
        '_chunk',
        '_chunk_bytes',
        '_item_count',
        '_written_count',
    )

    def __init__(
        self,
        owner_state: _owner_state.OwnerState,
        request: _job_messages.JobRequest,
    ) -> None:
        self._state = owner_state
        self._request = request
        self._upload_id = uuid.uuid4().hex
        self._digest = xxhash.xxh3_128()
        self._digest.update(
            f'{request.service}\n{request.idempotent}\n'.encode()
        )
        self._chunk: list[bytes] = []
        self._chunk_bytes = 0
        self._item_count = 0
        self._written_count = 0

    async def add(self, body: bytes) -> results.Failure | None:
        """Adds the next item.

        Args:
            body: JSON object with the format of a request body of `/run`.

        Returns:
            A failure if the submission has failed; no item runs then.
        """
        limits = self._state.limits
        if not body or len(body) > limits.max_item_bytes:
            return results.Failure(
                results.ResultCode.ITEM_INVALID,
                f'item {self._item_count} is empty or larger than'
                f' {limits.max_item_bytes} bytes',
            )
        if self._item_count >= limits.max_items:
            return results.Failure(
                results.ResultCode.JOB_TOO_LARGE,
                f'a job has at most {limits.max_items} items',
            )
        self._digest.update(b'%d\n' % len(body))
        self._digest.update(body)
        self._item_count += 1
        if self._find_job() is not None:
            return None
        self._chunk.append(body)
        self._chunk_bytes += len(body)
        if self._chunk_bytes < limits.chunk_bytes:
            return None
        return await self._write_chunk()

    async def finish(self) -> _job.Job | results.Failure:
        """Submits the job.

        Returns:
            The accepted job, or the job of an earlier submission with the
            same key. A failure has run state `UNKNOWN` if the job may still be
            accepted later.
        """
        if self._find_job() is None and self._item_count == 0:
            return results.Failure(
                results.ResultCode.ITEM_INVALID, 'the job has no items'
            )
        if self._find_job() is None and self._chunk:
            failure = await self._write_chunk()
            if failure is not None:
                return failure
        if self._find_job() is not None:
            return self._match_existing()
        committed = await self._state.stream.commit(self._submitted_record())
        if isinstance(committed, results.Failure):
            return committed
        self._state.on_ready()
        return self._match_existing()

    def give_up(self) -> None:
        """Abandons the upload."""
        self._state.table.drop_upload(self._request.job, self._upload_id)

    def _find_job(self) -> _job.Job | None:
        return self._state.table.jobs.get(self._request.job)

    def _match_existing(self) -> _job.Job | results.Failure:
        """Returns the job with this identifier if its content is the same."""
        job = self._find_job()
        if job is None:
            return results.Failure(
                results.ResultCode.INTERNAL, 'the job was not accepted'
            )
        if job.submitted.fingerprint != self._digest.hexdigest():
            return results.Failure(
                results.ResultCode.IDEMPOTENCY_KEY_REUSED,
                'the idempotency key was used for a job with other content',
            )
        return job

    async def _write_chunk(self) -> results.Failure | None:
        """Commits the items buffered since the last chunk."""
        record = records_pb2.Record(
            item_texts=records_pb2.ItemTexts(
                job=self._request.job,
                upload=self._upload_id,
                first_index=self._written_count,
                texts=self._chunk,
            )
        )
        self._written_count += len(self._chunk)
        self._chunk = []
        self._chunk_bytes = 0
        committed = await self._state.stream.commit(record)
        if isinstance(committed, results.Failure):
            # No item runs without the record that submits the job.
            committed.run_state = results.RunState.NOT_RUN
            return committed
        return None

    def _submitted_record(self) -> records_pb2.Record:
        request = self._request
        return records_pb2.Record(
            job_submitted=records_pb2.JobSubmitted(
                job=request.job,
                upload=self._upload_id,
                caller=request.caller,
                service=request.service,
                fingerprint=self._digest.hexdigest(),
                item_count=self._item_count,
                submitted_at_ms=self._state.stream.now_ms(),
                due_at_ms=request.due_at_ms,
                idempotent=request.idempotent,
                max_attempts=request.max_attempts,
                result_retention_ms=request.result_retention_ms,
            )
        )
