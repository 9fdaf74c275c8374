"""Reads the typed fields of one section and collects every fault."""

from collections.abc import Iterable
import difflib
import enum
import ipaddress
import re
from typing import TypeVar

from siskinmount import results
from siskinmount import transport
from siskinmount.configuration import _document_fault
from siskinmount.configuration import _ini_text

_WHOLE_NUMBER = re.compile(r'[0-9]{1,15}')
_DECIMAL_NUMBER = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?')
_COMMENT_BEHIND_VALUE = re.compile(r'(^|\s)[#;]')
_TRUTH_VALUES = {'true': True, 'false': False}

_UNITS = {
    '_ms': 'milliseconds',
    '_s': 'seconds',
    '_days': 'days',
    '_bytes': 'bytes',
    '_tokens': 'tokens',
}

_EnumT = TypeVar('_EnumT', bound=enum.Enum)


class SectionReader:
    """Reads the fields of one section.

    Each read returns a usable value also when the field has a fault, so that
    all fields are read and all faults are found. The caller must discard the
    values if there are faults.

    Attributes:
        section: The section.
        faults: Where faults are added.
    """

    __slots__ = ('section', 'faults', '_known_keys')

    def __init__(
        self,
        section: _ini_text.IniSection,
        faults: list[_document_fault.DocumentFault],
    ) -> None:
        self.section = section
        self.faults = faults
        self._known_keys: set[str] = set()

    def has(self, key: str) -> bool:
        """Returns whether the section has the key."""
        return key in self.section.entries

    def get_value(self, key: str) -> str:
        """Returns the text of a value; empty if the section lacks the key."""
        entry = self.section.entries.get(key)
        return entry.value if entry else ''

    def read_text(self, key: str, default: str | None = None) -> str:
        """Reads one line of text; a default of None makes the key required."""
        entry = self._find(key, required=default is None)
        if entry is None:
            return default or ''
        if not entry.value or '\n' in entry.value:
            self.add_fault(key, 'one line of text')
            return default or ''
        if _COMMENT_BEHIND_VALUE.search(entry.value):
            self.add_fault(key, 'a comment only at the start of a line')
            return default or ''
        return entry.value

    def read_words(self, key: str, default: tuple[str, ...]) -> tuple[str, ...]:
        """Reads words that are separated by commas or line ends."""
        entry = self._find(key, required=False)
        if entry is None:
            return default
        if _COMMENT_BEHIND_VALUE.search(entry.value):
            self.add_fault(key, 'a comment only at the start of a line')
            return default
        parts = entry.value.replace('\n', ',').split(',')
        return tuple(part.strip() for part in parts if part.strip())

    def read_whole_number(
        self,
        key: str,
        minimum: int,
        maximum: int,
        default: int | None = None,
    ) -> int:
        """Reads a whole number within bounds, both included."""
        fallback = minimum if default is None else default
        entry = self._find(key, required=default is None)
        if entry is None:
            return fallback
        if _WHOLE_NUMBER.fullmatch(entry.value):
            value = int(entry.value)
            if minimum <= value <= maximum:
                return value
        self.add_fault(
            key,
            f'a whole number{_name_unit(key)} from {minimum} to {maximum}',
        )
        return fallback

    def read_decimal_number(
        self,
        key: str,
        minimum: float,
        maximum: float,
        default: float | None = None,
    ) -> float:
        """Reads a decimal number within bounds, both included."""
        fallback = minimum if default is None else default
        entry = self._find(key, required=default is None)
        if entry is None:
            return fallback
        if _DECIMAL_NUMBER.fullmatch(entry.value):
            value = float(entry.value)
            if minimum <= value <= maximum:
                return value
        self.add_fault(key, f'a decimal number from {minimum} to {maximum}')
        return fallback

    def read_truth(self, key: str, default: bool) -> bool:
        """Reads `true` or `false`."""
        entry = self._find(key, required=False)
        if entry is None:
            return default
        value = _TRUTH_VALUES.get(entry.value)
        if value is None:
            self.add_fault(key, 'true or false')
            return default
        return value

    def read_choice(
        self, key: str, choices: type[_EnumT], default: _EnumT | None = None
    ) -> _EnumT:
        """Reads the value of a member of an enumeration."""
        members = list(choices)
        fallback = members[0] if default is None else default
        entry = self._find(key, required=default is None)
        if entry is None:
            return fallback
        for member in members:
            if member.value == entry.value:
                return member
        names = ', '.join(str(member.value) for member in members)
        self.add_fault(key, f'one of {names}')
        return fallback

    def read_address(self, key: str) -> transport.Address:
        """Reads a required address of the form IP number:port."""
        entry = self._find(key, required=True)
        if entry is None:
            return transport.Address('', 0)
        return self._parse_address(key, entry.value)

    def read_addresses(self, key: str) -> list[transport.Address]:
        """Reads addresses that are separated by commas or line ends."""
        texts = self.read_words(key, ())
        return [self._parse_address(key, text) for text in texts]

    def add_fault(
        self, key: str, expected: str, found: str | None = None
    ) -> None:
        """Adds a fault of a key, or of the section if the key is empty.

        Args:
            key: The key; need not be in the section.
            expected: What would be right.
            found: What is there; by default the value of the key.
        """
        entry = self.section.entries.get(key)
        if found is None:
            found = _ini_text.shorten(entry.value) if entry else 'nothing'
        self.faults.append(
            _document_fault.DocumentFault(
                section=self.section.header,
                key=key,
                line=entry.line if entry else self.section.line,
                expected=expected,
                found=found,
            )
        )

    def reject_unknown_keys(self) -> None:
        """Adds a fault for each key that has not been read."""
        for entry in self.section.entries.values():
            if entry.key in self._known_keys:
                continue
            self.add_fault(
                entry.key, self._describe_keys(entry.key), 'an unknown key'
            )

    def _describe_keys(self, key: str) -> str:
        return describe_near_names('the key', key, self._known_keys)

    def _find(self, key: str, required: bool) -> _ini_text.IniEntry | None:
        self._known_keys.add(key)
        entry = self.section.entries.get(key)
        if entry is None and required:
            self.add_fault(key, 'this required key')
        return entry

    def _parse_address(self, key: str, text: str) -> transport.Address:
        address = transport.parse_address(text)
        if isinstance(address, results.Failure) or not _is_ip(address.host):
            self.add_fault(
                key,
                'IP number:port, such as 10.0.0.1:7000',
                _ini_text.shorten(text),
            )
            return transport.Address('', 0)
        return address


def describe_near_names(what: str, name: str, known: Iterable[str]) -> str:
    """Names the known names that resemble a wrong one, or else all of them."""
    names = sorted(known)
    near = difflib.get_close_matches(name[:80], names, n=2)
    return f'{what} ' + ' or '.join(near or names)


def _is_ip(host: str) -> bool:
    """Returns whether a host is an IP number and not a name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _name_unit(key: str) -> str:
    """Returns ` of UNIT` for a key that names its unit."""
    for suffix, unit in _UNITS.items():
        if key.endswith(suffix):
            return f' of {unit}'
    return ''
