"""Splits a server-sent event stream into events, byte for byte."""

import enum
import re

from siskinmount.transport import _body_framing

_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'
_FIELD_NAMES = (b'id', b'data', b'event', b'retry')
_USUAL_BEGINNINGS = (_ID_FIELD, _DATA_FIELD)
#: Beginning of a line that is the head of a response and no field of an event.
_STATUS_LINE = b'\nHTTP/1.'
#: Longest event, with the blank lines and comments before it.
MAX_EVENT_BYTES = 256 * 1024
#: Longest id of an event that counts as a number.
MAX_ID_DIGITS = 15
#: Bytes at the end of a remainder that may be a part of a blank line.
_BLANK_LINE_OVERLAP = 3
#: The end of an event: a blank line. Lines end with LF or CRLF; a CR alone ends
#: none.
_EVENT_END = re.compile(rb'\n\r?\n')
#: Two blank lines, or comments and a blank line, and any more of them.
_FILLER = re.compile(
    rb'(?:\r?\n|(?::[^\n]*+\n)++)\r?\n(?:(?::[^\n]*+\n)*+\r?\n)*+'
)
_FILLER_BEGINNINGS = (b'\n', b'\r', b':')


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
        has_fields: Whether there are lines other than blanks and comments.
        is_foreign: Whether the bytes are neither an event nor comments.
    """

    __slots__ = ('raw', 'event_id', 'has_fields', 'is_foreign')

    def __init__(
        self,
        raw: bytes,
        event_id: int | None,
        has_fields: bool,
        is_foreign: bool,
    ) -> None:
        self.raw = raw
        self.event_id = event_id
        self.has_fields = has_fields
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
        """Adds a chunk; returns the events that are now complete.

        Blank lines and comments between two events are returned as one event
        without fields, however many they are.
        """
        searched = max(0, len(self._remainder) - _BLANK_LINE_OVERLAP)
        data = self._remainder + chunk
        begin = 0
        events: list[StreamEvent] = []
        while True:
            filler: re.Match[bytes] | None = None
            if data[begin : begin + 1] in _FILLER_BEGINNINGS:
                filler = _FILLER.match(data, begin)
            if filler is not None:
                raw = filler.group()
                begin = filler.end()
                self._skipped_bytes += len(raw)
                events.append(StreamEvent(raw, None, False, False))
                continue
            match = _EVENT_END.search(data, max(begin, searched))
            if match is None:
                self._remainder = data[begin:]
                return events
            raw = data[begin : match.end()]
            begin = match.end()
            has_fields = _has_fields(raw)
            if has_fields:
                self._has_events = True
                self._skipped_bytes = 0
            else:
                self._skipped_bytes += len(raw)
            events.append(
                StreamEvent(raw, _read_id(raw), has_fields, _is_foreign(raw))
            )


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


def _has_fields(raw: bytes) -> bool:
    """Returns whether a block has a line other than blanks and comments."""
    if raw.startswith(_USUAL_BEGINNINGS):
        return True
    for line in raw.splitlines():
        if line and not line.startswith(b':'):
            return True
    return False


def _is_foreign(raw: bytes) -> bool:
    """Returns whether a block has lines, but no field of an event.

    An upstream that fails within an event may send the head of an error there.
    """
    if _STATUS_LINE in raw:
        return True
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
        if not text.isdigit() or len(text) > MAX_ID_DIGITS:
            return None
        return int(text)
    return None


def create_event_splitter() -> EventSplitter:
    """Creates a splitter with an empty buffer."""
    return EventSplitter()
