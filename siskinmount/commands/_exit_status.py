"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """Tells a shell how a command ended.

    docs/OPERATORS.md lists them.
    """

    #: The command did what it was asked to.
    OK = 0

    #: The answer is no: an invalid document, a lost race, a risk found.
    NEGATIVE = 1

    #: The command line is wrong.
    USAGE = 2

    #: The daemon's settings have faults.
    SETTINGS_INVALID = 3

    #: The platform or the daemons could not be asked; nothing was changed.
    UNAVAILABLE = 4

    #: A change may or may not have been made.
    UNKNOWN = 5

    #: A fault of the program.
    INTERNAL = 70
