"""Sends a caller the response of an upstream or an error of the gateway."""

import logging

import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _failure_responses
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _online_request
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: Statuses that promise a caller that the request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class BufferedResponse:
    """An upstream's response that was read to its end.

    Attributes:
        status: HTTP status.
        headers: Headers as the upstream sent them.
        body: The complete body.
    """

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: transport.Headers, body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class OnlineResponse:
    """Sends a caller its response, and logs how the request ended."""

    __slots__ = ('_request', '_wire', '_metrics', '_first_byte_at_s')

    def __init__(
        self,
        request: _online_request.OnlineRequest,
        wire: _wire.Wire,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._request = request
        self._wire = wire
        self._metrics = metrics
        self._first_byte_at_s: float | None = None

    async def send_buffered(self, buffered: BufferedResponse) -> None:
        """Sends the caller an upstream's response.

        A status that promises that the request has not run is replaced by a
        failure.
        """
        if buffered.status in _NOT_RUN_STATUSES:
            # The upstream has run the request, so the promise would be false.
            await self.fail(
                results.Failure(
                    results.ResultCode.UPSTREAM_ERROR,
                    f'upstream ran the request, answered {buffered.status}',
                    results.RunState.UNKNOWN,
                )
            )
            return
        self._record_first_byte()
        # A response that has arrived is delivered even after the deadline; the
        # exchange bounds the time that this takes.
        with trio.CancelScope(shield=True):
            await self._request.exchange.send_whole(
                buffered.status,
                self._wire.build_answer_headers(buffered.headers),
                buffered.body,
            )
        self._record_end(str(buffered.status), 'upstream')

    async def send_events(
        self, response: transport.ClientExchange, data: bytes
    ) -> None:
        """Sends complete events; before the first, also the response head.

        Args:
            response: The upstream's response that the events are part of.
            data: The events' bytes, unchanged; may be empty.
        """
        exchange = self._request.exchange
        if not self._request.response_started:
            self._record_first_byte()
            await exchange.start_stream(
                response.status,
                self._wire.build_answer_headers(response.headers),
            )
        elif self._request.attempts:
            self._metrics.resumes.increment()
        if data:
            await exchange.send_chunk(data)

    async def finish_stream(self, response: transport.ClientExchange) -> None:
        """Ends a stream after its last event has been sent."""
        if not self._request.response_started:
            await self.send_events(response, b'')
        await self._request.exchange.finish()
        self._record_end('200', 'stream')

    async def fail(self, failure: results.Failure) -> None:
        """Sends the caller a failure as its final response.

        Raises:
            trio.BrokenResourceError: The response had begun and cannot be
                completed; the caller's connection must be closed.
        """
        if self._request.response_started:
            self._record_end('cut', failure.reason, failure)
            raise trio.BrokenResourceError('the stream cannot be completed')
        status = await _failure_responses.send_failure(
            self._request.exchange,
            self._wire,
            failure,
            self._request.request_id,
        )
        self._record_end(str(status), failure.reason, failure)

    def _record_first_byte(self) -> None:
        request = self._request
        self._first_byte_at_s = trio.current_time()
        first_ms = (self._first_byte_at_s - request.began_at_s) * 1000
        self._metrics.histograms.record(
            request.route.name, 'first_byte', first_ms
        )

    def _record_end(
        self, status: str, reason: str, failure: results.Failure | None = None
    ) -> None:
        """Counts the response and logs how the request ended."""
        request = self._request
        self._metrics.responses.increment(request.route.kind.value, status)
        first_ms: int | None = None
        if self._first_byte_at_s is not None:
            first_ms = int((self._first_byte_at_s - request.began_at_s) * 1000)
        _LOGGER.info(
            'request_ended',
            extra={
                'request_id': request.request_id,
                'route': request.route.name,
                'customer': request.customer,
                'status': status,
                'reason': reason,
                'code': int(failure.code) if failure else 0,
                'run_state': failure.run_state.value if failure else 'ran',
                'attempts': request.attempts,
                'not_run': request.not_run_count,
                'first_byte_ms': first_ms,
                'took_ms': request.get_elapsed_ms(),
                'target_ms': request.route.target_ms,
                'deadline_ms': int(
                    (request.deadline_s - request.began_at_s) * 1000
                ),
                'document_version': request.document_version,
            },
        )
