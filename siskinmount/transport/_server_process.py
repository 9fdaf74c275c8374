"""What is known of the process that sent a response."""

import enum


class ServerProcess(enum.Enum):
    """Whether the process that sent a response still serves its address.

    A process that exits closes all its connections and its listener, so that a
    connection that was open before and still is shows that it has not exited.
    """

    #: A connection from before the end of the response is still open.
    SERVING = 'serving'

    #: A process accepts connections; no connection from before shows whether it
    #: is the same.
    UNKNOWN = 'unknown'

    #: All connections from before have been closed; a process accepts new ones.
    CLOSED_CONNECTIONS = 'closed_connections'

    #: No connection can be opened.
    GONE = 'gone'
