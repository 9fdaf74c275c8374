"""Whether a request that did not get an upstream's answer was executed."""

import enum


class RunState(enum.Enum):
    """Tells a caller whether it is safe to send the request again."""

    #: No byte of any attempt can have reached an upstream.
    NOT_RUN = 'not_run'

    #: An upstream executed the request, at least in part.
    RAN = 'ran'

    #: The request may or may not have been executed.
    UNKNOWN = 'unknown'
