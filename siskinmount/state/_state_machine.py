"""Protocol of the state machines that a state stream drives."""

from collections.abc import Iterable
from typing import Protocol

from siskinmount.state import records_pb2


class Position:
    """Position of a record in a stream.

    Attributes:
        offset: Offset of the log record.
        index: Position among the records committed together.
    """

    __slots__ = ('offset', 'index')

    def __init__(self, offset: int, index: int) -> None:
        self.offset = offset
        self.index = index

    def __repr__(self) -> str:
        return f'Position({self.offset}, {self.index})'


class StateMachine(Protocol):
    """Replicated state machine that is driven by the records of a stream.

    The state must depend on the applied records alone, so that every reader of
    the stream reaches the same state.

    Attributes:
        kinds: Names of the kinds of `records_pb2.Record` that are applied.
    """

    kinds: frozenset[str]

    def apply(self, record: records_pb2.Record, position: Position) -> None:
        """Applies an accepted record."""
        ...

    def begin_term(self) -> None:
        """Handles the start of this process's term as owner.

        Called once, after the claim has been read back and before any record
        can be committed.
        """
        ...

    def describe(self) -> Iterable[records_pb2.Record]:
        """Returns snapshot records that restore the current state."""
        ...

    def restore(self, record: records_pb2.Record) -> None:
        """Restores state from one record of a snapshot."""
        ...
