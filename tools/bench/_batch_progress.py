"""Counts of completed, preempted and failed batch work."""


class BatchProgress:
    """Counts of batch work.

    Attributes:
        done_items: Items whose complete answer arrived.
        kept_tokens: Tokens that arrived and need not be generated again; for
            jobs, only the tokens of completed items.
        yields: Times that an item was preempted before its end.
        wrong_items: Completed items with an incorrect answer.
        failures: Attempts that failed for a reason other than preemption.
    """

    __slots__ = (
        'done_items',
        'kept_tokens',
        'yields',
        'wrong_items',
        'failures',
    )

    def __init__(self) -> None:
        self.done_items = 0
        self.kept_tokens = 0
        self.yields = 0
        self.wrong_items = 0
        self.failures = 0

    def copy(self) -> 'BatchProgress':
        """Returns a copy of the counts."""
        copied = BatchProgress()
        for name in BatchProgress.__slots__:
            setattr(copied, name, getattr(self, name))
        return copied

    def subtract(self, earlier: 'BatchProgress') -> 'BatchProgress':
        """Returns the increase of each count since an earlier copy."""
        difference = BatchProgress()
        for name in BatchProgress.__slots__:
            value = getattr(self, name) - getattr(earlier, name)
            setattr(difference, name, value)
        return difference

    def to_json(self) -> dict[str, int]:
        """Returns the counts as a JSON object."""
        return {name: getattr(self, name) for name in BatchProgress.__slots__}
