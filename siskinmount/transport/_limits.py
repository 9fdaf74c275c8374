"""Bounds on what one HTTP connection may hold and how long it may take."""


class ServerLimits:
    """Bounds that a server puts on its clients.

    Attributes:
        max_header_bytes: Request line and headers together.
        max_body_bytes: Bound of `ServerExchange.read_body`.
        header_timeout_ms: From the first byte of a request to its last header.
        body_timeout_ms: Between two reads of a request's body.
        send_timeout_ms: Longest time a client may leave one write unread.
        idle_timeout_ms: How long a kept-alive connection may stay unused.
        max_connections: All clients together.
        max_connections_per_host: One client host.
    """

    __slots__ = (
        'max_header_bytes',
        'max_body_bytes',
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
        header_timeout_ms: int = 10_000,
        body_timeout_ms: int = 15_000,
        send_timeout_ms: int = 15_000,
        idle_timeout_ms: int = 75_000,
        max_connections: int = 8192,
        max_connections_per_host: int = 4096,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.body_timeout_ms = body_timeout_ms
        self.send_timeout_ms = send_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.max_connections = max_connections
        self.max_connections_per_host = max_connections_per_host


class ClientLimits:
    """Bounds that a client keeps towards one server.

    Attributes:
        max_connections: Connections open at once; further requests wait.
        connect_timeout_ms: Bound on opening a connection.
        silence_timeout_ms: Longest time without a byte of the response.
        send_timeout_ms: Longest time for writing a request.
        idle_timeout_ms: How long an unused connection is kept.
    """

    __slots__ = (
        'max_connections',
        'connect_timeout_ms',
        'silence_timeout_ms',
        'send_timeout_ms',
        'idle_timeout_ms',
    )

    def __init__(
        self,
        *,
        max_connections: int = 256,
        connect_timeout_ms: int = 1000,
        silence_timeout_ms: int = 5000,
        send_timeout_ms: int = 5000,
        idle_timeout_ms: int = 30_000,
    ) -> None:
        self.max_connections = max_connections
        self.connect_timeout_ms = connect_timeout_ms
        self.silence_timeout_ms = silence_timeout_ms
        self.send_timeout_ms = send_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
