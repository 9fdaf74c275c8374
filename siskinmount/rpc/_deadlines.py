"""Time bounds of control calls."""


class ControlDeadlines:
    """Bounds that a control client keeps for each kind of call.

    Attributes:
        heartbeat_timeout_ms: One heartbeat.
        configuration_timeout_ms: One pull of the configuration.
        report_timeout_ms: One status or histograms call.
    """

    __slots__ = (
        'heartbeat_timeout_ms',
        'configuration_timeout_ms',
        'report_timeout_ms',
    )

    def __init__(
        self,
        *,
        heartbeat_timeout_ms: int = 1500,
        configuration_timeout_ms: int = 3000,
        report_timeout_ms: int = 5000,
    ) -> None:
        self.heartbeat_timeout_ms = heartbeat_timeout_ms
        self.configuration_timeout_ms = configuration_timeout_ms
        self.report_timeout_ms = report_timeout_ms
