"""What batch work has brought so far."""


class BatchProgress:
    """Counts of batch work.

    Attributes:
        done_items: Items whose whole answer arrived.
        kept_tokens: Tokens that arrived and are not generated again; from jobs
            only those of items that are done.
        yields: Times that an item came back unfinished.
        wrong_items: Items with an answer that is not the right one.
        failures: Attempts that failed for another reason than yielding.
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
        """Returns the counts as they are now."""
        copied = BatchProgress()
        for name in BatchProgress.__slots__:
            setattr(copied, name, getattr(self, name))
        return copied

    def subtract(self, earlier: 'BatchProgress') -> 'BatchProgress':
        """Returns what has come since an earlier copy."""
        difference = BatchProgress()
        for name in BatchProgress.__slots__:
            value = getattr(self, name) - getattr(earlier, name)
            setattr(difference, name, value)
        return difference

    def to_json(self) -> dict[str, int]:
        """Returns the counts as a JSON object."""
        return {name: getattr(self, name) for name in BatchProgress.__slots__}
