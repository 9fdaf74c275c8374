"""Brings the items of a new job into the log, chunk by chunk."""

import uuid

import xxhash

from siskinmount import results
from siskinmount.batch import _job
from siskinmount.batch import _job_messages
from siskinmount.batch import _owner_state
from siskinmount.state import records_pb2


def create_job_id(caller: str, key: str | None) -> str:
    """Returns a job's identifier: the same for the same caller and key."""
    if key is None:
        return uuid.uuid4().hex
    return xxhash.xxh3_128_hexdigest(f'{caller}\n{key}'.encode())


class JobUpload:
    """Takes the items of one submission, however many.

    The job is accepted by `finish` alone: without it, what was added is
    nothing. A submission of a job that exists is compared with it.
    """

    __slots__ = (
        '_state',
        '_request',
        '_upload',
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
        self._upload = uuid.uuid4().hex
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
            body: JSON object in the form of a request body of `/run`.

        Returns:
            A failure if the submission has failed; nothing will run then.
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
        if self._existing() is not None:
            return None
        self._chunk.append(body)
        self._chunk_bytes += len(body)
        if self._chunk_bytes < limits.chunk_bytes:
            return None
        return await self._write_chunk()

    async def finish(self) -> _job.Job | results.Failure:
        """Submits the job.

        Returns:
            The accepted job, or the one that a submission with the same key
            created before. A failure has run state `UNKNOWN` if the job may
            yet turn out to be accepted.
        """
        if self._existing() is None and self._item_count == 0:
            return results.Failure(
                results.ResultCode.ITEM_INVALID, 'the job has no items'
            )
        if self._existing() is None and self._chunk:
            failure = await self._write_chunk()
            if failure is not None:
                return failure
        if self._existing() is not None:
            return self._compare()
        committed = await self._state.stream.commit(self._submitted_record())
        if isinstance(committed, results.Failure):
            return committed
        self._state.on_ready()
        return self._compare()

    def give_up(self) -> None:
        """Forgets the submission."""
        self._state.table.drop_upload(self._request.job, self._upload)

    def _existing(self) -> _job.Job | None:
        return self._state.table.jobs.get(self._request.job)

    def _compare(self) -> _job.Job | results.Failure:
        """Returns the job of that name if it has the same content."""
        job = self._existing()
        if job is None:
            return results.Failure(
                results.ResultCode.INTERNAL, 'the job was not accepted'
            )
        if job.submitted.fingerprint != self._digest.hexdigest():
            return results.Failure(
                results.ResultCode.IDEMPOTENCY_KEY_REUSED,
                'the idempotency key was used for another job',
            )
        return job

    async def _write_chunk(self) -> results.Failure | None:
        """Commits the items that have been gathered."""
        record = records_pb2.Record(
            item_texts=records_pb2.ItemTexts(
                job=self._request.job,
                upload=self._upload,
                first_index=self._written_count,
                texts=self._chunk,
            )
        )
        self._written_count += len(self._chunk)
        self._chunk = []
        self._chunk_bytes = 0
        committed = await self._state.stream.commit(record)
        if isinstance(committed, results.Failure):
            # Without the record that submits the job, nothing of it runs.
            committed.run_state = results.RunState.NOT_RUN
            return committed
        return None

    def _submitted_record(self) -> records_pb2.Record:
        request = self._request
        return records_pb2.Record(
            job_submitted=records_pb2.JobSubmitted(
                job=request.job,
                upload=self._upload,
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
