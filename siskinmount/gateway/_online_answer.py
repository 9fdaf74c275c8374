"""The answer to a caller, of an upstream or of our own."""

import logging

import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _failure_answers
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _online_request
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: Statuses that promise callers that nothing has run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class WholeAnswer:
    """An upstream's answer that was read to its end.

    Attributes:
        status: Its status.
        headers: Its headers.
        body: Its body.
    """

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: transport.Headers, body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class OnlineAnswer:
    """Gives a caller its answer, and logs how the request ended."""

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

    async def pass_whole(self, whole: WholeAnswer) -> None:
        """Passes an upstream's whole answer on."""
        if whole.status in _NOT_RUN_STATUSES:
            # The upstream has run it, so these would say what is not true.
            await self.fail(
                results.Failure(
                    results.ResultCode.UPSTREAM_ERROR,
                    f'the upstream answered {whole.status}',
                    results.RunState.UNKNOWN,
                )
            )
            return
        self._note_first_byte()
        # An answer that is there is delivered, also when the time is over; the
        # exchange bounds how long that takes.
        with trio.CancelScope(shield=True):
            await self._request.exchange.send_whole(
                whole.status,
                self._wire.build_answer_headers(whole.headers),
                whole.body,
            )
        self._note_end(str(whole.status), 'upstream')

    async def send_events(
        self, answer: transport.ClientExchange, data: bytes
    ) -> None:
        """Passes whole events on, after the head if they are the first.

        Args:
            answer: The stream that they came with.
            data: The events' bytes as they came; may be empty.
        """
        exchange = self._request.exchange
        if not self._request.has_begun:
            self._note_first_byte()
            await exchange.start_stream(
                answer.status,
                self._wire.build_answer_headers(answer.headers),
            )
        elif self._request.attempts:
            self._metrics.resumes.increment()
        if data:
            await exchange.send_chunk(data)

    async def finish_stream(self, answer: transport.ClientExchange) -> None:
        """Ends a stream whose last event has been passed on."""
        if not self._request.has_begun:
            await self.send_events(answer, b'')
        await self._request.exchange.finish()
        self._note_end('200', 'stream')

    async def fail(self, failure: results.Failure) -> None:
        """Gives the caller the final answer.

        Raises:
            trio.BrokenResourceError: The answer had begun and cannot go on; the
                caller's connection must be closed.
        """
        if self._request.has_begun:
            self._note_end('cut', failure.reason, failure)
            raise trio.BrokenResourceError('the stream cannot go on')
        status = await _failure_answers.send_failure(
            self._request.exchange,
            self._wire,
            failure,
            self._request.request_id,
        )
        self._note_end(str(status), failure.reason, failure)

    def _note_first_byte(self) -> None:
        request = self._request
        self._first_byte_at_s = trio.current_time()
        first_ms = (self._first_byte_at_s - request.began_at_s) * 1000
        self._metrics.histograms.record(
            request.route.name, 'first_byte', first_ms
        )

    def _note_end(
        self, status: str, reason: str, failure: results.Failure | None = None
    ) -> None:
        """Logs the one line that says how a request ended."""
        request = self._request
        self._metrics.answers.increment(request.route.kind.value, status)
        first_ms: int | None = None
        if self._first_byte_at_s is not None:
            first_ms = int((self._first_byte_at_s - request.began_at_s) * 1000)
        _LOGGER.info(
            'request_ended',
            extra={
                'request_id': request.request_id,
                'route': request.route.name,
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
