"""Serves completions and chat completions."""

import logging

import trio

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount import routing
from siskinmount import transport
from siskinmount.entry import _error_responses
from siskinmount.entry import _latency_recorder
from siskinmount.entry import _model_request
from siskinmount.entry import _request_execution
from siskinmount.entry import _request_identity
from siskinmount.entry import _response_formatter
from siskinmount.entry import _run_request
from siskinmount.entry import _stream_writer
from siskinmount.entry import _upstream_access

_LOGGER = logging.getLogger(__name__)


async def serve_model_call(
    access: _upstream_access.UpstreamAccess,
    recorder: _latency_recorder.LatencyRecorder,
    exchange: transport.ServerExchange,
    caller: configuration.CallerPolicy,
    request: _model_request.ModelRequest,
    identity: _request_identity.RequestIdentity,
) -> None:
    """Executes a request and sends its response."""
    deadline_s = trio.current_time() + request.service.deadline_ms / 1000
    run_request = _run_request.RunRequest(
        request_id=identity.request_id,
        service=request.service,
        request_class=configuration.RequestClass.ONLINE,
        affinity_key=routing.create_affinity_key(
            request.service.name, request.session, request.content_text()
        ),
        fingerprint=request.fingerprint(),
        deadline_s=deadline_s,
        idempotent=True,
        caller=caller.name,
        first_token=identity.first_token,
        answer_so_far=request.answer_so_far,
        answer_version=request.answer_version,
        model=request,
    )
    access.retries.earn(request.service.name)
    execution = _request_execution.RequestExecution(access, run_request)
    formatter = _response_formatter.ResponseFormatter(
        request, identity.request_id
    )
    recorder.start_request(request.service.name)
    ended = False
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, exchange, nursery)
            if request.stream:
                await _send_stream(
                    execution, formatter, recorder, exchange, nursery
                )
            else:
                await _send_json_response(
                    execution, formatter, recorder, exchange
                )
            nursery.cancel_scope.cancel()
            ended = True
    finally:
        if ended or identity.key is not None:
            execution.close()
        else:
            await execution.abandon()
        recorder.end_request()


async def _cancel_on_disconnect(
    exchange: transport.ServerExchange, nursery: trio.Nursery
) -> None:
    """Cancels the request when its caller disconnects."""
    await exchange.wait_disconnected()
    nursery.cancel_scope.cancel()


async def _send_stream(
    execution: _request_execution.RequestExecution,
    formatter: _response_formatter.ResponseFormatter,
    recorder: _latency_recorder.LatencyRecorder,
    exchange: transport.ServerExchange,
    nursery: trio.Nursery,
) -> None:
    """Streams the response as server-sent events while it is generated."""
    writer = _stream_writer.StreamWriter(
        exchange, [(b'x-request-id', formatter.request_id.encode('ascii'))]
    )
    nursery.start_soon(writer.run_keep_alive)
    while True:
        frames = await execution.receive_frames()
        if isinstance(frames, results.Failure):
            recorder.record_failure(frames)
            _log_end(formatter.request_id, execution, frames.code)
            if not writer.started:
                await _error_responses.send_failure(
                    exchange, frames, formatter.request_id
                )
                return
            await writer.write(formatter.format_failure(frames))
            await writer.finish()
            return
        events: list[bytes] = []
        ended = False
        for frame in frames:
            if isinstance(frame, relay.TokenFrame):
                recorder.record_token()
                formatter.software_version = execution.software_version
                events.append(formatter.format_token(frame.index, frame.text))
                continue
            if isinstance(frame, relay.EndFrame):
                events.append(formatter.format_end(frame))
                ended = True
        if events:
            await writer.write(b''.join(events))
        if ended:
            await writer.finish()
            recorder.record_success()
            _log_end(formatter.request_id, execution, results.ResultCode.OK)
            return


async def _send_json_response(
    execution: _request_execution.RequestExecution,
    formatter: _response_formatter.ResponseFormatter,
    recorder: _latency_recorder.LatencyRecorder,
    exchange: transport.ServerExchange,
) -> None:
    """Sends the response as one JSON body when it is complete."""
    while True:
        frames = await execution.receive_frames()
        if isinstance(frames, results.Failure):
            recorder.record_failure(frames)
            _log_end(formatter.request_id, execution, frames.code)
            await _error_responses.send_failure(
                exchange, frames, formatter.request_id
            )
            return
        for frame in frames:
            if isinstance(frame, relay.TokenFrame):
                recorder.record_token()
                continue
            if not isinstance(frame, relay.EndFrame):
                continue
            await exchange.send_json(
                200,
                formatter.format_response(
                    execution.token_texts, frame, execution.software_version
                ),
                [(b'x-request-id', formatter.request_id.encode('ascii'))],
            )
            recorder.record_success()
            _log_end(formatter.request_id, execution, results.ResultCode.OK)
            return


def _log_end(
    request_id: str,
    execution: _request_execution.RequestExecution,
    code: results.ResultCode,
) -> None:
    _LOGGER.info(
        'request_ended',
        extra={
            'request_id': request_id,
            'code': int(code),
            'upstream_vm': execution.upstream_vm,
            'attempts': execution.attempts,
            'tokens': len(execution.token_texts),
        },
    )
