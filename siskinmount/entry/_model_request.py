"""Parses completion and chat completion requests."""

import re
from typing import Any

import orjson

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768
MAX_KEY_CHARACTERS = 200
_KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,200}')


class ModelRequest:
    """A validated request for generated tokens.

    Attributes:
        service: The service that runs it.
        is_chat: Whether the caller used the chat form.
        prompt: Text prompt, or None for a chat.
        messages: Chat messages, or None for a text prompt.
        max_tokens: Maximum length of the response in tokens.
        stream: Whether the caller wants server-sent events.
        session: Conversation identifier for affinity; empty if not given.
        model_name: The model name as given by the caller.
        answer_so_far: Texts of the response's tokens that the caller has
            already, sent when it resumes a response; empty otherwise.
        answer_version: Software version that wrote these, which the caller got
            as `system_fingerprint`; empty if there was none.
    """

    __slots__ = (
        'service',
        'is_chat',
        'prompt',
        'messages',
        'max_tokens',
        'stream',
        'session',
        'model_name',
        'answer_so_far',
        'answer_version',
    )

    def __init__(
        self,
        *,
        service: configuration.Service,
        is_chat: bool,
        prompt: str | None,
        messages: list[dict[str, str]] | None,
        max_tokens: int,
        stream: bool,
        session: str,
        model_name: str,
        answer_so_far: list[str],
        answer_version: str = '',
    ) -> None:
        self.service = service
        self.is_chat = is_chat
        self.prompt = prompt
        self.messages = messages
        self.max_tokens = max_tokens
        self.stream = stream
        self.session = session
        self.model_name = model_name
        self.answer_so_far = answer_so_far
        self.answer_version = answer_version

    def content_text(self) -> str:
        """Returns the canonical text of the prompt or the messages."""
        if self.prompt is not None:
            return self.prompt
        parts: list[str] = []
        for message in self.messages or []:
            parts.append(f'{message["role"]}: {message["content"]}')
        return '\n'.join(parts)

    def encode_run_body(
        self, resume_tokens: list[str], resume_version: str
    ) -> bytes:
        """Returns the body for `/run`.

        Args:
            resume_tokens: Texts of the tokens generated so far.
            resume_version: Software version that wrote them.
        """
        return orjson.dumps(
            {
                'prompt': self.prompt,
                'messages': self.messages,
                'max_tokens': self.max_tokens,
                'resume_tokens': resume_tokens,
                'resume_version': resume_version,
            }
        )

    def fingerprint(self) -> str:
        """Returns a hash of service and content, equal for all resends."""
        return relay.create_fingerprint(
            self.service.name,
            {'prompt': self.prompt, 'messages': self.messages},
        )


def parse_model_request(
    document: configuration.ServiceDocument, body: bytes, is_chat: bool
) -> ModelRequest | results.Failure:
    """Parses the body of a completion or chat completion request."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return results.Failure(
            results.ResultCode.MALFORMED_REQUEST,
            f'the body is not JSON: {error}',
        )
    if not isinstance(fields, dict):
        return _invalid('the body must be a JSON object')
    return parse_model_fields(document, fields, is_chat)


def parse_model_fields(
    document: configuration.ServiceDocument,
    fields: dict[str, object],
    is_chat: bool,
) -> ModelRequest | results.Failure:
    """Validates the fields of a completion or chat completion request."""
    service = _find_service(document, fields.get('model'))
    if isinstance(service, results.Failure):
        return service
    max_tokens = _read_max_tokens(fields)
    if isinstance(max_tokens, results.Failure):
        return max_tokens
    stream = _get_field(fields, 'stream', False)
    if not isinstance(stream, bool):
        return _invalid('stream must be a boolean')
    if _get_field(fields, 'n', 1) != 1:
        return _invalid('n must be 1')
    session = _get_field(fields, 'user', '')
    if not isinstance(session, str):
        return _invalid('user must be a string')
    answer_so_far = _read_answer_so_far(fields, max_tokens)
    if isinstance(answer_so_far, results.Failure):
        return answer_so_far
    answer_version = _get_field(fields, 'answer_fingerprint', '')
    if not isinstance(answer_version, str):
        return _invalid('answer_fingerprint must be a string')
    content = _read_messages(fields) if is_chat else _read_prompt(fields)
    if isinstance(content, results.Failure):
        return content
    return ModelRequest(
        service=service,
        is_chat=is_chat,
        prompt=content if isinstance(content, str) else None,
        messages=content if isinstance(content, list) else None,
        max_tokens=max_tokens,
        stream=stream,
        session=session,
        model_name=str(fields['model']),
        answer_so_far=answer_so_far,
        answer_version=answer_version,
    )


def check_idempotency_key(text: str | None) -> str | None | results.Failure:
    """Returns a valid idempotency key, None if absent, or a failure."""
    if text is None:
        return None
    if _KEY_PATTERN.fullmatch(text):
        return text
    return _invalid(
        f'Idempotency-Key must be 1 to {MAX_KEY_CHARACTERS} printable'
        ' ASCII characters without spaces'
    )


def _find_service(
    document: configuration.ServiceDocument, name: object
) -> configuration.Service | results.Failure:
    """Returns the model service whose name or model matches."""
    if not isinstance(name, str):
        return _invalid('model must be a string')
    for service in document.services.values():
        if service.kind is not configuration.ServiceKind.MODEL:
            continue
        if name in (service.name, service.model):
            return service
    return results.Failure(
        results.ResultCode.NO_SUCH_SERVICE, f'no service runs model {name!r}'
    )


def _read_max_tokens(fields: dict) -> int | results.Failure:
    """Returns the maximum length of the response in tokens."""
    value = _get_field(fields, 'max_tokens', DEFAULT_MAX_TOKENS)
    value = _get_field(fields, 'max_completion_tokens', value)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 1 <= value <= MAX_TOKENS_LIMIT:
        return _invalid(
            f'max_tokens must be an integer from 1 to {MAX_TOKENS_LIMIT}'
        )
    return value


def _read_answer_so_far(
    fields: dict, max_tokens: int
) -> list[str] | results.Failure:
    """Returns the tokens that the caller has received before."""
    texts = _get_field(fields, 'answer_so_far', [])
    if not isinstance(texts, list) or len(texts) > max_tokens:
        return _invalid(
            'answer_so_far must be a list of up to max_tokens texts'
        )
    for text in texts:
        if not isinstance(text, str):
            return _invalid('answer_so_far must contain only strings')
    return texts


def _read_prompt(fields: dict) -> str | results.Failure:
    prompt = fields.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        return _invalid('prompt must be a non-empty string')
    return prompt


def _read_messages(fields: dict) -> list[dict[str, str]] | results.Failure:
    """Returns the chat messages reduced to their roles and texts."""
    messages = fields.get('messages')
    if not isinstance(messages, list) or not messages:
        return _invalid('messages must be a non-empty list')
    checked: list[dict[str, str]] = []
    for message in messages:
        if not isinstance(message, dict):
            return _invalid('each message must be an object')
        role = message.get('role')
        content = _join_text_parts(message.get('content'))
        if not isinstance(role, str) or content is None:
            return _invalid('each message must have a role and text content')
        checked.append({'role': role, 'content': content})
    return checked


def _get_field(fields: dict, name: str, default: object) -> Any:
    """Returns a field or, if absent or null, its default.

    Client libraries send null for fields that are not given.
    """
    value = fields.get(name)
    return default if value is None else value


def _join_text_parts(content: object) -> str | None:
    """Returns a message's text, given as a string or a list of text parts."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list) or not content:
        return None
    texts: list[str] = []
    for part in content:
        if not isinstance(part, dict) or part.get('type') != 'text':
            return None
        text = part.get('text')
        if not isinstance(text, str):
            return None
        texts.append(text)
    return ''.join(texts)


def _invalid(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.INVALID_FIELD, reason)
