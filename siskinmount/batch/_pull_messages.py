"""Messages with which a sidecar pulls batch items."""

from typing import Any

import orjson

from siskinmount import results
from siskinmount.batch import _json_fields


class PullRequest:
    """Requests items of one service.

    Attributes:
        vm: The sidecar's VM.
        incarnation: The sidecar's incarnation.
        service: Name of the service.
        credit: Maximum number of items to return.
        wait_ms: How long to wait if no item is ready.
    """

    __slots__ = ('vm', 'incarnation', 'service', 'credit', 'wait_ms')

    def __init__(
        self,
        vm: str,
        incarnation: int,
        service: str,
        credit: int,
        wait_ms: int = 0,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.service = service
        self.credit = credit
        self.wait_ms = wait_ms

    def to_json(self) -> bytes:
        """Encodes the message."""
        return orjson.dumps(
            {
                'vm': self.vm,
                'incarnation': self.incarnation,
                'service': self.service,
                'credit': self.credit,
                'wait_ms': self.wait_ms,
            }
        )


def decode_pull_request(data: bytes) -> PullRequest | results.Failure:
    """Decodes a pull request."""
    try:
        document = _json_fields.decode_object(data)
        return PullRequest(
            _json_fields.read_string(document, 'vm'),
            _json_fields.read_integer(document, 'incarnation'),
            _json_fields.read_string(document, 'service'),
            _json_fields.read_integer(document, 'credit'),
            _json_fields.read_integer(document, 'wait_ms', 0),
        )
    except _json_fields.InvalidFieldError as error:
        return _json_fields.malformed_request(error)


class PulledItem:
    """An item that is leased to a sidecar.

    Attributes:
        job: Identifier of the job.
        index: Position of the item in the job, from 0.
        attempt: Number of this attempt, from 1.
        lease: Identifier of the lease.
        lease_ms: How long the lease lasts without renewal.
        idempotent: Whether the item may run more than once.
        fingerprint: Digest of the service and the item's content.
        body: Request body for `/run`.
        solo: Whether no other request may run at the same time.
    """

    __slots__ = (
        'job',
        'index',
        'attempt',
        'lease',
        'lease_ms',
        'idempotent',
        'fingerprint',
        'body',
        'solo',
    )

    def __init__(
        self,
        *,
        job: str,
        index: int,
        attempt: int,
        lease: str,
        lease_ms: int,
        idempotent: bool,
        fingerprint: str,
        body: dict[str, Any],
        solo: bool = False,
    ) -> None:
        self.job = job
        self.index = index
        self.attempt = attempt
        self.lease = lease
        self.lease_ms = lease_ms
        self.idempotent = idempotent
        self.fingerprint = fingerprint
        self.body = body
        self.solo = solo


class PullReply:
    """Items leased to a sidecar.

    Attributes:
        items: The items, in the order of the fair scheduler.
    """

    __slots__ = ('items',)

    def __init__(self, items: list[PulledItem]) -> None:
        self.items = items

    def to_json(self) -> bytes:
        """Encodes the message."""
        return orjson.dumps(
            {
                'items': [
                    {name: getattr(item, name) for name in PulledItem.__slots__}
                    for item in self.items
                ]
            }
        )


def decode_pull_reply(data: bytes) -> PullReply | results.Failure:
    """Decodes a reply to a pull request."""
    try:
        document = _json_fields.decode_object(data)
        items = _json_fields.as_list(document.get('items'), 'items')
        return PullReply([_decode_item(item) for item in items])
    except _json_fields.InvalidFieldError as error:
        return _json_fields.malformed_request(error)


def _decode_item(value: object) -> PulledItem:
    document = _json_fields.as_object(value, 'item')
    return PulledItem(
        job=_json_fields.read_string(document, 'job'),
        index=_json_fields.read_integer(document, 'index'),
        attempt=_json_fields.read_integer(document, 'attempt'),
        lease=_json_fields.read_string(document, 'lease'),
        lease_ms=_json_fields.read_integer(document, 'lease_ms'),
        idempotent=document.get('idempotent') is True,
        fingerprint=_json_fields.read_string(document, 'fingerprint'),
        body=_json_fields.as_object(document.get('body'), 'body'),
        solo=document.get('solo') is True,
    )
