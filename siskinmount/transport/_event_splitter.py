"""Splits a server-sent event stream into events, byte for byte."""

import enum

from siskinmount.transport import _body_framing

_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'
_FIELD_NAMES = (b'id', b'data', b'event', b'retry')
_USUAL_BEGINNINGS = (_ID_FIELD, _DATA_FIELD)
#: Longest event, with the blank lines and comments before it.
MAX_EVENT_BYTES = 256 * 1024
#: Bytes at the end of a remainder that may be a part of a blank line.
_BLANK_LINE_OVERLAP = 3


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
        is_foreign: Whether the bytes are neither an event nor comments.
    """

    __slots__ = ('raw', 'event_id', 'is_foreign')

    def __init__(
        self, raw: bytes, event_id: int | None, is_foreign: bool = False
    ) -> None:
        self.raw = raw
        self.event_id = event_id
        self.is_foreign = is_foreign

    def read_data(self) -> list[bytes]:
        """Returns the values of the `data` lines."""
        lines: list[bytes] = []
        for line in self.raw.splitlines():
            if line.startswith(_DATA_FIELD):
                lines.append(line[len(_DATA_FIELD) :].removeprefix(b' '))
        return lines


class EventSplitter:
    """Buffers the bytes of a stream until an event is complete."""

    __slots__ = ('_remainder', '_has_events', '_skipped_bytes')

    def __init__(self) -> None:
        self._remainder = b''
        self._has_events = False
        self._skipped_bytes = 0

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    @property
    def is_overlong(self) -> bool:
        """Whether an event is missing in more bytes than one may have."""
        pending_bytes = self._skipped_bytes + len(self._remainder)
        return pending_bytes > MAX_EVENT_BYTES

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
        searched = max(0, len(self._remainder) - _BLANK_LINE_OVERLAP)
        data = self._remainder + chunk
        begin = 0
        events: list[StreamEvent] = []
        while True:
            end = _find_event_end(data, max(begin, searched))
            if end < 0:
                self._remainder = data[begin:]
                return events
            raw = data[begin:end]
            begin = end
            if _has_fields(raw):
                self._has_events = True
                self._skipped_bytes = 0
            else:
                self._skipped_bytes += len(raw)
            events.append(StreamEvent(raw, _read_id(raw), _is_foreign(raw)))


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


def _find_event_end(data: bytes, begin: int) -> int:
    """Returns the offset after the next blank line; -1 if there is none.

    Lines end with LF or CRLF; a CR alone ends none.
    """
    lf_end = data.find(b'\n\n', begin)
    crlf_end = data.find(b'\n\r\n', begin)
    if crlf_end >= 0 and (lf_end < 0 or crlf_end < lf_end):
        return crlf_end + 3
    return lf_end + 2 if lf_end >= 0 else -1


def _has_fields(raw: bytes) -> bool:
    """Returns whether a block has a line other than blanks and comments."""
    if raw.startswith(_USUAL_BEGINNINGS):
        return True
    for line in raw.splitlines():
        if line and not line.startswith(b':'):
            return True
    return False


def _is_foreign(raw: bytes) -> bool:
    """Returns whether a block has lines, but no field of an event."""
    if raw.startswith(_USUAL_BEGINNINGS):
        return False
    is_empty = True
    for line in raw.splitlines():
        if not line or line.startswith(b':'):
            continue
        is_empty = False
        if line.partition(b':')[0] in _FIELD_NAMES:
            return False
    return not is_empty


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
