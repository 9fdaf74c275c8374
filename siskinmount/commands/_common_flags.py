"""Flags that several commands share."""

from absl import flags


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
