"""Encoding of job records in the log.

Keys: `job/ID` for an acceptance, `result/ID/POSITION` for a result, and
`end/ID` for the end of a job by its caller. A value that exceeds the record
size is split into parts. Parts after the first have keys with the suffix `#N`
and precede the first part in the log: once the first part is in the log, the
value is complete for every reader.
"""

import base64
import enum

import orjson

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs import _job

_JOB = 'job'
_RESULT = 'result'
_END = 'end'


class RecordKind(enum.Enum):
    """Kind of a job record."""

    JOB = _JOB
    RESULT = _RESULT
    END = _END


class RecordKey:
    """A parsed record key.

    Attributes:
        kind: Kind of the record.
        job_id: Id of the job.
        position: Position of a result; -1 for other records.
        part: Index of the part of the value; 0 for the first.
    """

    __slots__ = ('kind', 'job_id', 'position', 'part')

    def __init__(
        self, kind: RecordKind, job_id: str, position: int = -1, part: int = 0
    ) -> None:
        self.kind = kind
        self.job_id = job_id
        self.position = position
        self.part = part

    def encode(self) -> str:
        """Returns the key as it stands in the log."""
        text = f'{self.kind.value}/{self.job_id}'
        if self.kind is RecordKind.RESULT:
            text += f'/{self.position}'
        if self.part:
            text += f'#{self.part}'
        return text


def parse_key(text: str) -> RecordKey | None:
    """Parses a key; returns None if it is not the key of a job record."""
    head, _, part_text = text.partition('#')
    segments = head.split('/')
    if part_text and not part_text.isdigit():
        return None
    part = int(part_text) if part_text else 0
    if len(segments) == 2 and segments[0] in (_JOB, _END):
        return RecordKey(RecordKind(segments[0]), segments[1], part=part)
    if len(segments) == 3 and segments[0] == _RESULT and segments[2].isdigit():
        return RecordKey(RecordKind.RESULT, segments[1], int(segments[2]), part)
    return None


def encode_value(
    key: RecordKey, value: bytes, max_record_bytes: int
) -> list[keyed_log.KeyedRecord]:
    """Splits a value into records; the first part comes last."""
    max_part_bytes = max_record_bytes - 512
    chunks = [
        value[start : start + max_part_bytes]
        for start in range(0, len(value), max_part_bytes)
    ] or [b'']
    records: list[keyed_log.KeyedRecord] = []
    for part in range(1, len(chunks)):
        part_key = RecordKey(key.kind, key.job_id, key.position, part)
        records.append(keyed_log.KeyedRecord(part_key.encode(), chunks[part]))
    first = b'%d\n' % len(chunks) + chunks[0]
    records.append(keyed_log.KeyedRecord(key.encode(), first))
    return records


def split_first_part(value: bytes) -> tuple[int, bytes] | None:
    """Returns the number of parts and the first part; None if invalid."""
    count_text, separator, first = value.partition(b'\n')
    if not separator or not count_text.isdigit():
        return None
    return int(count_text), first


def encode_job(job: _job.Job) -> bytes:
    """Encodes a job with its items as they were submitted."""
    fields: dict[str, object] = {
        'route': job.route_name,
        'host': job.host,
        'accepted_at_ms': job.accepted_at_ms,
        'items': [
            {
                'id': item.item_id,
                'path': item.path,
                'headers': item.headers,
                'body': base64.b64encode(item.body).decode('ascii'),
                'tokens': item.token_count,
            }
            for item in job.items
        ],
    }
    if job.customer:
        fields['customer'] = job.customer
    return orjson.dumps(fields)


def decode_job(job_id: str, value: bytes) -> _job.Job | results.Failure:
    """Decodes a job, or fails with `LOG_RECORD_INVALID`."""
    try:
        fields = orjson.loads(value)
        return _job.Job(
            job_id=job_id,
            route_name=str(fields['route']),
            host=str(fields['host']),
            accepted_at_ms=int(fields['accepted_at_ms']),
            items=[
                _job.JobItem(
                    str(row['id']),
                    str(row['path']),
                    [(str(name), str(text)) for name, text in row['headers']],
                    base64.b64decode(row['body']),
                    int(row['tokens']),
                )
                for row in fields['items']
            ],
            # Records of earlier releases have none.
            customer=str(fields.get('customer', '')),
        )
    except results.DECODING_ERRORS as error:
        return _invalid(f'job: {error!r}')


def encode_result(result: _job.ItemResult) -> bytes:
    """Encodes the result of an item."""
    return orjson.dumps(
        {
            'item': result.item_id,
            'state': result.state.value,
            'output': result.output,
        }
    )


def decode_result(value: bytes) -> _job.ItemResult | results.Failure:
    """Decodes a result, or fails with `LOG_RECORD_INVALID`."""
    try:
        fields = orjson.loads(value)
        return _job.ItemResult(
            str(fields['item']),
            _job.ItemState(fields['state']),
            str(fields['output']),
        )
    except results.DECODING_ERRORS as error:
        return _invalid(f'result: {error!r}')


def _invalid(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.LOG_RECORD_INVALID, reason)
