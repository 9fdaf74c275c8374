"""Converts the lines of a submitted batch job into bodies for `/run`."""

import re
import urllib.parse

import orjson

from siskinmount import configuration
from siskinmount import results
from siskinmount.entry import _model_request
from siskinmount.entry import _plain_calls
from siskinmount.entry import _run_request

_METHOD_PATTERN = re.compile(r'[A-Z]{1,32}')
_PATH_PATTERN = re.compile(r'/[\x21-\x7e]*')


def parse_item_line(
    document: configuration.ServiceDocument,
    service: configuration.Service,
    line: bytes,
    line_number: int,
) -> bytes | results.Failure:
    """Returns the `/run` body of one item.

    Args:
        document: The active configuration document.
        service: The job's service.
        line: One JSON object. For a model service it has the fields of a
            completion or a chat completion; for a plain service `method`,
            `path` and `body`.
        line_number: Number of the line, from 1, for error messages.
    """
    if service.kind is configuration.ServiceKind.MODEL:
        body = _parse_model_item(document, service, line)
    else:
        body = _parse_plain_item(document, service, line)
    if isinstance(body, results.Failure):
        return results.Failure(
            results.ResultCode.ITEM_INVALID,
            f'line {line_number}: {body.reason}',
        )
    return body


def _parse_model_item(
    document: configuration.ServiceDocument,
    service: configuration.Service,
    line: bytes,
) -> bytes | results.Failure:
    """Returns the `/run` body of a model item."""
    fields = _parse_object(line)
    if isinstance(fields, results.Failure):
        return fields
    fields['model'] = service.name
    request = _model_request.parse_model_fields(
        document, fields, 'messages' in fields
    )
    if isinstance(request, results.Failure):
        return request
    return request.encode_run_body([], '')


def _parse_plain_item(
    document: configuration.ServiceDocument,
    service: configuration.Service,
    line: bytes,
) -> bytes | results.Failure:
    """Returns the `/run` body of a plain item that a route allows."""
    fields = _parse_object(line)
    if isinstance(fields, results.Failure):
        return fields
    method = fields.get('method', 'POST')
    path = fields.get('path')
    if not isinstance(method, str) or not isinstance(path, str):
        return _invalid('method and path must be strings')
    method = method.upper()
    if not _METHOD_PATTERN.fullmatch(method) or method == 'CONNECT':
        return _invalid('method must be 1 to 32 letters and not CONNECT')
    if not _PATH_PATTERN.fullmatch(path):
        return _invalid('path must start with a slash and be percent-encoded')
    route = _plain_calls.find_allowed_route(
        document, method, urllib.parse.unquote(path.partition('?')[0])
    )
    if isinstance(route, results.Failure):
        return route
    if route.service != service.name:
        return _invalid(f'{path} belongs to service {route.service}')
    content = fields.get('body', '')
    try:
        data = (
            content.encode('utf-8')
            if isinstance(content, str)
            else orjson.dumps(content)
        )
    except orjson.JSONEncodeError as error:
        return _invalid(f'body: {error}')
    return _run_request.PlainRequest(
        method, path, [('content-type', 'application/json')], data
    ).encode()


def _parse_object(line: bytes) -> dict | results.Failure:
    """Parses a line as a JSON object."""
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        return _invalid(f'invalid JSON: {error}')
    if not isinstance(fields, dict):
        return _invalid('not a JSON object')
    return fields


def _invalid(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.ITEM_INVALID, reason)
