"""Parsed requests to run at the upstream."""

import base64
from collections.abc import Callable

import orjson

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount import transport

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 2**31 - 1


class ModelBody:
    """Body of a request to a model engine.

    Attributes:
        prompt: The prompt, or None if `messages` is given.
        messages: The conversation, or None if `prompt` is given.
        max_tokens: Maximum length of the answer, in tokens, including resumed
            ones.
        resume_tokens: Existing tokens of the answer, after which generation
            resumes.
        resume_version: Software version that wrote these tokens, which alone
            may go on with them; empty if it has none.
    """

    __slots__ = (
        'prompt',
        'messages',
        'max_tokens',
        'resume_tokens',
        'resume_version',
    )

    def __init__(
        self,
        *,
        prompt: str | None,
        messages: list[object] | None = None,
        max_tokens: int = DEFAULT_MAX_TOKENS,
        resume_tokens: list[str] | None = None,
        resume_version: str = '',
    ) -> None:
        self.prompt = prompt
        self.messages = messages
        self.max_tokens = max_tokens
        self.resume_tokens = resume_tokens or []
        self.resume_version = resume_version


class PlainBody:
    """Body of a request to a plain service.

    Attributes:
        method: Upper-case method.
        target: Path with query, percent-encoded.
        headers: Pairs of name and value.
        body: The body.
    """

    __slots__ = ('method', 'target', 'headers', 'body')

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b'',
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers or []
        self.body = body


class RunRequest:
    """A request with the properties that the sidecar needs to admit it.

    Attributes:
        request_id: Identifies the request.
        body: Request body to run.
        request_class: Online or batch.
        attempt: Number of this attempt, from 1.
        deadline_ms: Remaining time, in milliseconds, or None for no limit.
        fingerprint: Hash of service and content.
        solo: Whether the request must run alone at the upstream.
        at_most_once: Whether no part of the request may run twice.
        prompt_cached: Whether the engine has prefilled the prompt recently.
        may_start: Called immediately before the first byte is sent; the
            request is not run if it returns False.
    """

    __slots__ = (
        'request_id',
        'body',
        'request_class',
        'attempt',
        'deadline_ms',
        'fingerprint',
        'solo',
        'at_most_once',
        'prompt_cached',
        'may_start',
    )

    def __init__(
        self,
        *,
        request_id: str,
        body: ModelBody | PlainBody,
        request_class: configuration.RequestClass,
        attempt: int = 1,
        deadline_ms: int | None = None,
        fingerprint: str = '',
        solo: bool = False,
        at_most_once: bool = False,
        prompt_cached: bool = False,
        may_start: Callable[[], bool] = lambda: True,
    ) -> None:
        self.request_id = request_id
        self.body = body
        self.request_class = request_class
        self.attempt = attempt
        self.deadline_ms = deadline_ms
        self.fingerprint = fingerprint
        self.solo = solo
        self.at_most_once = at_most_once
        self.prompt_cached = prompt_cached
        self.may_start = may_start

    @property
    def is_online(self) -> bool:
        """Whether a caller waits for the answer."""
        return self.request_class is configuration.RequestClass.ONLINE


def parse_body(document: object) -> ModelBody | PlainBody | results.Failure:
    """Parses the JSON body of a request for a model or a plain service."""
    if not isinstance(document, dict):
        return _malformed('the body is not an object')
    try:
        if 'method' in document:
            return _parse_plain_body(document)
        return _parse_model_body(document)
    except (KeyError, TypeError, ValueError) as error:
        return _malformed(f'invalid body: {error!r}')


def parse_run_request(
    head: transport.RequestHead, data: bytes
) -> RunRequest | results.Failure:
    """Parses headers and body of a POST to `/run`."""
    request_id = head.find_header(relay.RelayHeader.REQUEST_ID)
    if not request_id:
        return _malformed('the request has no id')
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return _malformed(f'the body is not JSON: {error}')
    body = parse_body(document)
    if isinstance(body, results.Failure):
        return body
    deadline_text = head.find_header(relay.RelayHeader.DEADLINE_MS)
    class_text = head.find_header(relay.RelayHeader.CLASS) or 'online'
    try:
        return RunRequest(
            request_id=request_id,
            body=body,
            request_class=configuration.RequestClass(class_text),
            attempt=int(head.find_header(relay.RelayHeader.ATTEMPT) or 1),
            deadline_ms=int(deadline_text) if deadline_text else None,
            fingerprint=head.find_header(relay.RelayHeader.FINGERPRINT) or '',
            solo=head.find_header(relay.RelayHeader.SOLO) == '1',
        )
    except ValueError as error:
        return _malformed(f'invalid header: {error}')


def _parse_model_body(document: dict) -> ModelBody:
    """Builds a model body.

    Raises:
        KeyError, TypeError, ValueError: A field is missing or invalid.
    """
    prompt = document.get('prompt')
    messages = document.get('messages')
    if not isinstance(prompt, str) and not isinstance(messages, list):
        raise ValueError('neither prompt nor messages is given')
    max_tokens = int(document.get('max_tokens', DEFAULT_MAX_TOKENS))
    if not 0 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise ValueError('max_tokens is out of range')
    return ModelBody(
        prompt=prompt,
        messages=messages,
        max_tokens=max_tokens,
        resume_tokens=[str(text) for text in document.get('resume_tokens', ())],
        resume_version=str(document.get('resume_version', '')),
    )


def _parse_plain_body(document: dict) -> PlainBody:
    """Builds a plain body.

    Raises:
        KeyError, TypeError, ValueError: A field is missing or invalid.
    """
    return PlainBody(
        method=str(document['method']),
        target=str(document['target']),
        headers=[
            (str(name), str(value))
            for name, value in document.get('headers', ())
        ],
        body=base64.b64decode(document.get('body') or '', validate=True),
    )


def _malformed(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.MALFORMED_REQUEST, reason)
