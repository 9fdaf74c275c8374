"""Formats generated tokens as OpenAI-compatible responses."""

import time

import orjson

from siskinmount import relay
from siskinmount import results
from siskinmount.entry import _error_responses
from siskinmount.entry import _model_request

DONE_EVENT = b'data: [DONE]\n\n'
KEEP_ALIVE_EVENT = b': keep-alive\n\n'


class ResponseFormatter:
    """Formats the response to one request.

    Attributes:
        request_id: Identifier of the response.
        software_version: Version that writes the response; empty if the engine
            names none. Callers get it as `system_fingerprint`.
    """

    __slots__ = ('request_id', 'software_version', '_request', '_created_s')

    def __init__(
        self, request: _model_request.ModelRequest, request_id: str
    ) -> None:
        self.request_id = request_id
        self.software_version = ''
        self._request = request
        self._created_s = int(time.time())

    def format_token(self, index: int, text: str) -> bytes:
        """Returns one token as a server-sent event.

        The event's id is the token's index, so that `Last-Event-ID` gives the
        position to resume from.
        """
        if self._request.is_chat:
            delta = {'content': text}
            if index == 0:
                delta['role'] = 'assistant'
            choice: dict[str, object] = {'index': 0, 'delta': delta}
        else:
            choice = {'index': 0, 'text': text}
        choice['finish_reason'] = None
        return b'id: %d\ndata: %b\n\n' % (
            index,
            orjson.dumps(self._envelope(choice, streamed=True)),
        )

    def format_end(self, end: relay.EndFrame) -> bytes:
        """Returns the final events of a completed response."""
        if self._request.is_chat:
            choice: dict[str, object] = {'index': 0, 'delta': {}}
        else:
            choice = {'index': 0, 'text': ''}
        choice['finish_reason'] = end.finish_reason
        envelope = self._envelope(choice, streamed=True)
        envelope['usage'] = _usage(end)
        return b'data: %b\n\n' % orjson.dumps(envelope) + DONE_EVENT

    def format_failure(self, failure: results.Failure) -> bytes:
        """Returns an error event for a stream that has already started."""
        body = _error_responses.ErrorBody(failure, self.request_id)
        return b'event: error\ndata: %b\n\n' % orjson.dumps(body.to_json())

    def format_response(
        self, texts: list[str], end: relay.EndFrame, software_version: str
    ) -> dict[str, object]:
        """Returns the body of a response that is not streamed."""
        self.software_version = software_version
        text = ''.join(texts)
        if self._request.is_chat:
            message = {'role': 'assistant', 'content': text}
            choice: dict[str, object] = {'index': 0, 'message': message}
        else:
            choice = {'index': 0, 'text': text}
        choice['finish_reason'] = end.finish_reason
        envelope = self._envelope(choice, streamed=False)
        envelope['usage'] = _usage(end)
        return envelope

    def _envelope(
        self, choice: dict[str, object], streamed: bool
    ) -> dict[str, object]:
        """Wraps a choice in the fields that all responses share."""
        if not self._request.is_chat:
            object_name = 'text_completion'
        elif streamed:
            object_name = 'chat.completion.chunk'
        else:
            object_name = 'chat.completion'
        envelope: dict[str, object] = {
            'id': self.request_id,
            'object': object_name,
            'created': self._created_s,
            'model': self._request.model_name,
            'choices': [choice],
        }
        if self.software_version:
            envelope['system_fingerprint'] = self.software_version
        return envelope


def _usage(end: relay.EndFrame) -> dict[str, int]:
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.completion_tokens,
        'total_tokens': end.prompt_tokens + end.completion_tokens,
    }
