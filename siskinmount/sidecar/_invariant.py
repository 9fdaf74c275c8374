"""Checks of what must always hold inside the sidecar."""

import logging

from siskinmount import results

_LOGGER = logging.getLogger(__name__)


class InvariantError(Exception):
    """Raised when the program contradicts itself."""


def require(holds: bool, name: str, **details: object) -> None:
    """Logs and raises if an invariant does not hold.

    Args:
        holds: Whether the invariant holds.
        name: Name of the invariant.
        **details: Values that help to find the fault.

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
