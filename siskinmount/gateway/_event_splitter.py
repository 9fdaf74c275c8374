"""Splits a server-sent event stream into events, byte for byte."""

_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'


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

    __slots__ = ('_remainder',)

    def __init__(self) -> None:
        self._remainder = b''

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def is_within_event(self) -> bool:
        """Returns whether the remainder is part of an event.

        Blank lines and complete comment lines are not.
        """
        for line in self._remainder.splitlines(keepends=True):
            text = line.rstrip(b'\r\n')
            is_comment = line.startswith(b':') and text != line
            if text and not is_comment:
                return True
        return False

    def split(self, chunk: bytes) -> list[StreamEvent]:
        """Adds a chunk; returns the events that are now complete."""
        self._remainder += chunk
        events: list[StreamEvent] = []
        while True:
            end = _find_end(self._remainder)
            if end < 0:
                return events
            raw = self._remainder[:end]
            self._remainder = self._remainder[end:]
            events.append(StreamEvent(raw, _read_id(raw)))


def _find_end(data: bytes) -> int:
    """Returns the offset after the first blank line; -1 if there is none."""
    lf_end = data.find(b'\n\n')
    crlf_end = data.find(b'\r\n\r\n')
    if crlf_end >= 0 and (lf_end < 0 or crlf_end < lf_end):
        return crlf_end + 4
    return lf_end + 2 if lf_end >= 0 else -1


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
