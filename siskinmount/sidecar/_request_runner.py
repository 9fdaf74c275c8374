"""Runs requests at the upstream once the gate admits them."""

from collections.abc import Callable
import logging

import trio

from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _crash_history
from siskinmount.sidecar import _gate
from siskinmount.sidecar import _gate_load
from siskinmount.sidecar import _prompt_size
from siskinmount.sidecar import _request_failures
from siskinmount.sidecar import _request_registry
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _running_request
from siskinmount.sidecar import _upstream_monitor
from siskinmount.sidecar import _upstreams

_LOGGER = logging.getLogger(__name__)

DEFAULT_PLAIN_TIMEOUT_MS = 120_000
MAX_RECONNECTS = 2
MAX_SILENCES_BEFORE_FIRST_TOKEN = 6
CANCEL_TIMEOUT_S = 2.0
MAX_OUTPUT_BYTES = 32 * 1024 * 1024

_CONNECTION_FAULTS = (
    results.ResultCode.UPSTREAM_LOST,
    results.ResultCode.UPSTREAM_SILENT,
)


class RequestRunner:
    """Admits requests through the gate and runs them at the upstream.

    Attributes:
        reconnect_count: Streams resumed over a new connection, in total.
        crashes: Requests that were at the upstream when it crashed.
        plain_timeout_ms: Timeout of a plain call without a deadline.
    """

    __slots__ = (
        'reconnect_count',
        '_gate',
        '_registry',
        '_monitor',
        '_model_upstream',
        '_plain_upstream',
        '_record_gap',
        'crashes',
        'plain_timeout_ms',
        '_prompt_sizes',
        '_software',
    )

    def __init__(
        self,
        *,
        gate: _gate.Gate,
        registry: _request_registry.RequestRegistry,
        monitor: _upstream_monitor.UpstreamMonitor,
        model_upstream: _upstreams.ModelUpstream,
        plain_upstream: _upstreams.PlainUpstream,
        on_crash: Callable[[], None] = lambda: None,
        record_gap: Callable[[float, int], None],
    ) -> None:
        self.reconnect_count = 0
        self._gate = gate
        self._registry = registry
        self._monitor = monitor
        # Process of the upstream and the version that it was seen to run.
        self._software: tuple[int, str] = (-1, '')
        self._model_upstream = model_upstream
        self._plain_upstream = plain_upstream
        self._record_gap = record_gap
        self.crashes = _crash_history.CrashHistory(on_crash)
        self.plain_timeout_ms = DEFAULT_PLAIN_TIMEOUT_MS
        self._prompt_sizes = _prompt_size.PromptSizeEstimator()

    async def run(self, running: _running_request.RunningRequest) -> None:
        """Runs a request until its last frame is appended."""
        deadline_ms = running.request.deadline_ms
        if deadline_ms is not None:
            running.scope.deadline = trio.current_time() + deadline_ms / 1000
        failure: results.Failure | None = None
        try:
            with running.scope:
                failure = await self._run_through_gate(running)
        except Exception:
            _LOGGER.exception(
                'request_faulted',
                extra={
                    'code': int(results.ResultCode.INTERNAL),
                    'request_id': running.request.request_id,
                },
            )
            failure = results.Failure(
                results.ResultCode.INTERNAL,
                'internal error',
                _request_failures.determine_run_state(running),
            )
        if not running.ended:
            frame = _request_failures.create_failure_frame(
                running,
                failure or _request_failures.create_stop_failure(running),
            )
            if frame.failure.code is results.ResultCode.UPSTREAM_LOST:
                self.crashes.record(
                    running.request.fingerprint,
                    frame.upstream_generation,
                    frame.was_alone,
                )
            running.append(frame)
        self._registry.mark_ended(running)

    async def _run_through_gate(
        self, running: _running_request.RunningRequest
    ) -> results.Failure | None:
        """Waits for admission, then runs; returns why there is no answer."""
        ticket = self._create_ticket(running)
        refusal = await self._gate.admit(ticket)
        if refusal is not None:
            return refusal
        try:
            if not running.request.may_start():
                return results.Failure(
                    results.ResultCode.OWNERSHIP_LOST, 'the lease has expired'
                )
            if isinstance(running.request.body, _run_request.PlainBody):
                return await self._run_plain(running, running.request.body)
            crash = self.crashes.find(running.request.fingerprint)
            if crash is not None:
                running.upstream_generation = crash.generation
                running.was_alone = crash.was_alone
                return _request_failures.create_suspect_failure()
            return await self._run_model(running, running.request.body, ticket)
        finally:
            if running.sent_to_upstream:
                running.was_alone = ticket.was_alone
            try:
                await self._stop_at_upstream(running)
            finally:
                self._gate.release(ticket)

    def _create_ticket(
        self, running: _running_request.RunningRequest
    ) -> _gate_load.Ticket:
        """Creates the gate's ticket for a request."""
        request = running.request
        resumed = False
        preemptible = False
        if isinstance(request.body, _run_request.ModelBody):
            resumed = bool(request.body.resume_tokens)
            preemptible = not request.is_online
        return _gate_load.Ticket(
            online=request.is_online,
            solo=request.solo,
            prompt_tokens=self._prompt_sizes.estimate(request),
            resumed=resumed,
            preemptible=preemptible,
            at_most_once=request.at_most_once,
            preempt=lambda: running.stop(_running_request.StopReason.PREEMPTED),
        )

    async def _stop_at_upstream(
        self, running: _running_request.RunningRequest
    ) -> None:
        """Cancels an unfinished generation at the engine."""
        is_model = isinstance(running.request.body, _run_request.ModelBody)
        if running.ended or not running.sent_to_upstream or not is_model:
            return
        running.stopped_at_upstream = False
        with trio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
            failure = await self._model_upstream.cancel(
                running.request.request_id
            )
            running.stopped_at_upstream = failure is None

    async def _run_model(
        self,
        running: _running_request.RunningRequest,
        body: _run_request.ModelBody,
        ticket: _gate_load.Ticket,
    ) -> results.Failure | None:
        """Generates, and resumes over a new connection if one is lost."""
        reconnects = 0
        while True:
            running.upstream_generation = self._monitor.generation
            failure = await self._generate(running, body, ticket)
            if failure is None:
                return None
            if failure.code is results.ResultCode.STREAM_VERSION_UNAVAILABLE:
                return failure
            if failure.run_state is results.RunState.NOT_RUN:
                self._monitor.mark_unreachable(failure)
                return _request_failures.correct_run_state(failure, running)
            if failure.code not in _CONNECTION_FAULTS:
                return failure
            failure = await self._diagnose_loss(failure, running)
            process_ended = failure.code is results.ResultCode.UPSTREAM_LOST
            if process_ended or not self._monitor.is_answering:
                return failure
            if reconnects == MAX_RECONNECTS:
                return failure
            reconnects += 1
            self.reconnect_count += 1
            self._gate.rate_limit.record_send()
            _LOGGER.info(
                'stream_reconnected',
                extra={
                    'request_id': running.request.request_id,
                    'code': int(failure.code),
                },
            )
            await self._stop_at_upstream(running)
            if running.request.at_most_once and not running.stopped_at_upstream:
                return failure

    async def _diagnose_loss(
        self,
        failure: results.Failure,
        running: _running_request.RunningRequest,
    ) -> results.Failure:
        """Determines why a connection broke or went silent.

        Returns:
            A failure with code `UPSTREAM_LOST` only if the upstream's process
            has exited since the request was sent.
        """
        found = await self._monitor.check_after_loss()
        run_state = _request_failures.determine_run_state(running)
        unreachable = (
            found is not None
            and found.code is results.ResultCode.UPSTREAM_UNREACHABLE
        )
        replaced = self._monitor.generation != running.upstream_generation
        if unreachable or replaced:
            return results.Failure(
                results.ResultCode.UPSTREAM_LOST,
                'the process of the upstream has exited',
                run_state,
            )
        code = results.ResultCode.UPSTREAM_SILENT
        if failure.code is results.ResultCode.UPSTREAM_LOST:
            code = results.ResultCode.UPSTREAM_ERROR
        return results.Failure(code, failure.reason, run_state)

    def get_software_version(self) -> str | None:
        """Returns what the upstream's process was seen to run.

        It is None before the first response of that process, and empty if it
        names no version.
        """
        generation, version = self._software
        return version if generation == self._monitor.generation else None

    async def _generate(
        self,
        running: _running_request.RunningRequest,
        body: _run_request.ModelBody,
        ticket: _gate_load.Ticket,
    ) -> results.Failure | None:
        """Appends the frames of one stream; returns why it ended early."""
        tokens = running.collect_tokens()
        known = self.get_software_version()
        if tokens and known is not None and known != running.software_version:
            return _request_failures.create_version_failure(running, known)
        was_sent = running.sent_to_upstream
        running.sent_to_upstream = True
        stream = await self._model_upstream.start(
            running.request.request_id, body, tokens
        )
        if isinstance(stream, results.Failure):
            not_run = stream.run_state is results.RunState.NOT_RUN
            running.sent_to_upstream = was_sent or not not_run
            return stream
        try:
            self._software = (
                running.upstream_generation,
                stream.software_version,
            )
            if tokens and stream.software_version != running.software_version:
                return _request_failures.create_version_failure(
                    running, stream.software_version
                )
            running.software_version = stream.software_version
            return await self._copy_tokens(
                running, ticket, stream, len(tokens), body.max_tokens
            )
        finally:
            stream.close()

    async def _copy_tokens(
        self,
        running: _running_request.RunningRequest,
        ticket: _gate_load.Ticket,
        stream: _upstreams.UpstreamStream,
        next_index: int,
        max_tokens: int,
    ) -> results.Failure | None:
        """Appends frames until the end; returns why a stream has no end."""
        silences = 0
        first_index = next_index
        received_at_s = trio.current_time()
        while True:
            frames = await stream.receive()
            if isinstance(frames, results.Failure):
                silent = frames.code is results.ResultCode.UPSTREAM_SILENT
                silences += 1
                may_be_queued = next_index == first_index
                if not silent or not may_be_queued:
                    return frames
                if silences > MAX_SILENCES_BEFORE_FIRST_TOKEN:
                    return frames
                if await self._monitor.check() is not None:
                    return frames
                continue
            count = 0
            for frame in frames:
                if isinstance(frame, relay.TokenFrame):
                    if frame.index < next_index:
                        continue
                    if frame.index > next_index:
                        return _request_failures.create_gap_failure(
                            next_index, frame.index
                        )
                    next_index += 1
                    count += 1
                running.append(frame)
            if running.ended:
                self._update_prompt_size(running)
                return None
            if next_index > max_tokens or running.size_bytes > MAX_OUTPUT_BYTES:
                return results.Failure(
                    results.ResultCode.UPSTREAM_ERROR,
                    'the answer is longer than asked for',
                    results.RunState.RAN,
                )
            if not count:
                continue
            now_s = trio.current_time()
            if not ticket.is_prefilling:
                self._record_gap(now_s - received_at_s, count)
            received_at_s = now_s
            self._gate.record_tokens(ticket, count)

    def _update_prompt_size(
        self, running: _running_request.RunningRequest
    ) -> None:
        """Updates the size estimator with the prompt's actual token count."""
        end = running.last_frame
        if isinstance(end, relay.EndFrame):
            self._prompt_sizes.update(running.request, end.prompt_tokens)

    async def _run_plain(
        self,
        running: _running_request.RunningRequest,
        body: _run_request.PlainBody,
    ) -> results.Failure | None:
        """Sends a plain request once; returns why there is no answer."""
        if running.request.deadline_ms is None:
            # A slow call cannot be told from one on a silent connection, and a
            # batch item has no deadline.
            running.scope.deadline = (
                trio.current_time() + self.plain_timeout_ms / 1000
            )
        running.upstream_generation = self._monitor.generation
        failure = await self._exchange_plain(running, body)
        if failure is None:
            return None
        if failure.run_state is results.RunState.NOT_RUN:
            self._monitor.mark_unreachable(failure)
            return failure
        if failure.code not in _CONNECTION_FAULTS:
            return failure
        return await self._diagnose_loss(failure, running)

    async def _exchange_plain(
        self,
        running: _running_request.RunningRequest,
        body: _run_request.PlainBody,
    ) -> results.Failure | None:
        """Sends a plain request and appends the frames of its answer."""
        running.sent_to_upstream = True
        stream = await self._plain_upstream.start(
            running.request.request_id, body
        )
        if isinstance(stream, results.Failure):
            not_run = stream.run_state is results.RunState.NOT_RUN
            running.sent_to_upstream = not not_run
            return stream
        try:
            while not running.ended:
                frames = await stream.receive()
                if isinstance(frames, results.Failure):
                    return frames
                for frame in frames:
                    running.append(frame)
                if running.size_bytes > MAX_OUTPUT_BYTES:
                    return results.Failure(
                        results.ResultCode.UPSTREAM_ERROR,
                        f'the answer is larger than {MAX_OUTPUT_BYTES} bytes',
                        results.RunState.RAN,
                    )
        finally:
            stream.close()
        return None
