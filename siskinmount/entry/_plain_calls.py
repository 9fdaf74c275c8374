"""Serves calls to plain services."""

import logging

import orjson
import trio

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount import state
from siskinmount import transport
from siskinmount.entry import _error_responses
from siskinmount.entry import _key_service
from siskinmount.entry import _latency_recorder
from siskinmount.entry import _plain_response
from siskinmount.entry import _request_execution
from siskinmount.entry import _request_identity
from siskinmount.entry import _run_request
from siskinmount.entry import _upstream_access

_LOGGER = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
IN_PROGRESS_RETRY_MS = 500
#: Recorded for a call that may have run but whose response was lost.
UNKNOWN_OUTCOME = b''


class PlainCall:
    """A validated call to a plain service.

    Attributes:
        route: The route that the path matches.
        service: The service of the route.
        request: The request to send to the upstream.
        identity: Request identifier and idempotency key.
        fingerprint: Hash of service and content.
    """

    __slots__ = ('route', 'service', 'request', 'identity', 'fingerprint')

    def __init__(
        self,
        route: configuration.Route,
        service: configuration.Service,
        request: _run_request.PlainRequest,
        identity: _request_identity.RequestIdentity,
        fingerprint: str,
    ) -> None:
        self.route = route
        self.service = service
        self.request = request
        self.identity = identity
        self.fingerprint = fingerprint

    @property
    def idempotent(self) -> bool:
        """Whether the call may be repeated when its outcome is unknown."""
        return self.route.idempotent or self.request.method in ('GET', 'HEAD')


def parse_plain_call(
    document: configuration.ServiceDocument,
    caller: configuration.CallerPolicy,
    head: transport.RequestHead,
    body: bytes,
) -> PlainCall | results.Failure:
    """Finds the route of a call and validates the call."""
    route = find_allowed_route(document, head.method, head.path)
    if isinstance(route, results.Failure):
        return route
    request = _run_request.PlainRequest(
        head.method,
        head.target,
        _plain_response.filter_request_headers(head.headers),
        body,
    )
    fingerprint = relay.create_fingerprint(
        route.service, orjson.loads(request.encode())
    )
    identity = _request_identity.read_request_identity(
        caller, head, fingerprint
    )
    if isinstance(identity, results.Failure):
        return identity
    return PlainCall(
        route, document.services[route.service], request, identity, fingerprint
    )


def find_allowed_route(
    document: configuration.ServiceDocument, method: str, path: str
) -> configuration.Route | results.Failure:
    """Returns the route that allows a call."""
    if _has_dot_segment(path):
        return results.Failure(
            results.ResultCode.INVALID_FIELD,
            'the path must not contain . or .. segments',
        )
    route = find_route(document, path)
    if route is None:
        return results.Failure(
            results.ResultCode.NO_SUCH_ROUTE, f'no route for {path}'
        )
    if method not in route.methods:
        return results.Failure(
            results.ResultCode.METHOD_NOT_ALLOWED,
            f'{route.path_prefix} allows {", ".join(route.methods)}',
        )
    return route


def find_route(
    document: configuration.ServiceDocument, path: str
) -> configuration.Route | None:
    """Returns the first route whose prefix matches a path.

    The document lists routes with longer prefixes first.
    """
    for route in document.routes:
        if path.startswith(route.path_prefix):
            return route
        if path == route.path_prefix.rstrip('/'):
            return route
    return None


def _has_dot_segment(path: str) -> bool:
    """Returns whether a path has dot segments.

    An upstream could resolve them to a path that belongs to another route.
    """
    segments = path.replace('\\', '/').split('/')
    return '.' in segments or '..' in segments


async def serve_plain_call(
    access: _upstream_access.UpstreamAccess,
    keys: _key_service.KeyService,
    recorder: _latency_recorder.LatencyRecorder,
    exchange: transport.ServerExchange,
    caller: configuration.CallerPolicy,
    call: PlainCall,
) -> None:
    """Executes a call and sends its response.

    For a non-idempotent call with an idempotency key, the intent is recorded
    before the first byte is sent to an upstream, and the outcome before the
    response is sent. Without a key each resend is a separate call.
    """
    recorder.start_request(call.service.name)
    access.retries.earn(call.service.name)
    if not call.idempotent and call.identity.key is not None:
        response = await _run_once(access, keys, caller, call)
    else:
        response = await run_plain_call(access, caller, call)
    if isinstance(response, results.Failure):
        recorder.record_failure(response)
        await _error_responses.send_failure(
            exchange, response, call.identity.request_id
        )
        return
    await response.send(exchange, call.identity.request_id)
    recorder.record_success()


async def run_plain_call(
    access: _upstream_access.UpstreamAccess,
    caller: configuration.CallerPolicy,
    call: PlainCall,
) -> _plain_response.PlainResponse | results.Failure:
    """Executes a call and returns the complete response of an upstream."""
    deadline_s = trio.current_time() + call.service.deadline_ms / 1000
    execution = _request_execution.RequestExecution(
        access,
        _run_request.RunRequest(
            request_id=call.identity.request_id,
            service=call.service,
            request_class=call.route.request_class,
            affinity_key=None,
            fingerprint=call.fingerprint,
            deadline_s=deadline_s,
            idempotent=call.idempotent,
            caller=caller.name,
            plain=call.request,
        ),
    )
    try:
        response = await _collect_response(execution)
    finally:
        execution.close()
    code = results.ResultCode.OK
    if isinstance(response, results.Failure):
        code = response.code
    _LOGGER.info(
        'request_ended',
        extra={
            'request_id': call.identity.request_id,
            'code': int(code),
            'upstream_vm': execution.upstream_vm,
            'attempts': execution.attempts,
        },
    )
    return response


async def _collect_response(
    execution: _request_execution.RequestExecution,
) -> _plain_response.PlainResponse | results.Failure:
    """Receives frames until the response is complete."""
    head: relay.HeadFrame | None = None
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        frames = await execution.receive_frames()
        if isinstance(frames, results.Failure):
            return frames
        for frame in frames:
            if isinstance(frame, relay.HeadFrame):
                head = frame
                continue
            if isinstance(frame, relay.BodyFrame):
                size_bytes += len(frame.data)
                if size_bytes > MAX_RESPONSE_BYTES:
                    return results.Failure(
                        results.ResultCode.UPSTREAM_ERROR,
                        'the response of the upstream is too large',
                        results.RunState.RAN,
                    )
                parts.append(frame.data)
                continue
            if isinstance(frame, relay.EndFrame) and head is not None:
                return _plain_response.PlainResponse(
                    head.status,
                    _plain_response.filter_response_headers(head.headers),
                    b''.join(parts),
                )


async def _run_once(
    access: _upstream_access.UpstreamAccess,
    keys: _key_service.KeyService,
    caller: configuration.CallerPolicy,
    call: PlainCall,
) -> _plain_response.PlainResponse | results.Failure:
    """Executes a call at most once under its key.

    Returns the recorded response if the call has completed before.
    """
    key = call.identity.key or ''
    begin_outcome = await keys.begin(caller.name, key, call.fingerprint)
    if not isinstance(begin_outcome, state.Started):
        return _resolve_begin_outcome(begin_outcome)
    # The call continues if its caller disconnects, so that a resend finds the
    # outcome.
    with trio.CancelScope(shield=True):
        response = await run_plain_call(access, caller, call)
        if isinstance(response, _plain_response.PlainResponse):
            await keys.finish(
                caller.name, key, begin_outcome.attempt, response.encode()
            )
        elif response.run_state is results.RunState.NOT_RUN:
            await keys.abandon(caller.name, key, begin_outcome.attempt)
        else:
            await keys.finish(
                caller.name, key, begin_outcome.attempt, UNKNOWN_OUTCOME
            )
    return response


def _resolve_begin_outcome(
    begin_outcome: state.BeginOutcome,
) -> _plain_response.PlainResponse | results.Failure:
    """Returns the response to a call whose key is already in use."""
    if isinstance(begin_outcome, results.Failure):
        return begin_outcome
    if isinstance(begin_outcome, state.InProgress):
        return results.Failure(
            results.ResultCode.REQUEST_IN_PROGRESS,
            'a call with this key is in progress',
            results.RunState.UNKNOWN,
            retry_after_ms=IN_PROGRESS_RETRY_MS,
        )
    if isinstance(begin_outcome, state.KnownOutcome):
        if begin_outcome.outcome != UNKNOWN_OUTCOME:
            return _plain_response.decode_plain_response(begin_outcome.outcome)
    return results.Failure(
        results.ResultCode.OUTCOME_UNKNOWN,
        'a call with this key may have run; it is not sent again',
        results.RunState.UNKNOWN,
    )
