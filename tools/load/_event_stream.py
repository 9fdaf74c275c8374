"""Splits a body into server-sent events."""

_END = b'\n\n'


class EventStreamReader:
    """Collects bytes and returns the data of each whole event."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        self._pending = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the data fields that the bytes complete, in order."""
        events = (self._pending + data).split(_END)
        self._pending = events.pop()
        found: list[bytes] = []
        for event in events:
            for line in event.split(b'\n'):
                if line.startswith(b'data:'):
                    found.append(line[5:].strip())
        return found
