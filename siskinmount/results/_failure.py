"""The value that a function returns in place of its result when it fails."""

from siskinmount.results import _result_code
from siskinmount.results import _run_state


class Failure:
    """Says why an operation has no result.

    Functions that can fail in ways a caller must handle return `T | Failure`;
    exceptions are kept for faults of the program.

    Attributes:
        code: The numbered result code.
        reason: One sentence for a person. Contains no secret.
        run_state: Whether the request concerned was executed.
        retry_after_ms: When trying again makes sense, in milliseconds from
            now, or None if it never does.
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
