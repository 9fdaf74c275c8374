"""Size, time and connection limits of HTTP servers and clients."""


class ServerLimits:
    """Limits that a server applies to its clients.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers.
        max_body_bytes: Default limit of `ServerExchange.read_body`.
        header_timeout_ms: Maximum time from the first byte of a request to its
            last header.
        max_framing_bytes: Maximum size of what frames a chunked body, beyond
            half of the body.
        max_discarded_bytes: Maximum size of the rest of a body that is read
            after a response to a request whose body was not needed, so that the
            connection stays usable.
        body_timeout_ms: Maximum time in which a request's body makes no
            progress; single bytes are none.
        send_timeout_ms: Maximum time for one write to the client.
        idle_timeout_ms: Maximum idle time of a keep-alive connection.
        max_connections: Maximum number of connections of all clients.
        max_connections_per_host: Maximum number of connections per client host.
    """

    __slots__ = (
        'max_header_bytes',
        'max_body_bytes',
        'max_framing_bytes',
        'max_discarded_bytes',
        'header_timeout_ms',
        'body_timeout_ms',
        'send_timeout_ms',
        'idle_timeout_ms',
        'max_connections',
        'max_connections_per_host',
    )

    def __init__(
        self,
        *,
        max_header_bytes: int = 32 * 1024,
        max_body_bytes: int = 4 * 1024 * 1024,
        max_framing_bytes: int = 64 * 1024,
        max_discarded_bytes: int = 64 * 1024,
        header_timeout_ms: int = 10_000,
        body_timeout_ms: int = 15_000,
        send_timeout_ms: int = 15_000,
        idle_timeout_ms: int = 75_000,
        max_connections: int = 8192,
        max_connections_per_host: int = 4096,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.max_framing_bytes = max_framing_bytes
        self.max_discarded_bytes = max_discarded_bytes
        self.header_timeout_ms = header_timeout_ms
        self.body_timeout_ms = body_timeout_ms
        self.send_timeout_ms = send_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.max_connections = max_connections
        self.max_connections_per_host = max_connections_per_host


class ClientLimits:
    """Limits of a client for one server.

    Attributes:
        max_connections: Maximum number of connections; further requests wait.
        connect_timeout_ms: Maximum time for opening a connection.
        silence_timeout_ms: Maximum time between two reads of the response; None
            if each request is bounded by its caller.
        send_timeout_ms: Maximum time for sending a request.
        idle_timeout_ms: Maximum idle time of a pooled connection.
        max_head_bytes: Maximum size of the head of a response, with the
            informational responses before it.
        max_framing_bytes: Maximum size of what frames the body of a response,
            beyond half of the body.
    """

    __slots__ = (
        'max_connections',
        'connect_timeout_ms',
        'silence_timeout_ms',
        'send_timeout_ms',
        'idle_timeout_ms',
        'max_head_bytes',
        'max_framing_bytes',
    )

    def __init__(
        self,
        *,
        max_connections: int = 256,
        connect_timeout_ms: int = 1000,
        silence_timeout_ms: int | None = 5000,
        send_timeout_ms: int = 5000,
        idle_timeout_ms: int = 30_000,
        max_head_bytes: int = 64 * 1024,
        max_framing_bytes: int = 256 * 1024,
    ) -> None:
        self.max_connections = max_connections
        self.connect_timeout_ms = connect_timeout_ms
        self.silence_timeout_ms = silence_timeout_ms
        self.send_timeout_ms = send_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.max_head_bytes = max_head_bytes
        self.max_framing_bytes = max_framing_bytes
