"""The value that a function returns instead of a result when it fails."""

from siskinmount.results import _result_code
from siskinmount.results import _run_state


class Failure:
    """Describes why an operation has no result.

    Functions whose failures the calling code must handle return `T | Failure`;
    exceptions are reserved for programming errors.

    Attributes:
        code: The numbered result code.
        reason: One sentence for people, without secrets.
        run_state: Whether the request concerned was executed.
        retry_after_ms: Milliseconds until a retry makes sense; None if a retry
            never does.
    """

    __slots__ = ('code', 'reason', 'run_state', 'retry_after_ms')

    def __init__(
        self,
        code: _result_code.ResultCode,
        reason: str,
        run_state: _run_state.RunState = _run_state.RunState.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        self.code = code
        self.reason = reason
        self.run_state = run_state
        self.retry_after_ms = retry_after_ms

    def __repr__(self) -> str:
        return (
            f'Failure({self.code.name}, {self.reason!r},'
            f' {self.run_state.value}, {self.retry_after_ms})'
        )
