"""Serves callers: authenticates, routes and admits requests."""

from collections.abc import Callable

import trio

from siskinmount import admission
from siskinmount import configuration
from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.entry import _active_configuration
from siskinmount.entry import _authentication
from siskinmount.entry import _batch_api
from siskinmount.entry import _error_responses
from siskinmount.entry import _key_service
from siskinmount.entry import _latency_recorder
from siskinmount.entry import _model_calls
from siskinmount.entry import _model_request
from siskinmount.entry import _plain_calls
from siskinmount.entry import _request_identity
from siskinmount.entry import _upstream_access

COMPLETIONS_PATH = '/v1/completions'
CHAT_COMPLETIONS_PATH = '/v1/chat/completions'
HEALTH_PATH = '/healthz'
READY_PATH = '/readyz'
NO_CONFIGURATION_RETRY_MS = 2000


class CallersApi:
    """Handles every request on the callers' address."""

    __slots__ = (
        '_active_configuration',
        '_is_ready',
        '_access',
        '_keys',
        '_jobs',
        '_admission',
        '_histograms',
    )

    def __init__(
        self,
        *,
        active_configuration: _active_configuration.ActiveConfiguration,
        is_ready: Callable[[], bool],
        access: _upstream_access.UpstreamAccess,
        keys: _key_service.KeyService,
        jobs: _batch_api.BatchApi,
        admission_control: admission.Admission,
        histograms: telemetry.Histograms,
    ) -> None:
        self._active_configuration = active_configuration
        self._is_ready = is_ready
        self._access = access
        self._keys = keys
        self._jobs = jobs
        self._admission = admission_control
        self._histograms = histograms

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Answers one request."""
        path = exchange.head.path
        if path == HEALTH_PATH:
            await exchange.send_json(200, {'status': 'ok'})
            return
        document = self._active_configuration.document
        if path == READY_PATH:
            ready = self._is_ready()
            await exchange.send_json(200 if ready else 503, {'ready': ready})
            return
        if document is None:
            await _error_responses.send_failure(exchange, _no_configuration())
            return
        caller = _authentication.authenticate_caller(document, exchange.head)
        if isinstance(caller, results.Failure):
            await _error_responses.send_failure(exchange, caller)
            return
        await self._dispatch(exchange, document, caller)

    async def _dispatch(
        self,
        exchange: transport.ServerExchange,
        document: configuration.ServiceDocument,
        caller: configuration.CallerPolicy,
    ) -> None:
        """Routes an authenticated request to its handler."""
        path = exchange.head.path
        if path in (COMPLETIONS_PATH, CHAT_COMPLETIONS_PATH):
            if exchange.head.method != 'POST':
                await _error_responses.send_failure(
                    exchange, _method_not_allowed(path, 'POST')
                )
                return
            await self._serve_model_call(exchange, document, caller)
            return
        if _batch_api.is_batch_path(path):
            await self._jobs.serve(exchange, document, caller)
            return
        await self._serve_plain_call(exchange, document, caller)

    async def _serve_model_call(
        self,
        exchange: transport.ServerExchange,
        document: configuration.ServiceDocument,
        caller: configuration.CallerPolicy,
    ) -> None:
        """Serves a completion or chat completion request."""
        arrived_s = trio.current_time()
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await _error_responses.send_failure(exchange, body)
            return
        is_chat = exchange.head.path == CHAT_COMPLETIONS_PATH
        request = _model_request.parse_model_request(document, body, is_chat)
        if isinstance(request, results.Failure):
            await _error_responses.send_failure(exchange, request)
            return
        identity = _request_identity.read_request_identity(
            caller,
            exchange.head,
            request.fingerprint(),
            request.answer_so_far,
        )
        if isinstance(identity, results.Failure):
            await _error_responses.send_failure(exchange, identity)
            return
        ticket = self._admission.admit(
            caller, request.service.name, configuration.RequestClass.ONLINE
        )
        if isinstance(ticket, results.Failure):
            await _error_responses.send_failure(
                exchange, ticket, identity.request_id
            )
            return
        with ticket:
            await _model_calls.serve_model_call(
                self._access,
                _latency_recorder.LatencyRecorder(self._histograms, arrived_s),
                exchange,
                caller,
                request,
                identity,
            )

    async def _serve_plain_call(
        self,
        exchange: transport.ServerExchange,
        document: configuration.ServiceDocument,
        caller: configuration.CallerPolicy,
    ) -> None:
        """Serves a call to a plain service."""
        arrived_s = trio.current_time()
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await _error_responses.send_failure(exchange, body)
            return
        call = _plain_calls.parse_plain_call(
            document, caller, exchange.head, body
        )
        if isinstance(call, results.Failure):
            await _error_responses.send_failure(exchange, call)
            return
        ticket = self._admission.admit(
            caller, call.service.name, call.route.request_class
        )
        if isinstance(ticket, results.Failure):
            await _error_responses.send_failure(
                exchange, ticket, call.identity.request_id
            )
            return
        with ticket:
            await _plain_calls.serve_plain_call(
                self._access,
                self._keys,
                _latency_recorder.LatencyRecorder(self._histograms, arrived_s),
                exchange,
                caller,
                call,
            )


def _no_configuration() -> results.Failure:
    return results.Failure(
        results.ResultCode.NO_CONFIGURATION,
        'no configuration is active yet',
        retry_after_ms=NO_CONFIGURATION_RETRY_MS,
    )


def _method_not_allowed(path: str, methods: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.METHOD_NOT_ALLOWED, f'{path} allows {methods}'
    )
