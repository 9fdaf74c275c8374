"""Flags that several commands share."""

from absl import flags

from siskinmount import results
from siskinmount import transport
from siskinmount.commands import _command


def define_settings_flag(flag_values: flags.FlagValues) -> None:
    """Adds `--settings`."""
    flags.DEFINE_string(
        'settings',
        None,
        'INI file with the settings of the daemon. Required.',
        flag_values=flag_values,
    )


def define_json_flag(flag_values: flags.FlagValues) -> None:
    """Adds `--json`."""
    flags.DEFINE_bool(
        'json',
        False,
        'Write the result as one JSON document.',
        flag_values=flag_values,
    )


def define_fleet_flags(flag_values: flags.FlagValues) -> None:
    """Adds `--entries` and `--json`."""
    flags.DEFINE_list(
        'entries',
        [],
        'Control addresses of one or more entries, separated by commas.'
        ' The others are found through them. Required.',
        flag_values=flag_values,
    )
    define_json_flag(flag_values)


def get_entries(
    invocation: _command.Invocation,
) -> list[transport.Address] | None:
    """Returns the value of `--entries`.

    Returns:
        The addresses, or None after writing an error.
    """
    texts: list[str] = invocation.flag_values['entries'].value or []
    if not texts:
        invocation.write_error('--entries ADDRESS,... is required')
        return None
    addresses: list[transport.Address] = []
    for text in texts:
        address = parse_address_flag(invocation, 'entries', text)
        if address is None:
            return None
        addresses.append(address)
    return addresses


def parse_address_flag(
    invocation: _command.Invocation, name: str, text: str
) -> transport.Address | None:
    """Parses the address given by a flag.

    Returns:
        The address, or None after writing an error.
    """
    address = transport.parse_address(text)
    if isinstance(address, results.Failure):
        invocation.write_error(f'--{name}: {address.reason}')
        return None
    return address
