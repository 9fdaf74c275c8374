"""Maps failures to HTTP responses for callers."""

from siskinmount import results
from siskinmount import transport

_STATUS_BY_CODE = {
    results.ResultCode.MALFORMED_REQUEST: 400,
    results.ResultCode.BODY_TOO_LARGE: 413,
    results.ResultCode.HEADERS_TOO_LARGE: 431,
    results.ResultCode.REQUEST_TIMEOUT: 408,
    results.ResultCode.UNAUTHENTICATED: 401,
    results.ResultCode.FORBIDDEN: 403,
    results.ResultCode.NO_SUCH_ROUTE: 404,
    results.ResultCode.NO_SUCH_SERVICE: 404,
    results.ResultCode.INVALID_FIELD: 400,
    results.ResultCode.IDEMPOTENCY_KEY_REUSED: 422,
    results.ResultCode.METHOD_NOT_ALLOWED: 405,
    results.ResultCode.CALLER_OVER_LIMIT: 429,
    results.ResultCode.UPSTREAM_LOST: 502,
    results.ResultCode.UPSTREAM_ERROR: 502,
    results.ResultCode.UPSTREAM_SILENT: 504,
    results.ResultCode.DEADLINE_EXCEEDED: 504,
    results.ResultCode.REQUEST_CONVICTED: 422,
    results.ResultCode.OUTCOME_UNKNOWN: 409,
    results.ResultCode.NO_SUCH_REQUEST: 404,
    results.ResultCode.REQUEST_IN_PROGRESS: 409,
    results.ResultCode.NO_SUCH_JOB: 404,
    results.ResultCode.JOB_CANCELLED: 409,
    results.ResultCode.JOB_TOO_LARGE: 413,
    results.ResultCode.ITEM_INVALID: 400,
    results.ResultCode.BACKLOG_FULL: 429,
    results.ResultCode.INTERNAL: 500,
}

#: Codes missing from the table are about capacity or the platform itself.
_DEFAULT_STATUS = 503


class ErrorBody:
    """The body of an error response from this system, not from an upstream.

    Attributes:
        failure: The failure.
        request_id: Identifier of the request in logs.
    """

    __slots__ = ('failure', 'request_id')

    def __init__(self, failure: results.Failure, request_id: str) -> None:
        self.failure = failure
        self.request_id = request_id

    def to_json(self) -> dict[str, object]:
        """Returns the JSON form described in docs/CALLERS.md."""
        return {
            'error': {
                'code': int(self.failure.code),
                'name': self.failure.code.name,
                'reason': self.failure.reason,
                'run_state': self.failure.run_state.value,
                'retry_after_ms': self.failure.retry_after_ms,
                'request_id': self.request_id,
            }
        }


def find_status(code: results.ResultCode) -> int:
    """Returns the HTTP status for a result code."""
    return _STATUS_BY_CODE.get(code, _DEFAULT_STATUS)


async def send_failure(
    exchange: transport.ServerExchange,
    failure: results.Failure,
    request_id: str = '',
) -> None:
    """Sends an error response; the response must not have started yet."""
    body = ErrorBody(failure, request_id)
    await exchange.send_json(
        find_status(failure.code),
        body.to_json(),
        transport.retry_headers(failure),
    )
