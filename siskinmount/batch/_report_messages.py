"""Messages with which a sidecar reports on items and renews their leases."""

import enum
from typing import Any

import orjson

from siskinmount import results
from siskinmount.batch import _json_fields


class ReportedOutcome(enum.Enum):
    """How an attempt at an item ended."""

    DONE = 'done'
    FAILED = 'failed'

    #: Not started, or stopped with partial output; not counted as an attempt.
    YIELDED = 'yielded'

    #: The item may or may not have run.
    UNKNOWN = 'unknown'


class ItemReport:
    """Outcome of one attempt at an item.

    Attributes:
        job: Identifier of the job.
        index: Position of the item in the job.
        lease: Identifier of the lease under which the item ran.
        outcome: Outcome of the attempt.
        output: The output; partial for a yielded item.
        code: Result code of a failure, else 0.
        reason: Reason of a failure.
        wasted_tokens: Number of tokens that were generated and discarded.
        fingerprint: The item's fingerprint if an upstream crashed while
            running it or if the item ran alone; else empty.
        upstream_generation: Generation of the upstream process that crashed
            while running the item; 0 if none did.
        was_alone: Whether that process ran no other request at the time.
    """

    __slots__ = (
        'job',
        'index',
        'lease',
        'outcome',
        'output',
        'code',
        'reason',
        'wasted_tokens',
        'fingerprint',
        'upstream_generation',
        'was_alone',
    )

    def __init__(
        self,
        job: str,
        index: int,
        lease: str,
        outcome: ReportedOutcome,
        output: dict[str, Any] | None = None,
        code: int = 0,
        reason: str = '',
        wasted_tokens: int = 0,
        fingerprint: str = '',
        upstream_generation: int = 0,
        was_alone: bool = False,
    ) -> None:
        self.job = job
        self.index = index
        self.lease = lease
        self.outcome = outcome
        self.output = output
        self.code = code
        self.reason = reason
        self.wasted_tokens = wasted_tokens
        self.fingerprint = fingerprint
        self.upstream_generation = upstream_generation
        self.was_alone = was_alone


class ReportRequest:
    """Reports on items that a sidecar has held.

    Attributes:
        vm: The sidecar's VM.
        incarnation: The sidecar's incarnation.
        reports: One report per attempt.
    """

    __slots__ = ('vm', 'incarnation', 'reports')

    def __init__(
        self, vm: str, incarnation: int, reports: list[ItemReport]
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.reports = reports

    def to_json(self) -> bytes:
        """Encodes the message."""
        return orjson.dumps(
            {
                'vm': self.vm,
                'incarnation': self.incarnation,
                'reports': [
                    {
                        'job': report.job,
                        'index': report.index,
                        'lease': report.lease,
                        'outcome': report.outcome.value,
                        'output': report.output,
                        'code': report.code,
                        'reason': report.reason,
                        'wasted_tokens': report.wasted_tokens,
                        'fingerprint': report.fingerprint,
                        'upstream_generation': report.upstream_generation,
                        'was_alone': report.was_alone,
                    }
                    for report in self.reports
                ],
            }
        )


def decode_report_request(data: bytes) -> ReportRequest | results.Failure:
    """Decodes a report request."""
    try:
        document = _json_fields.decode_object(data)
        reports = _json_fields.as_list(document.get('reports'), 'reports')
        return ReportRequest(
            _json_fields.read_string(document, 'vm'),
            _json_fields.read_integer(document, 'incarnation'),
            [_decode_report(report) for report in reports],
        )
    except _json_fields.InvalidFieldError as error:
        return _json_fields.malformed_request(error)


def _decode_report(value: object) -> ItemReport:
    document = _json_fields.as_object(value, 'report')
    try:
        outcome = ReportedOutcome(document.get('outcome'))
    except ValueError as error:
        raise _json_fields.InvalidFieldError('outcome is unknown') from error
    output = document.get('output')
    if output is not None:
        output = _json_fields.as_object(output, 'output')
    return ItemReport(
        _json_fields.read_string(document, 'job'),
        _json_fields.read_integer(document, 'index'),
        _json_fields.read_string(document, 'lease'),
        outcome,
        output,
        _json_fields.read_integer(document, 'code', 0),
        str(document.get('reason') or ''),
        _json_fields.read_integer(document, 'wasted_tokens', 0),
        str(document.get('fingerprint') or ''),
        _json_fields.read_integer(document, 'upstream_generation', 0),
        document.get('was_alone') is True,
    )


class ItemName:
    """Identifies one item.

    Attributes:
        job: Identifier of the job.
        index: Position of the item in the job.
    """

    __slots__ = ('job', 'index')

    def __init__(self, job: str, index: int) -> None:
        self.job = job
        self.index = index


class ReportReply:
    """Reply to reports on items.

    Attributes:
        accepted: Whether each report is settled, that is recorded or
            obsolete. A report that is not settled must be sent again.
        cancelled: Items of jobs that are cancelled or unknown.
    """

    __slots__ = ('accepted', 'cancelled')

    def __init__(self, accepted: list[bool], cancelled: list[ItemName]) -> None:
        self.accepted = accepted
        self.cancelled = cancelled

    def to_json(self) -> bytes:
        """Encodes the message."""
        return orjson.dumps(
            {
                'accepted': self.accepted,
                'cancelled': _encode_names(self.cancelled),
            }
        )


def decode_report_reply(data: bytes) -> ReportReply | results.Failure:
    """Decodes a reply to a report request."""
    try:
        document = _json_fields.decode_object(data)
        accepted = _json_fields.as_list(document.get('accepted'), 'accepted')
        return ReportReply(
            [value is True for value in accepted],
            _decode_names(document, 'cancelled'),
        )
    except _json_fields.InvalidFieldError as error:
        return _json_fields.malformed_request(error)


class LeaseName:
    """Identifies one lease.

    Attributes:
        job: Identifier of the job.
        index: Position of the item in the job.
        lease: Identifier of the lease.
    """

    __slots__ = ('job', 'index', 'lease')

    def __init__(self, job: str, index: int, lease: str) -> None:
        self.job = job
        self.index = index
        self.lease = lease


class RenewRequest:
    """Request to extend the leases that a sidecar holds.

    Attributes:
        vm: The sidecar's VM.
        incarnation: The sidecar's incarnation.
        leases: The leases.
    """

    __slots__ = ('vm', 'incarnation', 'leases')

    def __init__(
        self, vm: str, incarnation: int, leases: list[LeaseName]
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.leases = leases

    def to_json(self) -> bytes:
        """Encodes the message."""
        return orjson.dumps(
            {
                'vm': self.vm,
                'incarnation': self.incarnation,
                'leases': [
                    [lease.job, lease.index, lease.lease]
                    for lease in self.leases
                ],
            }
        )


def decode_renew_request(data: bytes) -> RenewRequest | results.Failure:
    """Decodes a renew request."""
    try:
        document = _json_fields.decode_object(data)
        leases = _json_fields.as_list(document.get('leases'), 'leases')
        return RenewRequest(
            _json_fields.read_string(document, 'vm'),
            _json_fields.read_integer(document, 'incarnation'),
            [_decode_lease(lease) for lease in leases],
        )
    except _json_fields.InvalidFieldError as error:
        return _json_fields.malformed_request(error)


def _decode_lease(value: object) -> LeaseName:
    parts = _json_fields.as_list(value, 'lease')
    match parts:
        case [str(job), int(index), str(lease)] if index >= 0:
            return LeaseName(job, index, lease)
    raise _json_fields.InvalidFieldError('a lease is not [job, index, lease]')


class RenewReply:
    """Reply to a renewal.

    Attributes:
        cancelled: Items that the sidecar must stop.
        unconfirmed: Items whose owner could not be reached, or was paused and
            has not read the log since; their leases are not renewed, and the
            sidecar need not stop them.
    """

    __slots__ = ('cancelled', 'unconfirmed')

    def __init__(
        self, cancelled: list[ItemName], unconfirmed: list[ItemName]
    ) -> None:
        self.cancelled = cancelled
        self.unconfirmed = unconfirmed

    def to_json(self) -> bytes:
        """Encodes the message."""
        return orjson.dumps(
            {
                'cancelled': _encode_names(self.cancelled),
                'unconfirmed': _encode_names(self.unconfirmed),
            }
        )


def decode_renew_reply(data: bytes) -> RenewReply | results.Failure:
    """Decodes a reply to a renew request."""
    try:
        document = _json_fields.decode_object(data)
        return RenewReply(
            _decode_names(document, 'cancelled'),
            _decode_names(document, 'unconfirmed'),
        )
    except _json_fields.InvalidFieldError as error:
        return _json_fields.malformed_request(error)


def _encode_names(names: list[ItemName]) -> list[list[str | int]]:
    return [[name.job, name.index] for name in names]


def _decode_names(document: dict[str, Any], field: str) -> list[ItemName]:
    names = []
    for value in _json_fields.as_list(document.get(field), field):
        match value:
            case [str(job), int(index)]:
                names.append(ItemName(job, index))
            case _:
                raise _json_fields.InvalidFieldError(
                    'an item is not [job, index]'
                )
    return names
