"""Reads typed fields of JSON objects that other writers have made."""

import math
from typing import Any


class FieldError(Exception):
    """Says which field is missing or of another type."""


def read_text(fields: dict[str, Any], name: str) -> str:
    """Returns a text that is not empty."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f'{name} is not a text')
    return value


def read_number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a number that is not negative."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(f'{name} is not a number')
    if not 0 <= value < math.inf:
        raise FieldError(f'{name} is negative or has no end')
    return value


def read_whole_number(
    fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns a number, cut to a whole one."""
    return int(read_number(fields, name, default))


def read_objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns a list of objects."""
    value = fields.get(name)
    if not isinstance(value, list):
        raise FieldError(f'{name} is not a list')
    for item in value:
        if not isinstance(item, dict):
            raise FieldError(f'{name} has an entry that is no object')
    return value
