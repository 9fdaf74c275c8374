"""Encoding of messages about idempotency keys between entries."""

import base64
import enum

import orjson

from siskinmount import results
from siskinmount import state


class KeyOperation(enum.Enum):
    """Operation that the owner of a key's stream executes."""

    #: Record the intent to run a request.
    BEGIN = 'begin'

    #: Record the outcome of a request.
    FINISH = 'finish'

    #: Free the key of a request that was certainly not sent.
    ABANDON = 'abandon'


class KeyRequest:
    """One operation on one key.

    Attributes:
        operation: The operation.
        stream: The key's stream.
        caller: Name of the caller.
        key: The caller's idempotency key.
        attempt: Identifier of the run of the request, chosen by the sending
            entry so that the owner recognises a repeated operation.
        fingerprint: Hash of the request's content; for `BEGIN`.
        holder: The process that sends the request; for `BEGIN`.
        outcome: The response to record; for `FINISH`.
    """

    __slots__ = (
        'operation',
        'stream',
        'caller',
        'key',
        'attempt',
        'fingerprint',
        'holder',
        'outcome',
    )

    def __init__(
        self,
        *,
        operation: KeyOperation,
        stream: str,
        caller: str,
        key: str,
        attempt: str,
        fingerprint: str = '',
        holder: str = '',
        outcome: bytes = b'',
    ) -> None:
        self.operation = operation
        self.stream = stream
        self.caller = caller
        self.key = key
        self.attempt = attempt
        self.fingerprint = fingerprint
        self.holder = holder
        self.outcome = outcome


def create_abandon_request(begin: KeyRequest) -> KeyRequest:
    """Returns the request that withdraws the intent of a BEGIN request."""
    return KeyRequest(
        operation=KeyOperation.ABANDON,
        stream=begin.stream,
        caller=begin.caller,
        key=begin.key,
        attempt=begin.attempt,
    )


def encode_key_request(request: KeyRequest) -> bytes:
    """Returns a request as JSON."""
    return orjson.dumps(
        {
            'operation': request.operation.value,
            'stream': request.stream,
            'caller': request.caller,
            'key': request.key,
            'attempt': request.attempt,
            'fingerprint': request.fingerprint,
            'holder': request.holder,
            'outcome': base64.b64encode(request.outcome).decode('ascii'),
        }
    )


def decode_key_request(data: bytes) -> KeyRequest | results.Failure:
    """Parses the output of `encode_key_request`."""
    try:
        document = orjson.loads(data)
        return KeyRequest(
            operation=KeyOperation(document['operation']),
            stream=str(document['stream']),
            caller=str(document['caller']),
            key=str(document['key']),
            attempt=str(document['attempt']),
            fingerprint=str(document['fingerprint']),
            holder=str(document['holder']),
            outcome=base64.b64decode(document['outcome']),
        )
    except (ValueError, KeyError, TypeError) as error:
        return results.Failure(
            results.ResultCode.MALFORMED_REQUEST,
            f'invalid key request: {error}',
        )


def encode_begin_outcome(begin_outcome: state.BeginOutcome) -> bytes:
    """Returns the outcome of a BEGIN operation as JSON."""
    if isinstance(begin_outcome, state.Started):
        return orjson.dumps(
            {'begun': 'started', 'attempt': begin_outcome.attempt}
        )
    if isinstance(begin_outcome, state.KnownOutcome):
        outcome = base64.b64encode(begin_outcome.outcome).decode('ascii')
        return orjson.dumps({'begun': 'known', 'outcome': outcome})
    if isinstance(begin_outcome, state.InProgress):
        return orjson.dumps({'begun': 'in_progress'})
    return orjson.dumps({'begun': 'unknown'})


def decode_begin_outcome(data: bytes) -> state.BeginOutcome:
    """Parses the output of `encode_begin_outcome`."""
    try:
        document = orjson.loads(data)
        begin_outcome = document['begun']
        if begin_outcome == 'started':
            return state.Started(str(document['attempt']))
        if begin_outcome == 'known':
            return state.KnownOutcome(base64.b64decode(document['outcome']))
        if begin_outcome == 'in_progress':
            return state.InProgress()
        return state.UnknownOutcome()
    except (ValueError, KeyError, TypeError) as error:
        return results.Failure(
            results.ResultCode.INTERNAL, f'invalid key response: {error}'
        )
