"""Requests that an entry sends to a sidecar's `/run`."""

import base64
from collections.abc import Sequence

import orjson

from siskinmount import configuration
from siskinmount.entry import _model_request


class RunRequest:
    """A request to run at an upstream of a model or plain service.

    Attributes:
        request_id: Identifier of the request at sidecars and in logs.
        service: The service that runs it.
        request_class: Online or batch.
        affinity_key: Requests with the same key prefer the same upstream;
            None for no preference.
        fingerprint: Hash of service and content.
        deadline_s: Monotonic time by which the response must be complete.
        idempotent: Whether the request may be repeated when its outcome is
            unknown.
        caller: Name of the caller.
        first_token: Index of the first token that the caller still needs.
        answer_so_far: Texts of the tokens before `first_token`, if the caller
            sent them.
        answer_version: Software version that wrote these, as the caller names
            it; empty if it names none.
    """

    __slots__ = (
        'request_id',
        'service',
        'request_class',
        'affinity_key',
        'fingerprint',
        'deadline_s',
        'idempotent',
        'caller',
        'first_token',
        'answer_so_far',
        'answer_version',
        '_model',
        '_plain',
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: configuration.Service,
        request_class: configuration.RequestClass,
        affinity_key: str | None,
        fingerprint: str,
        deadline_s: float,
        idempotent: bool,
        caller: str,
        first_token: int = 0,
        answer_so_far: Sequence[str] = (),
        answer_version: str = '',
        model: '_model_request.ModelRequest | None' = None,
        plain: 'PlainRequest | None' = None,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.request_class = request_class
        self.affinity_key = affinity_key
        self.fingerprint = fingerprint
        self.deadline_s = deadline_s
        self.idempotent = idempotent
        self.caller = caller
        self.first_token = first_token
        self.answer_so_far = answer_so_far
        self.answer_version = answer_version
        self._model = model
        self._plain = plain

    def encode_body(
        self, resume_tokens: list[str], resume_version: str
    ) -> bytes:
        """Returns the body for `/run`.

        Args:
            resume_tokens: Texts of the tokens generated so far.
            resume_version: Software version that wrote them.
        """
        if self._plain is not None:
            return self._plain.encode()
        if self._model is None:
            raise ValueError('run request has neither model nor plain content')
        return self._model.encode_run_body(resume_tokens, resume_version)


class PlainRequest:
    """A request for a plain service.

    Attributes:
        method: Upper-case method.
        target: Path and query as sent to the plain service.
        headers: Pairs of name and value.
        body: The body.
    """

    __slots__ = ('method', 'target', 'headers', 'body')

    def __init__(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def encode(self) -> bytes:
        """Returns the JSON form for `/run`."""
        return orjson.dumps(
            {
                'method': self.method,
                'target': self.target,
                'headers': self.headers,
                'body': base64.b64encode(self.body).decode('ascii'),
            }
        )
