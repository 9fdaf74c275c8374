"""Records latency and outcome of a request for its service's objectives."""

import trio

from siskinmount import configuration
from siskinmount import results
from siskinmount import telemetry

#: Failures caused by the caller do not count against the service.
_CALLER_FAULT_CODES = frozenset(
    (
        results.ResultCode.CALLER_OVER_LIMIT,
        results.ResultCode.REQUEST_CONVICTED,
        results.ResultCode.INVALID_FIELD,
        results.ResultCode.MALFORMED_REQUEST,
    )
)


class LatencyRecorder:
    """Records the latencies of one request in the daemon's histograms."""

    __slots__ = (
        '_histograms',
        '_service',
        '_arrived_s',
        '_last_token_s',
    )

    def __init__(
        self, histograms: telemetry.Histograms, arrived_s: float
    ) -> None:
        self._histograms = histograms
        self._service = ''
        self._arrived_s = arrived_s
        self._last_token_s: float | None = None

    def start_request(self, service: str) -> None:
        """Starts the measurement of a request to a service."""
        self._service = service

    def end_request(self) -> None:
        """Ends the measurement."""
        self._last_token_s = None

    def record_token(self) -> None:
        """Records the latency of a token that has just arrived."""
        now_s = trio.current_time()
        if self._last_token_s is None:
            self._record(
                configuration.ObjectiveMeasure.FIRST_TOKEN,
                now_s - self._arrived_s,
            )
        else:
            self._record(
                configuration.ObjectiveMeasure.BETWEEN_TOKENS,
                now_s - self._last_token_s,
            )
        self._last_token_s = now_s

    def record_success(self) -> None:
        """Records that the complete response was sent."""
        self._record(
            configuration.ObjectiveMeasure.WHOLE_ANSWER,
            trio.current_time() - self._arrived_s,
        )
        self._record_outcome(is_good=True)

    def record_failure(self, failure: results.Failure) -> None:
        """Records a failed request, unless the caller caused the failure."""
        if failure.code in _CALLER_FAULT_CODES:
            return
        self._record_outcome(is_good=False)

    def _record(
        self, measure: configuration.ObjectiveMeasure, duration_s: float
    ) -> None:
        self._histograms.record(self._service, measure.value, duration_s * 1000)

    def _record_outcome(self, is_good: bool) -> None:
        self._histograms.record_outcome(
            self._service,
            configuration.ObjectiveMeasure.AVAILABILITY.value,
            is_good,
        )
