"""Run-time checks of the sidecar's invariants."""

import logging

from siskinmount import results

_LOGGER = logging.getLogger(__name__)


class InvariantError(Exception):
    """Raised when an invariant of the program is violated."""


def require(holds: bool, name: str, **details: object) -> None:
    """Logs and raises if an invariant does not hold.

    Args:
        holds: Whether the invariant holds.
        name: Name of the invariant.
        **details: Values for debugging, written to the log.

    Raises:
        InvariantError: The invariant does not hold.
    """
    if holds:
        return
    _LOGGER.error(
        'invariant_broken',
        extra={
            'code': int(results.ResultCode.INVARIANT_BROKEN),
            'invariant': name,
            'details': details,
        },
    )
    raise InvariantError(name)
