"""Reads typed values from one INI section and collects all faults."""

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

_INTEGER = re.compile(r'[0-9]{1,15}')
_DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?')
_INLINE_COMMENT = re.compile(r'(^|\s)[#;]')
_BOOLEANS = {'true': True, 'false': False}

_UNITS = {
    '_ms': 'milliseconds',
    '_s': 'seconds',
    '_days': 'days',
    '_bytes': 'bytes',
    '_tokens': 'tokens',
}

_EnumT = TypeVar('_EnumT', bound=enum.Enum)


class SectionReader:
    """Reads typed values from one section.

    A read whose value has a fault returns a fallback, so that reading goes on
    and all faults are found. The calling code must discard the values if there
    are faults.

    Attributes:
        section: The section.
        faults: List to which faults are added.
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

    def ignore_empty_values(self) -> None:
        """Makes keys without a value count as missing.

        A platform that fills in a template leaves a value that it does not
        have empty.
        """
        for key, entry in list(self.section.entries.items()):
            if not entry.value:
                self._known_keys.add(key)
                del self.section.entries[key]

    def has(self, key: str) -> bool:
        """Returns whether the section has the key."""
        return key in self.section.entries

    def get_value(self, key: str) -> str:
        """Returns the raw value of a key; empty if the key is missing."""
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
        if _INLINE_COMMENT.search(entry.value):
            self.add_fault(key, 'a comment only on a line of its own')
            return default or ''
        return entry.value

    def read_words(self, key: str, default: tuple[str, ...]) -> tuple[str, ...]:
        """Reads words separated by commas or line breaks."""
        entry = self._find(key, required=False)
        if entry is None:
            return default
        if _INLINE_COMMENT.search(entry.value):
            self.add_fault(key, 'a comment only on a line of its own')
            return default
        parts = entry.value.replace('\n', ',').split(',')
        return tuple(part.strip() for part in parts if part.strip())

    def read_int(
        self,
        key: str,
        minimum: int,
        maximum: int,
        default: int | None = None,
    ) -> int:
        """Reads an integer within inclusive bounds."""
        fallback = minimum if default is None else default
        entry = self._find(key, required=default is None)
        if entry is None:
            return fallback
        if _INTEGER.fullmatch(entry.value):
            value = int(entry.value)
            if minimum <= value <= maximum:
                return value
        self.add_fault(
            key,
            f'a whole number{_describe_unit(key)} from {minimum} to {maximum}',
        )
        return fallback

    def read_float(
        self,
        key: str,
        minimum: float,
        maximum: float,
        default: float | None = None,
    ) -> float:
        """Reads a decimal number within inclusive bounds."""
        fallback = minimum if default is None else default
        entry = self._find(key, required=default is None)
        if entry is None:
            return fallback
        if _DECIMAL.fullmatch(entry.value):
            value = float(entry.value)
            if minimum <= value <= maximum:
                return value
        self.add_fault(key, f'a decimal number from {minimum} to {maximum}')
        return fallback

    def read_bool(self, key: str, default: bool) -> bool:
        """Reads `true` or `false`."""
        entry = self._find(key, required=False)
        if entry is None:
            return default
        value = _BOOLEANS.get(entry.value)
        if value is None:
            self.add_fault(key, 'true or false')
            return default
        return value

    def read_choice(
        self, key: str, choices: type[_EnumT], default: _EnumT | None = None
    ) -> _EnumT:
        """Reads the value of an enum member."""
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
        """Reads a required address of the form `IP:port`."""
        entry = self._find(key, required=True)
        if entry is None:
            return transport.Address('', 0)
        return self._parse_address(key, entry.value)

    def read_addresses(self, key: str) -> list[transport.Address]:
        """Reads addresses separated by commas or line breaks."""
        texts = self.read_words(key, ())
        return [self._parse_address(key, text) for text in texts]

    def add_fault(
        self, key: str, expected: str, found: str | None = None
    ) -> None:
        """Adds a fault for a key, or for the section if the key is empty.

        Args:
            key: The key, which may be missing from the section.
            expected: Description of a valid value.
            found: Description of the value found; by default the key's value.
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
        """Adds a fault for each key that was never read."""
        for entry in self.section.entries.values():
            if entry.key in self._known_keys:
                continue
            self.add_fault(
                entry.key, self._suggest_keys(entry.key), 'an unknown key'
            )

    def _suggest_keys(self, key: str) -> str:
        return suggest_names('the key', key, self._known_keys)

    def _find(self, key: str, required: bool) -> _ini_text.IniEntry | None:
        self._known_keys.add(key)
        entry = self.section.entries.get(key)
        if entry is None and required:
            self.add_fault(key, 'this required key')
        return entry

    def _parse_address(self, key: str, text: str) -> transport.Address:
        address = transport.parse_address(text)
        if isinstance(address, results.Failure) or not _is_ip_address(
            address.host
        ):
            self.add_fault(
                key,
                'IP address and port, such as 10.0.0.1:7000',
                _ini_text.shorten(text),
            )
            return transport.Address('', 0)
        return address


def suggest_names(what: str, name: str, known: Iterable[str]) -> str:
    """Lists the known names that resemble an unknown one, or else all."""
    names = sorted(known)
    near = difflib.get_close_matches(name[:80], names, n=2)
    return f'{what} ' + ' or '.join(near or names)


def _is_ip_address(host: str) -> bool:
    """Returns whether a host is an IP address rather than a name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _describe_unit(key: str) -> str:
    """Returns ` of UNIT` for a key whose suffix is a unit."""
    for suffix, unit in _UNITS.items():
        if key.endswith(suffix):
            return f' of {unit}'
    return ''
