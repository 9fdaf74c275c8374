"""Reads typed fields of JSON objects from external sources."""

import math
from typing import Any

#: Longest name of a service, zone, version or upstream.
MAX_NAME_LENGTH = 256


class FieldError(Exception):
    """A field is missing or has an invalid value; the message names it."""


def read_string(fields: dict[str, Any], name: str) -> str:
    """Returns a non-empty string."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f'{name} is missing or not a non-empty string')
    return value


def read_number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a finite, non-negative number."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(f'{name} is missing or not a number')
    if not 0 <= value < math.inf:
        raise FieldError(f'{name} is negative or not finite')
    return value


def read_integer(
    fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns a finite, non-negative number, truncated to an integer."""
    return int(read_number(fields, name, default))


def read_whole(
    fields: dict[str, Any],
    name: str,
    max_value: int,
    default: int | None = None,
) -> int:
    """Returns a whole, non-negative number up to a bound."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError(f'{name} is missing or not a whole number')
    if not 0 <= value <= max_value:
        raise FieldError(f'{name} is not between 0 and {max_value}')
    return value


def read_name(fields: dict[str, Any], name: str) -> str:
    """Returns a printable string that is not empty and not too long."""
    value = read_string(fields, name)
    if len(value) > MAX_NAME_LENGTH or not value.isprintable():
        raise FieldError(f'{name} is too long or not printable')
    return value


def read_objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns a list of objects."""
    value = fields.get(name)
    if not isinstance(value, list):
        raise FieldError(f'{name} is missing or not a list')
    for item in value:
        if not isinstance(item, dict):
            raise FieldError(f'{name} contains an entry that is not an object')
    return value
