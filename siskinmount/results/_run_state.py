"""Whether a request without an upstream's answer was executed."""

import enum


class RunState(enum.Enum):
    """Execution state of a request, which tells whether a retry is safe."""

    #: No byte of any attempt can have reached an upstream.
    NOT_RUN = 'not_run'

    #: An upstream executed the request, at least partly.
    RAN = 'ran'

    #: The request may or may not have been executed.
    UNKNOWN = 'unknown'
