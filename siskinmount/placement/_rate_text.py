"""Reads the request rate that an upstream names in a header."""

import re

from siskinmount import results

#: A decimal number, without sign, exponent or other digits than ASCII ones.
_RATE_PATTERN = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
_MAX_LOGGED_CHARACTERS = 40


def parse_rates(values: set[bytes]) -> float | results.Failure | None:
    """Returns the requests per second that the values of a header name.

    Args:
        values: The different values of the header in one response.

    Returns:
        None without a value; `INVALID_FIELD` if they are no decimal number, or
        more than one.
    """
    if not values:
        return None
    text = b', '.join(sorted(values)).decode('latin-1').strip()
    if _RATE_PATTERN.fullmatch(text) is None:
        return results.Failure(
            results.ResultCode.INVALID_FIELD,
            f'not a decimal number: {text[:_MAX_LOGGED_CHARACTERS]!r}',
        )
    return float(text)
