"""Exit statuses of the program's commands."""

import enum


class ExitStatus(enum.IntEnum):
    """Outcome of a command, as listed in docs/OPERATORS.md."""

    #: The command succeeded.
    OK = 0

    #: The command ran and its result is negative: an invalid document, a
    #: difference, a publish that lost a race, or a risk found.
    NEGATIVE = 1

    #: The command line is invalid.
    USAGE = 2

    #: The daemon's settings are invalid.
    SETTINGS_INVALID = 3

    #: The platform or the daemons could not be reached; nothing was changed.
    UNAVAILABLE = 4

    #: A change may or may not have been made.
    UNKNOWN = 5

    #: An unexpected error inside the program.
    INTERNAL = 70
