"""Parses INI text into sections with line numbers.

`configparser` interprets the values. As it records no line numbers and stops at
the first syntax error, a scan of the lines reports the syntax errors first and
passes only valid lines on to `configparser`.
"""

import configparser
import re

from siskinmount.configuration import _document_fault

MAX_TEXT_CHARACTERS = 3 * 1024 * 1024
_MAX_SHOWN_CHARACTERS = 60
_COMMENT_PREFIXES = ('#', ';')
_HEADER = re.compile(r'\[([^\[\]]+)\]')
_ENTRY = re.compile(r'([^=\s]+)\s*=.*')

# No header can contain a line feed, so this name disables the default section.
_NO_DEFAULT_SECTION = '\n'


class IniEntry:
    """One key of a section.

    Attributes:
        key: The key.
        value: The value, stripped; continuation lines are joined by line feeds.
        line: Line number, from 1.
    """

    __slots__ = ('key', 'value', 'line')

    def __init__(self, key: str, value: str, line: int) -> None:
        self.key = key
        self.value = value
        self.line = line


class IniSection:
    """One section.

    Attributes:
        header: Header without brackets; runs of whitespace become one space.
        kind: First word of the header.
        name: Rest of the header; may be empty.
        line: Line number of the header, from 1.
        entries: Entries by key.
    """

    __slots__ = ('header', 'kind', 'name', 'line', 'entries')

    def __init__(self, header: str, line: int) -> None:
        self.header = header
        self.kind, _, self.name = header.partition(' ')
        self.line = line
        self.entries: dict[str, IniEntry] = {}


class IniText:
    """The sections and syntax errors of a text.

    Attributes:
        sections: Sections in order of appearance.
        faults: Syntax errors in order of appearance.
    """

    __slots__ = ('sections', 'faults')

    def __init__(self) -> None:
        self.sections: list[IniSection] = []
        self.faults: list[_document_fault.DocumentFault] = []


def read_ini_text(text: str) -> IniText:
    """Returns the sections and all syntax errors of a text."""
    result = IniText()
    if len(text) > MAX_TEXT_CHARACTERS:
        result.faults.append(
            _document_fault.DocumentFault(
                section='',
                key='',
                line=0,
                expected=f'at most {MAX_TEXT_CHARACTERS} characters',
                found=f'{len(text)}',
            )
        )
        return result
    scan = _LineScanner(result)
    for number, line in enumerate(text.split('\n'), start=1):
        scan.visit(number, line)
    _read_values(result, scan.accepted_lines)
    return result


def shorten(text: str) -> str:
    """Returns a text quoted and truncated to fit one line of a report."""
    if len(text) > _MAX_SHOWN_CHARACTERS:
        text = text[:_MAX_SHOWN_CHARACTERS] + '...'
    return ascii(text)


def _read_values(result: IniText, lines: list[str]) -> None:
    """Sets the values of the entries that the scan found."""
    parser = configparser.RawConfigParser(
        delimiters=('=',),
        comment_prefixes=_COMMENT_PREFIXES,
        strict=False,
        empty_lines_in_values=False,
        default_section=_NO_DEFAULT_SECTION,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    parser.read_string('\n'.join(lines))
    for section in result.sections:
        values = parser[section.header]
        for entry in section.entries.values():
            entry.value = values[entry.key]


class _LineScanner:
    """Scans lines for section headers, keys and syntax errors.

    Attributes:
        accepted_lines: Valid lines in normalized form; empty lines replace
            invalid ones.
    """

    __slots__ = (
        'accepted_lines',
        '_result',
        '_section',
        '_by_header',
        '_accepts_continuation',
        '_header_invalid',
    )

    def __init__(self, result: IniText) -> None:
        self.accepted_lines: list[str] = []
        self._result = result
        self._section: IniSection | None = None
        self._by_header: dict[str, IniSection] = {}
        # Whether an indented line would continue the previous value.
        self._accepts_continuation = False
        # Whether the current keys follow an invalid header.
        self._header_invalid = False

    def visit(self, number: int, line: str) -> None:
        """Processes the next line."""
        stripped = line.strip()
        if not stripped or stripped.startswith(_COMMENT_PREFIXES):
            self._accepts_continuation = False
            self.accepted_lines.append('')
            return
        if not stripped.replace('\t', ' ').isprintable():
            self._reject(number, 'printable characters only', stripped)
            return
        if line[0].isspace():
            self._visit_indented(number, stripped)
            return
        if stripped.startswith('['):
            self._visit_header(number, stripped)
            return
        self._visit_entry(number, stripped)

    def _visit_indented(self, number: int, stripped: str) -> None:
        if not self._accepts_continuation:
            self._reject(
                number, 'no whitespace before a key or section', stripped
            )
            return
        self.accepted_lines.append(f'  {stripped}')

    def _visit_header(self, number: int, stripped: str) -> None:
        self._accepts_continuation = False
        self._header_invalid = False
        match = _HEADER.fullmatch(stripped)
        words = match.group(1).split() if match else []
        if not words:
            self._section = None
            self._header_invalid = True
            self._reject(number, 'a section such as [service NAME]', stripped)
            return
        header = ' '.join(words)
        earlier = self._by_header.get(header)
        if earlier is not None:
            self._section = earlier
            self._reject(
                number,
                f'each section once; the first one is in line {earlier.line}',
                stripped,
            )
            # The keys are still checked, as part of the earlier section.
            self.accepted_lines.append(f'[{header}]')
            return
        self._section = IniSection(header, number)
        self._by_header[header] = self._section
        self._result.sections.append(self._section)
        self.accepted_lines.append(f'[{header}]')

    def _visit_entry(self, number: int, stripped: str) -> None:
        self._accepts_continuation = False
        if self._header_invalid:
            self.accepted_lines.append('')
            return
        match = _ENTRY.fullmatch(stripped)
        if match is None:
            self._reject(number, 'a line of the form key = value', stripped)
            return
        if self._section is None:
            self._reject(number, 'a section before the first key', stripped)
            return
        key = match.group(1)
        earlier = self._section.entries.get(key)
        if earlier is not None:
            self._reject(
                number,
                f'each key once; the first one is in line {earlier.line}',
                stripped,
                key,
            )
            return
        self._section.entries[key] = IniEntry(key, '', number)
        self.accepted_lines.append(stripped)
        self._accepts_continuation = True

    def _reject(
        self, number: int, expected: str, found: str, key: str = ''
    ) -> None:
        """Records a fault and hides the line from `configparser`."""
        self._accepts_continuation = False
        self.accepted_lines.append('')
        self._result.faults.append(
            _document_fault.DocumentFault(
                section=self._section.header if self._section else '',
                key=key,
                line=number,
                expected=expected,
                found=shorten(found),
            )
        )
