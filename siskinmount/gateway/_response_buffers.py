"""Bounds the memory of all responses that are read whole."""

#: Largest response of one upstream that is read whole.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
#: Bytes of all such responses of one process at a time, beyond the first bytes
#: of each.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
#: First bytes of a response that are not counted, so that large responses leave
#: room for small ones.
UNCOUNTED_BYTES = 64 * 1024


class ResponseBuffers:
    """Counts the bytes of responses that are held until they are sent.

    Attributes:
        held_bytes: Bytes held now.
    """

    __slots__ = ('held_bytes',)

    def __init__(self) -> None:
        self.held_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserves memory if there is enough; returns whether there is."""
        if self.held_bytes + size_bytes > MAX_BUFFERED_BYTES:
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Gives back what was reserved."""
        self.held_bytes -= size_bytes


def create_response_buffers() -> ResponseBuffers:
    """Creates a count without responses."""
    return ResponseBuffers()
