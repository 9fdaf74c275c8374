"""Reads fields of decoded JSON, with faults as values."""

from typing import Any

import orjson

from siskinmount import results

#: The sum of two numbers still fits in a record.
MAX_NUMBER = 2**63 - 1


class FieldFaultError(Exception):
    """A field is missing or has another type; caught within this package."""


def decode_object(data: bytes) -> dict[str, Any]:
    """Decodes a JSON object."""
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise FieldFaultError(f'not JSON: {error}') from error
    return as_object(document, 'body')


def as_object(value: object, name: str) -> dict[str, Any]:
    """Returns a value that must be an object."""
    if not isinstance(value, dict):
        raise FieldFaultError(f'{name} is not an object')
    return value


def as_list(value: object, name: str) -> list[Any]:
    """Returns a value that must be a list."""
    if not isinstance(value, list):
        raise FieldFaultError(f'{name} is not a list')
    return value


def read_text(document: dict[str, Any], name: str) -> str:
    """Returns a field that must be a string."""
    value = document.get(name)
    if not isinstance(value, str):
        raise FieldFaultError(f'{name} is not a string')
    return value


def read_number(document: dict[str, Any], name: str, default: int = -1) -> int:
    """Returns a field that must be a whole number from 0 to `MAX_NUMBER`."""
    value = document.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise FieldFaultError(f'{name} is not a whole number')
    if not 0 <= value <= MAX_NUMBER:
        raise FieldFaultError(f'{name} is out of range')
    return value


def malformed(error: FieldFaultError) -> results.Failure:
    """Returns the failure for a message with a fault."""
    return results.Failure(results.ResultCode.MALFORMED_REQUEST, str(error))
