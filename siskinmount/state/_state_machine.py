"""What a state stream asks of the state that is built from it."""

from collections.abc import Iterable
from typing import Protocol

from siskinmount.state import records_pb2


class Position:
    """Where a record stands in a stream.

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
    """State that follows from the records of a stream.

    Its state must depend on the applied records alone, so that every reader of
    the stream builds the same.

    Attributes:
        kinds: Names of the kinds of `records_pb2.Record` that it takes.
    """

    kinds: frozenset[str]

    def apply(self, record: records_pb2.Record, position: Position) -> None:
        """Takes a record that counts."""
        ...

    def begin_tenure(self) -> None:
        """Notes that this process owns the stream from now on.

        Called once, when its claim has been read back, before anything can be
        committed.
        """
        ...

    def describe(self) -> Iterable[records_pb2.Record]:
        """Returns records which restore the present state."""
        ...

    def restore(self, record: records_pb2.Record) -> None:
        """Takes a record of a snapshot."""
        ...
