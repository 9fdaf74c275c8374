"""Encoding of messages about batch jobs between entries."""

import orjson

from siskinmount import batch
from siskinmount import results

MAX_TIME_MS = 2**53
MAX_ATTEMPTS = 1000


class EncodedResultsPage:
    """One page of results, encoded for a caller.

    Attributes:
        lines: The results as JSON lines.
        next_after: Value of `after` for the next page.
        has_more: Whether results of further items are available.
        job_state: The state of the job.
    """

    __slots__ = ('lines', 'next_after', 'has_more', 'job_state')

    def __init__(
        self, lines: bytes, next_after: int, has_more: bool, job_state: str
    ) -> None:
        self.lines = lines
        self.next_after = next_after
        self.has_more = has_more
        self.job_state = job_state


def encode_results_page(page: batch.ResultsPage) -> bytes:
    """Returns a page as one JSON line of metadata followed by the results."""
    head = orjson.dumps(
        {
            'next_after': page.next_after,
            'has_more': page.has_more,
            'state': page.state.value,
        }
    )
    return head + b'\n' + page.to_json_lines()


def decode_results_page(data: bytes) -> EncodedResultsPage | results.Failure:
    """Parses the output of `encode_results_page`."""
    head_line, _, lines = data.partition(b'\n')
    try:
        head = orjson.loads(head_line)
        return EncodedResultsPage(
            lines,
            int(head['next_after']),
            bool(head['has_more']),
            str(head['state']),
        )
    except (ValueError, KeyError, TypeError) as error:
        return results.Failure(
            results.ResultCode.INTERNAL, f'invalid results page: {error}'
        )


def encode_job_request(request: batch.JobRequest) -> bytes:
    """Returns a job request as JSON."""
    return orjson.dumps(
        {name: getattr(request, name) for name in request.__slots__}
    )


def decode_job_request(data: bytes) -> batch.JobRequest | results.Failure:
    """Parses a job request."""
    try:
        fields = orjson.loads(data)
        request = batch.JobRequest(
            job=str(fields['job']),
            caller=str(fields['caller']),
            service=str(fields['service']),
            due_at_ms=int(fields['due_at_ms']),
            idempotent=bool(fields['idempotent']),
            max_attempts=int(fields['max_attempts']),
            result_retention_ms=int(fields['result_retention_ms']),
        )
        _check_number(request.due_at_ms, MAX_TIME_MS)
        _check_number(request.max_attempts, MAX_ATTEMPTS)
        _check_number(request.result_retention_ms, MAX_TIME_MS)
        return request
    except (ValueError, KeyError, TypeError) as error:
        return results.Failure(
            results.ResultCode.MALFORMED_REQUEST,
            f'invalid job request: {error}',
        )


def _check_number(value: int, maximum: int) -> None:
    """Checks that a number fits its field in log records.

    Raises:
        ValueError: The number is negative or above the maximum.
    """
    if not 0 <= value <= maximum:
        raise ValueError(f'{value} is not between 0 and {maximum}')
