"""Cuts a stream into events without changing a byte of them."""

_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'


class StreamEvent:
    """One event.

    Attributes:
        raw: Its bytes, with the empty line behind it.
        event_id: Its id, or None.
    """

    __slots__ = ('raw', 'event_id')

    def __init__(self, raw: bytes, event_id: int | None) -> None:
        self.raw = raw
        self.event_id = event_id

    def read_data(self) -> list[bytes]:
        """Returns its lines of data."""
        lines: list[bytes] = []
        for line in self.raw.splitlines():
            if line.startswith(_DATA_FIELD):
                lines.append(line[len(_DATA_FIELD) :].removeprefix(b' '))
        return lines


class EventSplitter:
    """Collects bytes until an event is complete."""

    __slots__ = ('_rest',)

    def __init__(self) -> None:
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Bytes behind the last complete event."""
        return self._rest

    def split(self, chunk: bytes) -> list[StreamEvent]:
        """Returns the events that a chunk completes."""
        self._rest += chunk
        events: list[StreamEvent] = []
        while True:
            end = _find_end(self._rest)
            if end < 0:
                return events
            raw = self._rest[:end]
            self._rest = self._rest[end:]
            events.append(StreamEvent(raw, _read_id(raw)))


def _find_end(data: bytes) -> int:
    """Returns where the first event ends, behind its empty line; -1 if open."""
    plain = data.find(b'\n\n')
    carriage = data.find(b'\r\n\r\n')
    if carriage >= 0 and (plain < 0 or carriage < plain):
        return carriage + 4
    return plain + 2 if plain >= 0 else -1


def _read_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if not line.startswith(_ID_FIELD):
            continue
        text = line[len(_ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None


def create_event_splitter() -> EventSplitter:
    """Creates a splitter at the start of a stream."""
    return EventSplitter()
