"""What is known of the process that sent a response."""

import enum


class ServerProcess(enum.Enum):
    """Whether the process that sent a response still serves its address.

    A process that exits closes all its connections and its listener, so that a
    connection that was open before and still is shows that it has not exited.
    """

    #: A connection from before the end of the response is still open.
    SERVING = 'serving'

    #: No connection from before shows whether a process that accepts connections
    #: is the same, and none was refused.
    UNKNOWN = 'unknown'

    #: All connections from before have been closed; none was refused.
    CLOSED_CONNECTIONS = 'closed_connections'

    #: The host refuses connections, as nothing listens there.
    GONE = 'gone'
