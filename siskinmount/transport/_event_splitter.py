"""Splits a server-sent event stream into events, byte for byte."""

import enum

from siskinmount.transport import _body_framing

_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'


class StreamEnd(enum.Enum):
    """Where the body of an event stream ended."""

    #: After a complete event.
    BETWEEN_EVENTS = 'between_events'

    #: Within an event.
    WITHIN_EVENT = 'within_event'

    #: Without an event.
    BEFORE_EVENTS = 'before_events'


class StreamEvent:
    """One server-sent event.

    Attributes:
        raw: The bytes of the event, with the blank line that ends it.
        event_id: The numeric id, or None if absent or not a number.
    """

    __slots__ = ('raw', 'event_id')

    def __init__(self, raw: bytes, event_id: int | None) -> None:
        self.raw = raw
        self.event_id = event_id

    def read_data(self) -> list[bytes]:
        """Returns the values of the `data` lines."""
        lines: list[bytes] = []
        for line in self.raw.splitlines():
            if line.startswith(_DATA_FIELD):
                lines.append(line[len(_DATA_FIELD) :].removeprefix(b' '))
        return lines


class EventSplitter:
    """Buffers the bytes of a stream until an event is complete."""

    __slots__ = ('_remainder', '_has_events')

    def __init__(self) -> None:
        self._remainder = b''
        self._has_events = False

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def find_end(self) -> StreamEnd:
        """Returns where the stream ends if nothing follows.

        Blank lines and complete comment lines after an event belong to none.
        """
        for line in self._remainder.splitlines(keepends=True):
            text = line.rstrip(b'\r\n')
            is_comment = line.startswith(b':') and text != line
            if text and not is_comment:
                return StreamEnd.WITHIN_EVENT
        if self._has_events:
            return StreamEnd.BETWEEN_EVENTS
        return StreamEnd.BEFORE_EVENTS

    def split(self, chunk: bytes) -> list[StreamEvent]:
        """Adds a chunk; returns the events that are now complete."""
        self._remainder += chunk
        events: list[StreamEvent] = []
        while True:
            end = _find_event_end(self._remainder)
            if end < 0:
                return events
            raw = self._remainder[:end]
            self._remainder = self._remainder[end:]
            self._has_events = self._has_events or _has_fields(raw)
            events.append(StreamEvent(raw, _read_id(raw)))


def is_stream_complete(
    end: StreamEnd, framing: _body_framing.BodyFraming
) -> bool:
    """Returns whether the end of a body is the end of its event stream.

    No stream ends within an event, whatever the framing. The end of a
    connection alone does not show that a stream is complete, so without an
    event nothing does.
    """
    if end is StreamEnd.WITHIN_EVENT:
        return False
    if framing is not _body_framing.BodyFraming.CONNECTION_END:
        return True
    return end is StreamEnd.BETWEEN_EVENTS


def _find_event_end(data: bytes) -> int:
    """Returns the offset after the first blank line; -1 if there is none.

    Lines end with LF or CRLF; a CR alone ends none.
    """
    lf_end = data.find(b'\n\n')
    crlf_end = data.find(b'\n\r\n')
    if crlf_end >= 0 and (lf_end < 0 or crlf_end < lf_end):
        return crlf_end + 3
    return lf_end + 2 if lf_end >= 0 else -1


def _has_fields(raw: bytes) -> bool:
    """Returns whether a block has a line other than blanks and comments."""
    for line in raw.splitlines():
        if line and not line.startswith(b':'):
            return True
    return False


def _read_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if not line.startswith(_ID_FIELD):
            continue
        text = line[len(_ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None


def create_event_splitter() -> EventSplitter:
    """Creates a splitter with an empty buffer."""
    return EventSplitter()
