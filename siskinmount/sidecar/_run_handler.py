"""Handles the entries' requests to run, attach to and cancel a request."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from siskinmount.sidecar import _gate
from siskinmount.sidecar import _request_registry
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _running_request
from siskinmount.sidecar import _upstream_monitor

KEEP_ALIVE_INTERVAL_S = 1.0
FIRST_FRAME_WAIT_S = 1.0
READER_RECONNECT_S = 10.0
FRAMES_PER_CHUNK = 256
UNREACHABLE_RETRY_AFTER_MS = 1000

_KEEP_ALIVE = relay.encode_frame(relay.KeepAliveFrame())

StartTask = Callable[..., None]


class RunHandler:
    """Starts requests, attaches readers to them, and cancels them.

    Attributes:
        started_count: Requests started for entries, in total.
        attached_count: Readers attached to an existing request, in total.
    """

    __slots__ = (
        'started_count',
        'attached_count',
        '_service',
        '_gate',
        '_registry',
        '_monitor',
        '_run',
        '_start_task',
        '_answer_headers',
    )

    def __init__(
        self,
        *,
        service: str,
        gate: _gate.Gate,
        registry: _request_registry.RequestRegistry,
        monitor: _upstream_monitor.UpstreamMonitor,
        run: Callable[[_running_request.RunningRequest], Awaitable[None]],
        start_task: StartTask,
        answer_headers: Callable[[], transport.Headers],
    ) -> None:
        self.started_count = 0
        self.attached_count = 0
        self._service = service
        self._gate = gate
        self._registry = registry
        self._monitor = monitor
        self._run = run
        self._start_task = start_task
        self._answer_headers = answer_headers

    async def handle_run(
        self, exchange: transport.ServerExchange, service: str
    ) -> None:
        """Answers `POST /run/{service}`."""
        data = await exchange.read_body()
        if isinstance(data, results.Failure):
            await self._refuse(exchange, data)
            return
        if service != self._service:
            await self._refuse(exchange, _no_such_service(service))
            return
        running = self._find_or_start(exchange.head, data)
        if isinstance(running, results.Failure):
            await self._refuse(exchange, running)
            return
        await self._serve_reader(exchange, running)

    async def handle_cancel(
        self, exchange: transport.ServerExchange, request_id: str
    ) -> None:
        """Answers `POST /cancel/{request_id}`."""
        data = await exchange.read_body()
        if isinstance(data, results.Failure):
            await self._refuse(exchange, data)
            return
        self._registry.remember_cancelled(request_id)
        running = self._registry.find(request_id)
        if running is None:
            await self._refuse(exchange, _no_such_request())
            return
        running.stop(_running_request.StopReason.CANCELLED)
        await exchange.send_json(
            200, {'cancelled': not running.ended}, self._answer_headers()
        )

    def _find_or_start(
        self, head: transport.RequestHead, data: bytes
    ) -> _running_request.RunningRequest | results.Failure:
        """Returns the request to read from, and starts it if it is new."""
        if head.find_header(relay.RelayHeader.ATTACH_ONLY) == '1':
            request_id = head.find_header(relay.RelayHeader.REQUEST_ID) or ''
            return self._registry.find(request_id) or _no_such_request()
        request = _run_request.parse_run_request(head, data)
        if isinstance(request, results.Failure):
            return request
        known = self._registry.find_attachable(request)
        if known is not None:
            self.attached_count += 1
            return known
        refusal = self._gate.find_refusal()
        if refusal is not None:
            return refusal
        if not self._monitor.reachable:
            return results.Failure(
                results.ResultCode.UPSTREAM_UNREACHABLE,
                'the upstream cannot be reached',
                retry_after_ms=UNREACHABLE_RETRY_AFTER_MS,
            )
        running = self._registry.add(request)
        if isinstance(running, results.Failure):
            return running
        self.started_count += 1
        self._start_task(self._run, running)
        return running

    async def _serve_reader(
        self,
        exchange: transport.ServerExchange,
        running: _running_request.RunningRequest,
    ) -> None:
        """Streams a request's output to one reader.

        A generation that no reader attaches to again is stopped.
        """
        running.reader_count += 1
        running.reader_generation += 1
        try:
            await self._stream_until_gone(exchange, running)
        finally:
            running.reader_count -= 1
            is_model = isinstance(running.request.body, _run_request.ModelBody)
            if not running.reader_count and not running.ended and is_model:
                self._start_task(self._stop_if_orphaned, running)

    async def _stop_if_orphaned(
        self, running: _running_request.RunningRequest
    ) -> None:
        """Stops a generation if no reader attaches in time."""
        generation = running.reader_generation
        await trio.sleep(READER_RECONNECT_S)
        if running.reader_generation == generation:
            running.stop(_running_request.StopReason.ORPHANED)

    async def _stream_until_gone(
        self,
        exchange: transport.ServerExchange,
        running: _running_request.RunningRequest,
    ) -> None:
        """Streams until the end, or until the reader disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_gone, exchange, nursery.cancel_scope
            )
            try:
                await self._stream(exchange, running)
            except trio.BrokenResourceError:
                pass
            nursery.cancel_scope.cancel()

    async def _stream(
        self,
        exchange: transport.ServerExchange,
        running: _running_request.RunningRequest,
    ) -> None:
        """Sends the head, then all frames up to the last one.

        Raises:
            trio.BrokenResourceError: The reader has disconnected or does not
                read.
        """
        with trio.move_on_after(FIRST_FRAME_WAIT_S):
            while not running.frames:
                await running.wait_change()
        failure = running.failure
        if (
            failure is not None
            and failure.run_state is results.RunState.NOT_RUN
        ):
            await self._refuse_with(
                exchange,
                relay.FailureFrame(
                    failure, running.upstream_generation, running.was_alone
                ),
            )
            return
        from_token = _find_from_token(exchange.head, running)
        await exchange.start_stream(200, self._answer_headers())
        for frame in running.list_frames_before_start(from_token):
            await exchange.send_chunk(relay.encode_frame(frame))
        is_version_told = False
        position = running.find_position(from_token)
        sent_at_s = trio.current_time()
        while True:
            frames = running.frames[position : position + FRAMES_PER_CHUNK]
            if frames:
                position += len(frames)
                if not is_version_told:
                    frames = _tell_version(frames, running.software_version)
                    is_version_told = True
                await exchange.send_chunk(
                    b''.join([relay.encode_frame(frame) for frame in frames])
                )
                sent_at_s = trio.current_time()
                continue
            if running.ended:
                break
            await running.wait_change()
            now_s = trio.current_time()
            is_quiet = position == len(running.frames)
            if is_quiet and now_s - sent_at_s >= KEEP_ALIVE_INTERVAL_S:
                await exchange.send_chunk(_KEEP_ALIVE)
                sent_at_s = now_s
        await exchange.finish()
        running.fully_read = True

    async def _refuse(
        self, exchange: transport.ServerExchange, failure: results.Failure
    ) -> None:
        """Answers a request that is not run with a failure."""
        await self._refuse_with(exchange, relay.FailureFrame(failure))

    async def _refuse_with(
        self, exchange: transport.ServerExchange, frame: relay.FailureFrame
    ) -> None:
        """Answers a request that is not run with a failure frame.

        The frame may report a crash of the upstream.
        """
        failure = frame.failure
        status = 503
        if failure.code in (
            results.ResultCode.NO_SUCH_REQUEST,
            results.ResultCode.NO_SUCH_SERVICE,
        ):
            status = 404
        if failure.code in (
            results.ResultCode.MALFORMED_REQUEST,
            results.ResultCode.BODY_TOO_LARGE,
        ):
            status = 400
        await exchange.send_json(
            status,
            {'error': relay.encode_failure(frame)},
            self._answer_headers(),
        )


def _tell_version(
    frames: list[relay.Frame], software_version: str
) -> list[relay.Frame]:
    """Returns the frames with the version on the first one, if a token."""
    first = frames[0]
    if not software_version or not isinstance(first, relay.TokenFrame):
        return frames
    told = relay.TokenFrame(first.index, first.text, software_version)
    return [told, *frames[1:]]


async def _cancel_when_gone(
    exchange: transport.ServerExchange, scope: trio.CancelScope
) -> None:
    """Cancels a scope once the client has disconnected."""
    await exchange.wait_disconnected()
    scope.cancel()


def _find_from_token(
    head: transport.RequestHead, running: _running_request.RunningRequest
) -> int:
    """Returns the index of the first token to send."""
    text = head.find_header(relay.RelayHeader.FROM_TOKEN)
    if text is not None and text.isascii() and text.isdigit():
        return int(text)
    if isinstance(running.request.body, _run_request.ModelBody):
        return len(running.request.body.resume_tokens)
    return 0


def _no_such_service(service: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.NO_SUCH_SERVICE,
        f'this sidecar has no upstream of service {service!r}',
    )


def _no_such_request() -> results.Failure:
    return results.Failure(
        results.ResultCode.NO_SUCH_REQUEST,
        'this sidecar knows no request with this id',
        results.RunState.UNKNOWN,
    )
