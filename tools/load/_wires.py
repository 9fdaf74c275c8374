"""Client protocols for each kind of server: request encoding and decoding."""

from collections.abc import Callable
import enum
from typing import Protocol

import orjson

from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from tools.load import _event_stream
from tools.load import _workload


class StreamItem:
    """Decoded content of a part of an answer.

    Attributes:
        texts: Texts of the new tokens.
        ended: Whether the answer is complete.
        failure: Failure that ended the answer, or None.
    """

    __slots__ = ('texts', 'ended', 'failure')

    def __init__(
        self,
        texts: list[str],
        ended: bool = False,
        failure: results.Failure | None = None,
    ) -> None:
        self.texts = texts
        self.ended = ended
        self.failure = failure


class AnswerReader(Protocol):
    """Decodes the body of one answer."""

    def feed(self, data: bytes) -> StreamItem:
        """Decodes the next bytes of the body."""


class Wire(Protocol):
    """Encodes requests and creates decoders for their answers."""

    def write_request(
        self, request: _workload.LoadRequest, request_id: str
    ) -> transport.ClientRequest:
        """Returns the HTTP request."""

    def create_reader(self) -> AnswerReader:
        """Returns a reader for one answer."""


class WireKind(enum.Enum):
    """Kind of server that load is sent to."""

    #: An entry, through its interface for callers.
    CALLER = 'caller'

    #: A model engine.
    ENGINE = 'engine'

    #: A sidecar, through its interface for entries.
    SIDECAR = 'sidecar'


class _EventReader:
    """Decodes answers of server-sent events."""

    __slots__ = ('_events', '_add_event', '_finished')

    def __init__(self, add_event: Callable[[dict, StreamItem], bool]) -> None:
        self._events = _event_stream.EventStreamReader()
        # Adds an event to the item; returns whether the answer has finished.
        self._add_event = add_event
        self._finished = False

    def feed(self, data: bytes) -> StreamItem:
        """Decodes the next bytes of the body."""
        item = StreamItem([])
        for event in self._events.feed(data):
            if event == b'[DONE]':
                item.ended = self._finished
                continue
            if self._add_event(orjson.loads(event), item):
                self._finished = True
            if item.failure is not None:
                return item
        return item


def _add_caller_event(document: dict, item: StreamItem) -> bool:
    """Adds an event of an entry; returns whether the answer has finished."""
    if 'error' in document:
        item.failure = read_error(document)
        return False
    choice = document['choices'][0]
    text = choice.get('text') or choice.get('delta', {}).get('content')
    if text:
        item.texts.append(text)
    return bool(choice.get('finish_reason'))


def _add_engine_event(document: dict, item: StreamItem) -> bool:
    """Adds an event of an engine; returns whether the answer has finished."""
    if 'text' in document:
        item.texts.append(document['text'])
        return False
    return document['finish_reason'] != 'cancelled'


class CallerWire:
    """Protocol between callers and entries."""

    __slots__ = ('_service', '_key')

    def __init__(self, service: str, key: str) -> None:
        self._service = service
        self._key = key

    def write_request(
        self, request: _workload.LoadRequest, request_id: str
    ) -> transport.ClientRequest:
        """Returns the HTTP request."""
        document: dict[str, object] = {
            'model': self._service,
            'max_tokens': request.max_tokens,
            'stream': True,
        }
        if request.session:
            document['user'] = request.session
        if request.messages is None:
            document['prompt'] = request.prompt
            target = '/v1/completions'
        else:
            document['messages'] = request.messages
            target = '/v1/chat/completions'
        headers = [
            (b'authorization', f'Bearer {self._key}'.encode('ascii')),
            (b'idempotency-key', request_id.encode('ascii')),
            (b'content-type', b'application/json'),
        ]
        return transport.ClientRequest(
            'POST', target, headers, orjson.dumps(document)
        )

    def create_reader(self) -> AnswerReader:
        """Returns a reader for one answer."""
        return _EventReader(_add_caller_event)


class EngineWire:
    """Protocol of engines."""

    __slots__ = ()

    def write_request(
        self, request: _workload.LoadRequest, request_id: str
    ) -> transport.ClientRequest:
        """Returns the HTTP request."""
        document: dict[str, object] = {
            'request_id': request_id,
            'max_tokens': request.max_tokens,
            'stream': True,
        }
        if request.messages is None:
            document['prompt'] = request.prompt
        else:
            document['messages'] = request.messages
        return transport.ClientRequest(
            'POST', '/v1/completions', [], orjson.dumps(document)
        )

    def create_reader(self) -> AnswerReader:
        """Returns a reader for one answer."""
        return _EventReader(_add_engine_event)


class _SidecarReader:
    """Decodes answers of relay frames."""

    __slots__ = ('_frames',)

    def __init__(self) -> None:
        self._frames = relay.FrameReader()

    def feed(self, data: bytes) -> StreamItem:
        """Decodes the next bytes of the body."""
        item = StreamItem([])
        frames = self._frames.feed(data)
        if isinstance(frames, results.Failure):
            item.failure = frames
            return item
        for frame in frames:
            if isinstance(frame, relay.TokenFrame):
                item.texts.append(frame.text)
            elif isinstance(frame, relay.EndFrame):
                item.ended = True
            elif isinstance(frame, relay.FailureFrame):
                item.failure = frame.failure
        return item


class SidecarWire:
    """Protocol between entries and sidecars."""

    __slots__ = ('_service', '_request_class')

    def __init__(self, service: str, request_class: str) -> None:
        self._service = service
        self._request_class = request_class

    def write_request(
        self, request: _workload.LoadRequest, request_id: str
    ) -> transport.ClientRequest:
        """Returns the HTTP request."""
        names = relay.RelayHeader
        headers = [
            (names.REQUEST_ID, request_id.encode('ascii')),
            (names.ATTEMPT, b'1'),
            (names.DEADLINE_MS, b'120000'),
            (names.CLASS, self._request_class.encode('ascii')),
            (names.FINGERPRINT, request_id.encode('ascii')),
            (names.FROM_TOKEN, b'0'),
        ]
        document = {
            'prompt': request.prompt,
            'messages': request.messages,
            'max_tokens': request.max_tokens,
            'resume_tokens': [],
        }
        return transport.ClientRequest(
            'POST', f'/run/{self._service}', headers, orjson.dumps(document)
        )

    def create_reader(self) -> AnswerReader:
        """Returns a reader for one answer."""
        return _SidecarReader()


def create_wire(
    kind: WireKind,
    *,
    service: str = 'model',
    key: str = '',
    request_class: str = 'online',
) -> Wire:
    """Creates the protocol for a kind of server.

    Args:
        kind: Kind of server.
        service: Name of the service; not sent to engines.
        key: Key of the caller; sent to entries only.
        request_class: Class of the requests; sent to sidecars only.
    """
    if kind is WireKind.CALLER:
        return CallerWire(service, key)
    if kind is WireKind.ENGINE:
        return EngineWire()
    return SidecarWire(service, request_class)


def read_error(document: dict[str, object]) -> results.Failure:
    """Returns the failure that an error document describes."""
    error = document.get('error')
    if not isinstance(error, dict):
        return results.Failure(
            results.ResultCode.UPSTREAM_ERROR, str(error or 'no reason')
        )
    retry_after_ms = error.get('retry_after_ms')
    return results.Failure(
        results.ResultCode(int(error['code'])),
        str(error.get('reason', '')),
        results.RunState(error.get('run_state', 'unknown')),
        retry_after_ms if isinstance(retry_after_ms, int) else None,
    )
