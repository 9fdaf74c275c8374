"""Parses a body of server-sent events."""

_EVENT_SEPARATOR = b'\n\n'


class EventStreamReader:
    """Buffers bytes and returns the data of each complete event."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        self._pending = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the data fields of the events that are now complete."""
        events = (self._pending + data).split(_EVENT_SEPARATOR)
        self._pending = events.pop()
        found: list[bytes] = []
        for event in events:
            for line in event.split(b'\n'):
                if line.startswith(b'data:'):
                    found.append(line[5:].strip())
        return found
