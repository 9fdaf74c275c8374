"""Requests, answers and batch calls in the formats of the platform."""

import base64
import binascii
from typing import Any
import urllib.parse

import orjson

from siskinmount import customers
from siskinmount import fleet
from siskinmount import gateway
from siskinmount import jobs
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.platform import _field_reader

_REQUEST_ID = b'x-request-id'
_DEADLINE = b'x-deadline-ms'
#: Id of the only engine that may run the request.
_EXPECTED_UPSTREAM = b'x-expect-instance'
_LAST_EVENT_ID = b'last-event-id'
#: Id of the caller's attempt that brought the first event of the stream that
#: the request resumes.
_RESUMES = b'resumes'
#: Parts of the prompt as a list of ID:TOKENS; the last part is unique to the
#: request, the others are shared with other requests.
_PROMPT_PARTS = b'x-prompt-prefix'
#: Model that the parts are tokens of.
_MODEL = b'x-model'
_WAIT = b'x-wait-ms'
#: Key of a customer. It is never passed on.
_KEY = b'x-key'
#: Name of the customer, for the engine.
_CUSTOMER = b'x-tenant'
#: Present if the engine guarantees that it did not run the request.
_NOT_RUN = b'x-not-run'
#: `1` in all answers of an engine that leaves.
_LEAVING = b'server-leaving'
#: Seal of an engine; each success has one.
_SEAL = b'x-server-seal'
#: Requests a second that an engine in need takes from all VMs together.
_LIMIT = b'server-limit'
#: Names of the headers that say whose a request is.
_CUSTOMER_NAMES = frozenset({_KEY.decode(), _CUSTOMER.decode()})
_STATUS_MISDIRECTED = 421

#: Path prefix of calls on jobs. The platform calls a job a lot.
_JOB_PREFIX = '/siskinmount/lots/'
_ITEM_PREFIX = '/siskinmount/items/'

_STATES = {
    jobs.ItemState.DONE: 'completed',
    jobs.ItemState.GIVEN_UP: 'dead_letter',
}
_MAX_ID_LENGTH = 128
#: Bounds what a gateway keeps and logs of one prompt.
_MAX_NAMED_PARTS = 16
#: Limit of the platform for the items of one job.
MAX_ITEMS = 200
#: Limit of the platform for the size of one answer with results.
MAX_RESULTS_BYTES = 1_000_000

#: Hop-by-hop headers, and those that the HTTP client sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
        b'host',
    }
)


class PlatformWire:
    """Implements `gateway.Wire`."""

    __slots__ = ()

    def read_caller_request(
        self, head: transport.RequestHead
    ) -> gateway.CallerRequest:
        """Returns the fields of the headers; invalid values are left out."""
        prompt_parts = head.find_header(_PROMPT_PARTS) or ''
        part_ids = _read_shared_part_ids(prompt_parts)
        model = head.find_header(_MODEL) or ''
        return gateway.CallerRequest(
            head.find_header(_REQUEST_ID) or '',
            _parse_number(head.find_header(_DEADLINE)),
            _parse_number(head.find_header(_LAST_EVENT_ID)),
            ','.join(part_ids),
            _parse_number(head.find_header(_WAIT)) or 0,
            _name_parts(model, part_ids),
            _read_resumed_id(head.find_header(_RESUMES) or ''),
            prompt_parts,
        )

    def read_key(self, head: transport.RequestHead) -> str | customers.KeyFault:
        """Returns the key in the only `X-Key` header, or why there is none."""
        return customers.read_key(
            [value for name, value in head.headers if name == _KEY]
        )

    def find_job_call(
        self, head: transport.RequestHead
    ) -> gateway.JobCall | results.Failure | None:
        """Returns the call on a job, or None if the request is none.

        Fails with `METHOD_NOT_ALLOWED` or `INVALID_FIELD`.
        """
        path = head.target.partition('?')[0]
        if path.startswith(_ITEM_PREFIX) and head.method == 'GET':
            return gateway.JobCall(
                gateway.JobCallKind.READ_ITEM,
                _read_id(path, _ITEM_PREFIX),
                item_id=head.query.get('id', ''),
            )
        if not path.startswith(_JOB_PREFIX):
            return None
        job_id = _read_id(path, _JOB_PREFIX)
        if head.method == 'DELETE':
            return gateway.JobCall(gateway.JobCallKind.END, job_id)
        if head.method != 'GET':
            return results.Failure(
                results.ResultCode.METHOD_NOT_ALLOWED,
                'calls on a job allow GET and DELETE',
            )
        after = _parse_number(head.query.get('after', '0'))
        if after is None:
            return results.Failure(
                results.ResultCode.INVALID_FIELD, 'after is not a number'
            )
        return gateway.JobCall(gateway.JobCallKind.READ_RESULTS, job_id, after)

    def decode_job(
        self,
        job_id: str,
        route: fleet.FleetRoute,
        body: bytes,
        accepted_at_ms: int,
        customer: str | None,
    ) -> jobs.Job | results.Failure:
        """Decodes a submitted job, or fails with `ITEM_INVALID`."""
        try:
            if not job_id or len(job_id) > _MAX_ID_LENGTH or '/' in job_id:
                raise _field_reader.FieldError(
                    'the id of the job is missing or invalid'
                )
            fields = orjson.loads(body)
            if not isinstance(fields, dict):
                raise _field_reader.FieldError('the body is not an object')
            rows = _field_reader.read_objects(fields, 'items')
            if not rows or len(rows) > MAX_ITEMS:
                raise _field_reader.FieldError(
                    'the job has no items or too many'
                )
            items = [_decode_item(row, customer is not None) for row in rows]
            if len({item.item_id for item in items}) != len(items):
                raise _field_reader.FieldError('item ids are not unique')
            for item in items:
                self._check_request(item, route)
        except (_field_reader.FieldError, ValueError) as error:
            return results.Failure(
                results.ResultCode.ITEM_INVALID, f'job: {error}'
            )
        return jobs.Job(
            job_id=job_id,
            route_name=route.name,
            host=route.host,
            accepted_at_ms=accepted_at_ms,
            items=items,
            customer=customer or '',
        )

    def _check_request(
        self, item: jobs.JobItem, route: fleet.FleetRoute
    ) -> None:
        """Raises `FieldError` if no request can be made of an item."""
        fault = transport.find_request_fault(
            transport.ClientRequest(
                'POST',
                item.path,
                self.build_item_headers(item, '', None, None),
                b'',
                route.host.encode('latin-1'),
            )
        )
        if fault is not None:
            raise _field_reader.FieldError(f'the request of an item: {fault}')

    def encode_results(self, job: jobs.Job, after: int) -> bytes:
        """Encodes a page of the results from a position on.

        The page holds at least one result if there is any; its size is bounded
        by `MAX_RESULTS_BYTES`.
        """
        rows: list[dict[str, str]] = []
        size_bytes = 0
        for result in job.results[after:]:
            size_bytes += len(result.output.encode('utf-8')) + 256
            if rows and size_bytes > MAX_RESULTS_BYTES:
                break
            rows.append(
                {
                    'id': result.item_id,
                    'state': _STATES[result.state],
                    'output': result.output,
                }
            )
        return orjson.dumps(
            {
                'total_count': len(job.items),
                'results': rows,
                'next': after + len(rows),
            }
        )

    def build_upstream_headers(
        self,
        caller_headers: transport.Headers,
        upstream_id: str,
        remaining_ms: int,
        last_event_id: int | None,
        customer: str | None,
    ) -> transport.Headers:
        """Returns the caller's headers for a request to an upstream.

        Hop-by-hop headers are dropped; deadline, expected upstream, last event
        id and, if the document defines customers, key and customer are
        replaced.
        """
        replaced = {_DEADLINE, _EXPECTED_UPSTREAM, _LAST_EVENT_ID}
        if customer is not None:
            replaced |= {_KEY, _CUSTOMER}
        headers: transport.Headers = []
        for name, value in _drop_hop_by_hop_headers(caller_headers):
            if name not in replaced:
                headers.append((name, value))
        headers.append((_DEADLINE, b'%d' % remaining_ms))
        headers.append((_EXPECTED_UPSTREAM, upstream_id.encode('latin-1')))
        if last_event_id is not None:
            headers.append((_LAST_EVENT_ID, b'%d' % last_event_id))
        if customer:
            headers.append((_CUSTOMER, customer.encode('utf-8')))
        return headers

    def build_item_headers(
        self,
        item: jobs.JobItem,
        upstream_id: str,
        last_event_id: int | None,
        customer: str | None,
    ) -> transport.Headers:
        """Returns the headers for a run of an item at an upstream.

        Hop-by-hop headers are dropped; request id, expected upstream, last
        event id and, unless `customer` is None, key and customer are replaced.
        """
        own = {_REQUEST_ID, _EXPECTED_UPSTREAM, _LAST_EVENT_ID}
        if customer is not None:
            own |= {_KEY, _CUSTOMER}
        given: transport.Headers = []
        for name, value in item.headers:
            given.append(
                (name.lower().encode('latin-1'), value.encode('latin-1'))
            )
        headers: transport.Headers = []
        for raw_name, raw_value in _drop_hop_by_hop_headers(given):
            if raw_name not in own:
                headers.append((raw_name, raw_value))
        headers.append((_REQUEST_ID, item.item_id.encode('latin-1')))
        headers.append((_EXPECTED_UPSTREAM, upstream_id.encode('latin-1')))
        if last_event_id is not None:
            headers.append((_LAST_EVENT_ID, b'%d' % last_event_id))
        if customer:
            headers.append((_CUSTOMER, customer.encode('utf-8')))
        return headers

    def classify_answer(
        self, status: int, headers: transport.Headers, request_id: str
    ) -> gateway.AnswerKind:
        """Classifies an answer by its status and headers."""
        echoed = transport.find_header(headers, _REQUEST_ID)
        if echoed is not None and echoed != request_id:
            return gateway.AnswerKind.FOREIGN
        if status == _STATUS_MISDIRECTED:
            return gateway.AnswerKind.OTHER_PROCESS
        if transport.find_header(headers, _NOT_RUN) is not None:
            return gateway.AnswerKind.NOT_RUN
        if echoed is None and request_id:
            # Each engine echoes the id, so this is none.
            return gateway.AnswerKind.FOREIGN
        return gateway.AnswerKind.OWN

    def announces_departure(
        self, status: int, headers: transport.Headers, request_id: str
    ) -> bool:
        """Returns whether the engine itself says that it leaves."""
        if transport.find_header(headers, _LEAVING) != '1':
            return False
        if transport.find_header(headers, _REQUEST_ID) != request_id:
            return False
        if status == _STATUS_MISDIRECTED:
            return False
        is_sealed = transport.find_header(headers, _SEAL) is not None
        return is_sealed or not 200 <= status < 300

    def read_rate_limit(
        self, headers: transport.Headers
    ) -> float | results.Failure | None:
        """Returns the engine's limit, or fails with `INVALID_FIELD`."""
        return placement.parse_rates(
            {value for name, value in headers if name == _LIMIT}
        )

    def build_answer_headers(
        self, headers: transport.Headers
    ) -> transport.Headers:
        """Returns the headers of an engine's answer for the caller."""
        return _drop_hop_by_hop_headers(headers)

    def build_retry_headers(
        self, failure: results.Failure
    ) -> transport.Headers:
        """Returns the `retry-after` header, in seconds with fractions."""
        if failure.retry_after_ms is None:
            return []
        return [(b'retry-after', b'%.3f' % (failure.retry_after_ms / 1000))]


def _decode_item(row: dict[str, Any], must_drop_customer: bool) -> jobs.JobItem:
    """Decodes an item of a job.

    Args:
        row: The encoded item.
        must_drop_customer: Whether the item's own key and customer are dropped,
            so that the record of the job holds no key.
    """
    headers = row.get('headers') or {}
    if not isinstance(headers, dict):
        raise _field_reader.FieldError('headers is not an object')
    pairs: list[tuple[str, str]] = []
    for name, value in headers.items():
        if not isinstance(value, str):
            raise _field_reader.FieldError(
                'the value of a header is not a string'
            )
        if must_drop_customer and name.lower() in _CUSTOMER_NAMES:
            continue
        pairs.append((name, value))
    body = row.get('body') or ''
    try:
        decoded = base64.b64decode(body)
    except (binascii.Error, ValueError, TypeError) as error:
        raise _field_reader.FieldError('the body is not base64') from error
    return jobs.JobItem(
        _field_reader.read_string(row, 'id'),
        _field_reader.read_string(row, 'path'),
        pairs,
        decoded,
        _field_reader.read_integer(row, 'token_count', 0),
    )


def _drop_hop_by_hop_headers(headers: transport.Headers) -> transport.Headers:
    """Returns the headers that are forwarded to the next hop."""
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name == b'connection':
            for word in value.split(b','):
                dropped.add(word.strip().lower())
    kept: transport.Headers = []
    for name, value in headers:
        if name not in dropped:
            kept.append((name, value))
    return kept


def _read_shared_part_ids(text: str) -> list[str]:
    """Returns the ids of the shared parts of a prompt, in order."""
    parts = [part.partition(':')[0].strip() for part in text.split(',')]
    return parts[:-1]


def _name_parts(model: str, part_ids: list[str]) -> tuple[str, ...]:
    """Returns names of the parts of a prompt, each once."""
    names: dict[str, None] = {}
    for part_id in part_ids:
        if len(names) >= _MAX_NAMED_PARTS:
            break
        name = f'{part_id}@{model}'
        if part_id and name.isascii() and len(name) <= _MAX_ID_LENGTH:
            names[name] = None
    return tuple(names)


def _read_resumed_id(text: str) -> str:
    """Returns the id of a request, or an empty text if it is unsound."""
    text = text.strip()
    is_sound = text.isascii() and text.isprintable() and ' ' not in text
    return text if is_sound and len(text) <= _MAX_ID_LENGTH else ''


def _read_id(path: str, prefix: str) -> str:
    return urllib.parse.unquote(path[len(prefix) :])


def _parse_number(text: str | None) -> int | None:
    """Parses a non-negative decimal integer; returns None if invalid."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return int(text[:15])


def create_wire() -> PlatformWire:
    """Creates a `PlatformWire`."""
    return PlatformWire()
