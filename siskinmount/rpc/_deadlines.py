"""Deadlines of control calls."""


class ControlDeadlines:
    """Time-outs of a control client for each kind of call.

    Attributes:
        heartbeat_timeout_ms: Time-out of a heartbeat.
        configuration_timeout_ms: Time-out of a configuration request.
        report_timeout_ms: Time-out of a status or histograms request.
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
