"""Checks whether a process listens at an address, without sending anything."""

import enum

import trio

from siskinmount.transport import _address


class ProbeOutcome(enum.Enum):
    """What the attempt to open a connection showed."""

    #: A process listens at the address.
    ACCEPTED = 'accepted'

    #: The host answered that no process listens at the address.
    REFUSED = 'refused'

    #: The host did not answer, or cannot be reached.
    UNREACHABLE = 'unreachable'


async def probe_connection(
    address: _address.Address, timeout_ms: int
) -> ProbeOutcome:
    """Opens a connection and closes it at once."""
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await trio.open_tcp_stream(address.host, address.port)
    except trio.TooSlowError:
        return ProbeOutcome.UNREACHABLE
    except OSError as error:
        if _is_refusal(error):
            return ProbeOutcome.REFUSED
        return ProbeOutcome.UNREACHABLE
    stream.socket.close()
    return ProbeOutcome.ACCEPTED


def _is_refusal(error: OSError) -> bool:
    """Returns whether all addresses that trio tried refused the connection."""
    cause = error.__cause__
    if not isinstance(cause, ExceptionGroup):
        return isinstance(cause or error, ConnectionRefusedError)
    _, others = cause.split(ConnectionRefusedError)
    return others is None
