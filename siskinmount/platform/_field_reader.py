"""Reads typed fields of JSON objects from external sources."""

import math
from typing import Any


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


def read_objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns a list of objects."""
    value = fields.get(name)
    if not isinstance(value, list):
        raise FieldError(f'{name} is missing or not a list')
    for item in value:
        if not isinstance(item, dict):
            raise FieldError(f'{name} contains an entry that is not an object')
    return value
