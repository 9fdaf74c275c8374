"""One fault found in a service document or in a settings file."""


class DocumentFault:
    """Says what is wrong and where.

    Attributes:
        section: Header of the section, without brackets; empty outside of any
            section.
        key: The key; empty if the fault concerns the whole section or line.
        line: Line number from 1; 0 if the fault concerns the whole text.
        expected: What would be right.
        found: What is there instead.
    """

    __slots__ = ('section', 'key', 'line', 'expected', 'found')

    def __init__(
        self,
        *,
        section: str,
        key: str,
        line: int,
        expected: str,
        found: str,
    ) -> None:
        self.section = section
        self.key = key
        self.line = line
        self.expected = expected
        self.found = found

    def __str__(self) -> str:
        place = f'line {self.line}: [{self.section}]'
        if self.key:
            place = f'{place} {self.key}'
        return f'{place}: expected {self.expected}, found {self.found}'

    def __repr__(self) -> str:
        return f'DocumentFault({str(self)!r})'
