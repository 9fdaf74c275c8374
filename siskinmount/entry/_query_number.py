"""Parses integers in query parameters."""

from siskinmount import results

_MAX_DIGITS = 11


def read_query_number(
    query: dict[str, str], name: str, default: int, minimum: int, maximum: int
) -> int | results.Failure:
    """Returns an integer query parameter.

    Args:
        query: Query parameters.
        name: Name of the parameter.
        default: Value if the parameter is absent.
        minimum: Lower bound, inclusive.
        maximum: Upper bound, inclusive.
    """
    text = query.get(name)
    if text is None:
        return default
    digits = text.removeprefix('-')
    if digits.isascii() and digits.isdigit() and len(digits) <= _MAX_DIGITS:
        value = int(text)
        if minimum <= value <= maximum:
            return value
    return results.Failure(
        results.ResultCode.INVALID_FIELD,
        f'{name} must be an integer from {minimum} to {maximum}',
    )
