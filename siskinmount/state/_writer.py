"""Identity of a process that writes records."""


class Writer:
    """Identity of a process, and the sequence numbers of its records.

    Attributes:
        vm: Name of the VM.
        incarnation: Increases with each start of the process on the VM.
    """

    __slots__ = ('vm', 'incarnation', '_last_sequence')

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self._last_sequence = 0

    def next_sequence(self) -> int:
        """Returns a sequence number that no other record of the writer has."""
        self._last_sequence += 1
        return self._last_sequence
