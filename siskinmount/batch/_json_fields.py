"""Typed access to fields of decoded JSON objects."""

from typing import Any

import orjson

from siskinmount import results

#: The sum of two such integers fits a uint64 field of a record.
MAX_INTEGER = 2**63 - 1


class InvalidFieldError(Exception):
    """A field is missing or has the wrong type; not raised to callers."""


def decode_object(data: bytes) -> dict[str, Any]:
    """Decodes a JSON object; raises `InvalidFieldError` for anything else."""
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise InvalidFieldError(f'not JSON: {error}') from error
    return as_object(document, 'body')


def as_object(value: object, name: str) -> dict[str, Any]:
    """Returns the value if it is an object, else raises."""
    if not isinstance(value, dict):
        raise InvalidFieldError(f'{name} is not an object')
    return value


def as_list(value: object, name: str) -> list[Any]:
    """Returns the value if it is a list, else raises."""
    if not isinstance(value, list):
        raise InvalidFieldError(f'{name} is not a list')
    return value


def read_string(document: dict[str, Any], name: str) -> str:
    """Returns a string field; raises if it is missing or of another type."""
    value = document.get(name)
    if not isinstance(value, str):
        raise InvalidFieldError(f'{name} is not a string')
    return value


def read_integer(document: dict[str, Any], name: str, default: int = -1) -> int:
    """Returns an integer field from 0 to `MAX_INTEGER`, else raises.

    Args:
        document: The object.
        name: Name of the field.
        default: Value of a missing field; the default of -1 makes the field
            required.
    """
    value = document.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise InvalidFieldError(f'{name} is not an integer')
    if not 0 <= value <= MAX_INTEGER:
        raise InvalidFieldError(f'{name} is out of range')
    return value


def malformed_request(error: InvalidFieldError) -> results.Failure:
    """Returns the failure for a message with an invalid field."""
    return results.Failure(results.ResultCode.MALFORMED_REQUEST, str(error))
