"""Derives request identifiers, so that a resend finds the original request."""

from collections.abc import Sequence
import hashlib
import uuid

from siskinmount import configuration
from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _model_request

_ID_HEX_CHARACTERS = 32
_MAX_EVENT_ID_DIGITS = 9


class RequestIdentity:
    """Identifier, idempotency key and resume position of a request.

    Attributes:
        request_id: Identifier of the request; equal for resends with the same
            key and content.
        key: The caller's idempotency key, or None.
        first_token: Index of the first token that the caller still needs.
    """

    __slots__ = ('request_id', 'key', 'first_token')

    def __init__(
        self, request_id: str, key: str | None, first_token: int
    ) -> None:
        self.request_id = request_id
        self.key = key
        self.first_token = first_token


def read_request_identity(
    caller: configuration.CallerPolicy,
    head: transport.RequestHead,
    fingerprint: str,
    answer_so_far: Sequence[str] = (),
) -> RequestIdentity | results.Failure:
    """Reads `Idempotency-Key` and `Last-Event-ID`.

    Args:
        caller: The caller; keys of different callers never collide.
        head: The request's headers.
        fingerprint: Hash of service and content. The identifier includes it,
            so that reusing a key for other content never returns the response
            to the first request.
        answer_so_far: Tokens that the caller has; the last one is that of the
            event given in `Last-Event-ID`.
    """
    key = _model_request.check_idempotency_key(
        head.find_header(b'idempotency-key')
    )
    if isinstance(key, results.Failure):
        return key
    last_event_id = head.find_header(b'last-event-id')
    if key is None:
        if last_event_id is not None or answer_so_far:
            return _invalid('resuming a response needs an Idempotency-Key')
        return RequestIdentity(uuid.uuid4().hex, None, 0)
    first_token = 0
    if last_event_id is not None:
        is_number = last_event_id.isascii() and last_event_id.isdigit()
        if not is_number or len(last_event_id) > _MAX_EVENT_ID_DIGITS:
            return _invalid('Last-Event-ID must be the id of a received event')
        first_token = int(last_event_id) + 1
    if answer_so_far and len(answer_so_far) != first_token:
        return _invalid('answer_so_far must end at the event Last-Event-ID')
    text = f'{caller.name}\0{key}\0{fingerprint}'
    digest = hashlib.sha256(text.encode('utf-8')).hexdigest()
    return RequestIdentity(digest[:_ID_HEX_CHARACTERS], key, first_token)


def _invalid(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.INVALID_FIELD, reason)
