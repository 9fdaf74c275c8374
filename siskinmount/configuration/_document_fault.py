"""A validation error in a service document or in a settings file."""


class DocumentFault:
    """Describes one validation error and its location.

    Attributes:
        section: Header of the section, without brackets; empty if the fault
            is outside any section.
        key: Key concerned; empty if the fault concerns a whole section or line.
        line: Line number, from 1; 0 if the fault concerns the whole text.
        expected: Description of a valid value.
        found: Description of the value found.
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
