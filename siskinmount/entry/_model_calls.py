"""Serves completions and chat completions."""

import logging

import trio

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount import routing
from siskinmount import transport
from siskinmount.entry import _answer_format
from siskinmount.entry import _answer_run
from siskinmount.entry import _error_answers
from siskinmount.entry import _latency_recorder
from siskinmount.entry import _model_request
from siskinmount.entry import _request_identity
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
    """Runs a request and sends its answer."""
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
        model=request,
    )
    access.retries.earn(request.service.name)
    run = _answer_run.AnswerRun(access, run_request)
    answer_format = _answer_format.AnswerFormat(request, identity.request_id)
    recorder.visit_request(request.service.name)
    ended = False
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, exchange, nursery)
            if request.stream:
                await _send_stream(
                    run, answer_format, recorder, exchange, nursery
                )
            else:
                await _send_whole(run, answer_format, recorder, exchange)
            nursery.cancel_scope.cancel()
            ended = True
    finally:
        if ended or identity.key is not None:
            run.close()
        else:
            await run.abandon()
        recorder.leave_request()


async def _cancel_on_disconnect(
    exchange: transport.ServerExchange, nursery: trio.Nursery
) -> None:
    """Ends the work for a caller that has gone."""
    await exchange.wait_disconnected()
    nursery.cancel_scope.cancel()


async def _send_stream(
    run: _answer_run.AnswerRun,
    answer_format: _answer_format.AnswerFormat,
    recorder: _latency_recorder.LatencyRecorder,
    exchange: transport.ServerExchange,
    nursery: trio.Nursery,
) -> None:
    """Sends the answer as server-sent events while it is generated."""
    writer = _stream_writer.StreamWriter(
        exchange, [(b'x-request-id', answer_format.request_id.encode('ascii'))]
    )
    nursery.start_soon(writer.run_keep_alive)
    while True:
        frames = await run.receive_frames()
        if isinstance(frames, results.Failure):
            recorder.note_failure(frames)
            _log_end(answer_format.request_id, run, frames.code)
            if not writer.started:
                await _error_answers.send_failure(
                    exchange, frames, answer_format.request_id
                )
                return
            await writer.write(answer_format.format_failure(frames))
            await writer.finish()
            return
        events: list[bytes] = []
        ended = False
        for frame in frames:
            if isinstance(frame, relay.TokenFrame):
                recorder.note_token()
                events.append(
                    answer_format.format_token(frame.index, frame.text)
                )
                continue
            if isinstance(frame, relay.EndFrame):
                events.append(answer_format.format_end(frame))
                ended = True
        if events:
            await writer.write(b''.join(events))
        if ended:
            await writer.finish()
            recorder.note_whole()
            _log_end(answer_format.request_id, run, results.ResultCode.OK)
            return


async def _send_whole(
    run: _answer_run.AnswerRun,
    answer_format: _answer_format.AnswerFormat,
    recorder: _latency_recorder.LatencyRecorder,
    exchange: transport.ServerExchange,
) -> None:
    """Sends the answer once it is whole."""
    while True:
        frames = await run.receive_frames()
        if isinstance(frames, results.Failure):
            recorder.note_failure(frames)
            _log_end(answer_format.request_id, run, frames.code)
            await _error_answers.send_failure(
                exchange, frames, answer_format.request_id
            )
            return
        for frame in frames:
            if isinstance(frame, relay.TokenFrame):
                recorder.note_token()
                continue
            if not isinstance(frame, relay.EndFrame):
                continue
            await exchange.send_json(
                200,
                answer_format.format_whole(run.token_texts, frame),
                [(b'x-request-id', answer_format.request_id.encode('ascii'))],
            )
            recorder.note_whole()
            _log_end(answer_format.request_id, run, results.ResultCode.OK)
            return


def _log_end(
    request_id: str, run: _answer_run.AnswerRun, code: results.ResultCode
) -> None:
    _LOGGER.info(
        'request_ended',
        extra={
            'request_id': request_id,
            'code': int(code),
            'upstream_vm': run.upstream_vm,
            'attempts': run.attempts,
            'tokens': len(run.token_texts),
        },
    )
