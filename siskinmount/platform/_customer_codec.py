"""Decodes the customers in the document of the platform.

An invalid field of a customer never makes the document invalid: it leads to a
finding, and the rest stays in force.
"""

import json
import re
from typing import Any

import orjson

from siskinmount import customers
from siskinmount.platform import _field_reader

#: Name of the customers in the document.
FIELD = 'tenants'
#: Rates outside these bounds are mistakes: less than one request in eleven
#: days, or 160 times the rate of the largest fleet that is planned for.
_MIN_RATE_PER_S = 1e-6
_MAX_LIMIT = 1e6
_MAX_PRIORITY = 2**53 - 1
#: Deepest nesting that is decoded; sound documents have less than ten levels.
_MAX_DEPTH = 64
#: Strings and brackets, which decide the depth.
_NESTING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[][{}]', re.DOTALL)

_INVALID_LIMIT = (
    'not a number from {} to {}: the limit of the previous document applies,'
    ' if there was one'
)
_INVALID_RATE = _INVALID_LIMIT.format(_MIN_RATE_PER_S, _MAX_LIMIT)
_INVALID_BURST = _INVALID_LIMIT.format(0, _MAX_LIMIT)


def load_tolerantly(source: bytes) -> object:
    """Loads a document of which parts cannot be represented.

    Numbers without bound and lone surrogates are accepted within the customers,
    where they lead to findings; what is nested too deeply is null everywhere.

    Raises:
        ValueError: The document is invalid otherwise.
    """
    fields = json.loads(
        _cut_deep_values(source).decode('utf-8'),
        parse_int=_parse_integer,
        parse_constant=_refuse_constant,
    )
    if not isinstance(fields, dict):
        raise ValueError('the document is not an object')
    rows = fields.pop(FIELD, None)
    # Outside the customers, nothing is accepted that `orjson` refuses.
    checked = orjson.loads(json.dumps(fields, allow_nan=False))
    checked[FIELD] = rows
    return checked


def _parse_integer(text: str) -> int | float:
    """Returns a number; as a float where `orjson` does so, too."""
    if len(text) > 18:
        return float(text)
    return int(text)


def _refuse_constant(text: str) -> float:
    raise ValueError(f'{text} is no JSON value')


def _cut_deep_values(source: bytes) -> bytes:
    """Replaces objects and lists below `_MAX_DEPTH` by null."""
    kept: list[bytes] = []
    depth = 0
    kept_from = 0
    for match in _NESTING.finditer(source):
        mark = match[0]
        if mark in (b'[', b'{'):
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.append(source[kept_from : match.start()])
                kept.append(b'null')
        elif mark in (b']', b'}'):
            if depth == _MAX_DEPTH + 1:
                kept_from = match.end()
            depth -= 1
    if depth > _MAX_DEPTH:
        raise ValueError('the document is nested too deeply and not complete')
    kept.append(source[kept_from:])
    return b''.join(kept)


def decode_customers(rows: object) -> customers.CustomerTable | None:
    """Decodes the customers; returns None if the document defines none.

    If the field is no list, there are no customers: nobody is let in without
    a key because of a mistake in the document.
    """
    if rows is None:
        return None
    table = customers.create_customer_table()
    if not isinstance(rows, list):
        table.add_finding(
            0, '', FIELD, 'not a list: the document has no customers'
        )
        return table
    for position, row in enumerate(rows):
        _add_customer(table, position, row)
    return table


def _add_customer(
    table: customers.CustomerTable, position: int, row: Any
) -> None:
    """Adds one customer, or a finding that says why it is left out."""
    if not isinstance(row, dict):
        table.add_finding(
            position, '', FIELD, 'not an object: the customer is left out'
        )
        return
    name = row.get('name')
    if (
        not isinstance(name, str)
        or not 0 < len(name) <= _field_reader.MAX_NAME_LENGTH
        or not name.isprintable()
        or name != name.strip()
    ):
        table.add_finding(
            position,
            '',
            'name',
            'not a printable string of 1 to'
            f' {_field_reader.MAX_NAME_LENGTH} characters: the customer is left'
            ' out',
        )
        return
    priority = row.get('priority')
    if priority is not None and not _is_priority(priority):
        table.add_finding(
            position,
            name,
            'priority',
            'not a whole number from 0: the priority of the route applies',
        )
        priority = None
    rate_per_s = _read_limit(row, 'rate_per_s', _MIN_RATE_PER_S)
    burst = _read_limit(row, 'burst', 0)
    if rate_per_s is None:
        table.add_finding(position, name, 'rate_per_s', _INVALID_RATE)
    if burst is None:
        table.add_finding(position, name, 'burst', _INVALID_BURST)
    customer = customers.Customer(
        name,
        None if priority is None else int(priority),
        rate_per_s or 0.0,
        burst or 0.0,
    )
    is_new = name not in table.customers
    keys = row.get('api_keys')
    table.add(position, customer, _read_keys(table, position, name, keys))
    if is_new and (rate_per_s is None or burst is None):
        table.mark_limit_invalid(name)


def _read_keys(
    table: customers.CustomerTable, position: int, name: str, keys: object
) -> list[str]:
    """Returns the valid keys of a customer."""
    if keys is None:
        return []
    if not isinstance(keys, list):
        table.add_finding(
            position, name, 'api_keys', 'not a list: the customer has no keys'
        )
        return []
    valid: list[str] = []
    for key in keys:
        if not isinstance(key, str):
            reason = 'not a string'
        else:
            fault = customers.find_key_fault(key)
            if fault is None:
                valid.append(key)
                continue
            reason = fault.value
        table.add_finding(
            position, name, 'api_keys', f'a key is left out: {reason}'
        )
    return valid


def _is_priority(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return 0 <= value <= _MAX_PRIORITY and value == int(value)


def _read_limit(row: dict[str, Any], field: str, lowest: float) -> float | None:
    """Returns a rate or burst, 0 if it is missing, and None if it is invalid."""
    value = row.get(field)
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if value and not lowest <= value <= _MAX_LIMIT:
        return None
    return float(value)
