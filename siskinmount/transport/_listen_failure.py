"""Converts listen errors of a daemon to a failure."""

from collections.abc import Awaitable
from collections.abc import Callable

from siskinmount import results


async def run_listening(
    run: Callable[[], Awaitable[None]],
) -> results.Failure | None:
    """Runs a daemon and reports listen errors as a failure.

    Args:
        run: Runs the daemon until it ends.

    Returns:
        None once the daemon has ended, or a failure if an address cannot be
        listened on.
    """
    try:
        await run()
    except ExceptionGroup as group:
        failure = _find_listen_failure(group)
        if failure is None:
            raise
        return failure
    return None


def _find_listen_failure(group: ExceptionGroup) -> results.Failure | None:
    """Returns a failure if all errors are listen errors, or else None."""
    listen_errors, others = group.split(OSError)
    if others is not None or listen_errors is None:
        return None
    reasons = [str(error) for error in _list_errors(listen_errors)]
    return results.Failure(
        results.ResultCode.SETTINGS_INVALID,
        f'an address cannot be listened on: {"; ".join(reasons)}',
    )


def _list_errors(group: ExceptionGroup) -> list[Exception]:
    """Returns the errors of a group and of all nested groups."""
    errors: list[Exception] = []
    for error in group.exceptions:
        if isinstance(error, ExceptionGroup):
            errors.extend(_list_errors(error))
            continue
        errors.append(error)
    return errors
