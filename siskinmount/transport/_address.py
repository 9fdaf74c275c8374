"""Network address of a process."""

from siskinmount import results

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class Address:
    """An IP address and a TCP port.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    __slots__ = ('host', 'port')

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'

    def __repr__(self) -> str:
        return f'Address({str(self)!r})'

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Address) and str(self) == str(other)

    def __hash__(self) -> int:
        return hash((self.host, self.port))


def parse_address(text: str) -> Address | results.Failure:
    """Parses `host:port`."""
    host, separator, port_text = text.strip().rpartition(':')
    if not separator or not host or not port_text.isascii():
        return _invalid(text)
    if not port_text.isdigit() or len(port_text) > MAX_PORT_DIGITS:
        return _invalid(text)
    if int(port_text) > MAX_PORT:
        return _invalid(text)
    return Address(host, int(port_text))


def _invalid(text: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.SETTINGS_INVALID,
        f'{text!r} is not an address of the form host:port',
    )
