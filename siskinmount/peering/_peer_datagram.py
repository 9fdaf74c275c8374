"""Datagrams between members: rows of messages, and what they are sent for."""

from collections.abc import Iterator
import enum
import urllib.parse

from siskinmount import results

#: Size up to which rows are put into one datagram. A longer one is split into
#: more packets on the way, each of which may be lost.
TARGET_DATAGRAM_BYTES = 8000


class DatagramKind(enum.Enum):
    """What a datagram is sent for."""

    #: A member's own row, to the relay that is to answer it.
    REPORT = b'R'

    #: A member's own row, to a relay that only passes it on.
    COPY = b'C'

    #: Rows that a relay has heard, to a member that reports to it.
    DIGEST = b'D'

    #: Rows of a relay and of members that report to it, to another relay.
    EXCHANGE = b'X'

    #: A member's own row, to one that it has not heard for some time.
    QUERY = b'Q'

    #: A member's own row, to one that has sent a query.
    ANSWER = b'A'


class PeerDatagram:
    """A decoded datagram.

    Attributes:
        kind: What it is sent for.
        sender: Name of the sender's VM.
        rows: Encoded messages; may be empty.
    """

    __slots__ = ('kind', 'sender', 'rows')

    def __init__(
        self, kind: DatagramKind, sender: str, rows: list[bytes]
    ) -> None:
        self.kind = kind
        self.sender = sender
        self.rows = rows


def encode_datagrams(
    kind: DatagramKind, sender: str, rows: list[bytes]
) -> Iterator[bytes]:
    """Yields the datagrams for some rows; one without rows if there are none.

    Args:
        kind: What they are sent for.
        sender: Name of the sender's VM.
        rows: Encoded messages.
    """
    head = kind.value + urllib.parse.quote(sender, safe='').encode('ascii')
    parts = [head]
    size_bytes = len(head)
    for row in rows:
        if len(parts) > 1 and size_bytes + len(row) > TARGET_DATAGRAM_BYTES:
            yield b'\n'.join(parts)
            parts = [head]
            size_bytes = len(head)
        parts.append(row)
        size_bytes += len(row) + 1
    yield b'\n'.join(parts)


def decode_datagram(data: bytes) -> PeerDatagram | results.Failure:
    """Decodes a datagram, or fails with `MALFORMED_REQUEST`."""
    head, *rows = data.split(b'\n')
    try:
        kind = DatagramKind(head[:1])
        sender = urllib.parse.unquote(head[1:].decode('ascii'))
    except ValueError as error:
        return results.Failure(
            results.ResultCode.MALFORMED_REQUEST, f'datagram: {error}'
        )
    return PeerDatagram(kind, sender, rows)
