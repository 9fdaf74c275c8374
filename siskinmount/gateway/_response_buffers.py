"""Bounds the memory of all responses that are read whole."""

from siskinmount import transport

#: Largest response of one upstream that is read whole.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
#: Bytes of all such responses of one process at a time, beyond the first bytes
#: of each.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
#: First bytes of a response that are read even where the budget is used up, so
#: that large responses leave room for small ones.
UNCOUNTED_BYTES = 64 * 1024


class ResponseBuffers:
    """Charges the responses that are held until they are sent to the budget.

    Attributes:
        held_bytes: Bytes held now.
    """

    __slots__ = ('_holding',)

    def __init__(self, budget: transport.ByteBudget) -> None:
        self._holding = budget.open_holding()

    @property
    def held_bytes(self) -> int:
        """Bytes held now."""
        return self._holding.size_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserves memory if there is enough; returns whether there is."""
        if self.held_bytes + size_bytes > MAX_BUFFERED_BYTES:
            return False
        return self._holding.reserve(size_bytes)

    def charge(self, size_bytes: int) -> None:
        """Counts bytes that are held in any case."""
        self._holding.charge(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Gives back what was reserved."""
        self._holding.release(size_bytes)


def create_response_buffers(
    budget: transport.ByteBudget | None = None,
) -> ResponseBuffers:
    """Creates a count without responses.

    Args:
        budget: Budget of the process; one of the default size if None.
    """
    return ResponseBuffers(budget or transport.create_byte_budget())
