"""Encodes operations on jobs and their outcomes for another member."""

import base64
from collections.abc import Sequence
from typing import Any

import orjson
import trio

from siskinmount import results
from siskinmount.jobs import _job_records
from siskinmount.jobs import _operations

_ACCEPT = 'accept'
_RESULT = 'result'
_END = 'end'
_DROP = 'drop'

Outcome = _operations.WriteOutcome | results.Failure


def encode_operations(operations: Sequence[_operations.Operation]) -> bytes:
    """Encodes operations; their deadlines as the time that is left."""
    return orjson.dumps([_encode_operation(row) for row in operations])


def decode_operations(
    data: bytes,
) -> list[_operations.Operation] | results.Failure:
    """Decodes operations, or fails with `MALFORMED_REQUEST`."""
    try:
        return [_decode_operation(row) for row in orjson.loads(data)]
    except results.DECODING_ERRORS as error:
        return _malformed(repr(error))


def encode_outcomes(outcomes: Sequence[Outcome | None]) -> bytes:
    """Encodes outcomes; None for an operation that is not finished."""
    rows: list[dict[str, object] | None] = []
    for outcome in outcomes:
        if isinstance(outcome, results.Failure):
            rows.append(
                {
                    'code': int(outcome.code),
                    'reason': outcome.reason,
                    'run_state': outcome.run_state.value,
                    'retry_after_ms': outcome.retry_after_ms,
                }
            )
        elif outcome is None:
            rows.append(None)
        else:
            rows.append({'outcome': outcome.value})
    return orjson.dumps(rows)


def decode_outcomes(
    data: bytes, count: int
) -> list[Outcome | None] | results.Failure:
    """Decodes outcomes, or fails with `MALFORMED_REQUEST`.

    Args:
        data: The encoded outcomes.
        count: Number of operations.
    """
    try:
        rows = orjson.loads(data)
        outcomes = [_decode_outcome(row) for row in rows]
    except results.DECODING_ERRORS as error:
        return _malformed(repr(error))
    if len(outcomes) != count:
        return _malformed(f'{count} outcomes expected, got {len(outcomes)}')
    return outcomes


def _encode_operation(operation: _operations.Operation) -> dict[str, object]:
    fields: dict[str, object] = {
        'job': operation.job_id,
        'may_have_been_written': operation.may_have_been_written,
    }
    if isinstance(operation, _operations.AcceptJob):
        fields['kind'] = _ACCEPT
        fields['value'] = _encode_bytes(_job_records.encode_job(operation.job))
        fields['max_waiting_tokens'] = operation.max_waiting_tokens
        fields['max_record_bytes'] = operation.max_record_bytes
        fields['left_s'] = operation.deadline_s - trio.current_time()
    elif isinstance(operation, _operations.AppendResult):
        fields['kind'] = _RESULT
        fields['value'] = _encode_bytes(
            _job_records.encode_result(operation.result)
        )
        fields['max_record_bytes'] = operation.max_record_bytes
    elif isinstance(operation, _operations.EndJob):
        fields['kind'] = _END
        fields['left_s'] = operation.deadline_s - trio.current_time()
    else:
        fields['kind'] = _DROP
    return fields


def _decode_operation(fields: dict[str, Any]) -> _operations.Operation:
    """Decodes an operation.

    Raises:
        ValueError: A value is invalid.
        TypeError, KeyError, AttributeError: A field is missing or of another
            type.
    """
    kind = fields['kind']
    job_id = str(fields['job'])
    operation: _operations.Operation
    if kind == _ACCEPT:
        job = _job_records.decode_job(job_id, _decode_bytes(fields['value']))
        if isinstance(job, results.Failure):
            raise ValueError(job.reason)
        operation = _operations.AcceptJob(
            job,
            int(fields['max_waiting_tokens']),
            int(fields['max_record_bytes']),
            trio.current_time() + float(fields['left_s']),
        )
    elif kind == _RESULT:
        result = _job_records.decode_result(_decode_bytes(fields['value']))
        if isinstance(result, results.Failure):
            raise ValueError(result.reason)
        operation = _operations.AppendResult(
            job_id, result, int(fields['max_record_bytes'])
        )
    elif kind == _END:
        operation = _operations.EndJob(
            job_id, trio.current_time() + float(fields['left_s'])
        )
    elif kind == _DROP:
        operation = _operations.DropJob(job_id)
    else:
        raise ValueError(f'unknown kind {kind!r}')
    operation.may_have_been_written = fields['may_have_been_written'] is True
    return operation


def _decode_outcome(row: dict[str, Any] | None) -> Outcome | None:
    """Decodes an outcome; raises as `_decode_operation` does."""
    if row is None:
        return None
    if 'outcome' in row:
        return _operations.WriteOutcome(row['outcome'])
    retry_after_ms = row['retry_after_ms']
    return results.Failure(
        results.ResultCode(row['code']),
        str(row['reason']),
        results.RunState(row['run_state']),
        None if retry_after_ms is None else int(retry_after_ms),
    )


def _encode_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode('ascii')


def _decode_bytes(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _malformed(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.MALFORMED_REQUEST, f'operations: {reason}'
    )
