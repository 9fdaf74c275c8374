"""Routes callers' requests to online upstreams or to the jobs API."""

from collections.abc import Awaitable
import logging

import trio

from siskinmount import fleet
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _customer_check
from siskinmount.gateway import _failure_responses
from siskinmount.gateway import _jobs_api
from siskinmount.gateway import _online_context
from siskinmount.gateway import _online_handler
from siskinmount.gateway import _online_request
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

NO_DOCUMENT_RETRY_MS = 500


class CallersApi:
    """Handles callers' requests."""

    __slots__ = ('_view', '_context', '_jobs_api', '_customer_check')

    def __init__(
        self,
        view: fleet.FleetView,
        context: _online_context.OnlineContext,
        jobs_api: _jobs_api.JobsApi,
    ) -> None:
        self._view = view
        self._context = context
        self._jobs_api = jobs_api
        self._customer_check = context.customer_check

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Answers one request.

        Raises:
            trio.BrokenResourceError: The caller has disconnected, or a response
                that had begun cannot be completed; the connection must be
                closed.
        """
        head = exchange.head
        wire = self._context.wire
        request = wire.read_caller_request(head)
        call = wire.find_job_call(head)
        if isinstance(call, results.Failure):
            await self._refuse(exchange, request, call)
            return
        document = self._view.document
        if document is None:
            await self._refuse(exchange, request, _NO_DOCUMENT)
            return
        if call is not None:
            await self._handle_job_call(exchange, request, call)
            return
        route = _find_route(document, head)
        if route is None:
            failure = results.Failure(
                results.ResultCode.NO_SUCH_ROUTE,
                f'no route in document version {document.version}',
            )
            await self._refuse(exchange, request, failure)
            return
        caller = self._customer_check.admit(route, wire.read_key(head))
        if isinstance(caller, _customer_check.CustomerRefusal):
            await self._refuse_customer(exchange, request, caller)
            return
        online: _online_request.OnlineRequest | None = None
        try:
            body = await exchange.read_body()
            if isinstance(body, results.Failure):
                await self._refuse(exchange, request, body, caller.name)
                return
            if route.kind is fleet.RouteKind.BATCH:
                await self._run_job_call(
                    exchange,
                    request,
                    self._jobs_api.submit(
                        exchange, request, route, body, caller
                    ),
                    caller.name,
                )
                return
            online = _online_request.OnlineRequest(
                exchange,
                route,
                request,
                body,
                document.version,
                trio.current_time(),
                caller,
            )
            run = _online_handler.create_online_handler(self._context, online)
            await self._run_until_disconnect(
                exchange, request, run.run(), caller.name
            )
        finally:
            if online is None or not online.may_have_run:
                caller.give_back()

    async def _handle_job_call(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: _wire.JobCall,
    ) -> None:
        """Handles a call on a job, which needs a key of its customer."""
        caller = self._customer_check.identify(
            self._context.wire.read_key(exchange.head)
        )
        if isinstance(
            caller, _customer_check.CustomerRefusal
        ) and not self._jobs_api.may_need_no_key(call):
            if not self._jobs_api.is_log_loaded:
                # The job may be one that needs no key.
                caller.failure = _JOBS_NOT_LOADED
            await self._refuse_customer(exchange, request, caller)
            return
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await self._refuse(exchange, request, body)
            return
        await self._run_job_call(
            exchange,
            request,
            self._jobs_api.handle_call(exchange, request, call, caller),
            caller.name,
        )

    async def _run_job_call(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        work: Awaitable[None],
        customer: str,
    ) -> None:
        """Runs a call on jobs; answers it also if the process stops first."""
        shutdown = self._context.shutdown
        with trio.CancelScope() as scope:
            shutdown.open(scope)
            try:
                await self._run_until_disconnect(
                    exchange, request, work, customer
                )
            finally:
                shutdown.close(scope)
        if not scope.cancelled_caught:
            return
        if exchange.response_started:
            raise trio.BrokenResourceError('the response cannot be completed')
        await self._refuse(exchange, request, _STOPPING, customer)

    async def _run_until_disconnect(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        work: Awaitable[None],
        customer: str,
    ) -> None:
        """Runs the work, and cancels it if the caller disconnects."""
        is_disconnected = False

        async def watch() -> None:
            nonlocal is_disconnected
            await exchange.wait_disconnected()
            is_disconnected = True
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await work
            nursery.cancel_scope.cancel()
        if not is_disconnected:
            return
        self._context.metrics.disconnects.increment()
        _LOGGER.info(
            'caller_gone',
            extra={'request_id': request.request_id, 'customer': customer},
        )
        raise trio.BrokenResourceError('the caller disconnected')

    async def _refuse(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        failure: results.Failure,
        customer: str = '',
    ) -> None:
        """Sends a failure for a request that is not forwarded."""
        status = await _failure_responses.send_failure(
            exchange, self._context.wire, failure, request.request_id
        )
        self._context.metrics.responses.increment('refused', str(status))
        _LOGGER.info(
            'request_refused',
            extra={
                'request_id': request.request_id,
                'customer': customer,
                'status': status,
                'code': int(failure.code),
                'reason': failure.reason,
                'target': exchange.head.target,
                'host': exchange.head.find_header(b'host'),
            },
        )

    async def _refuse_customer(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        refusal: _customer_check.CustomerRefusal,
    ) -> None:
        """Refuses a request because of its key or customer.

        The line for it is bounded: refusals cost callers nothing, so that there
        may be any number of them.
        """
        self._customer_check.record_refusal(
            refusal, request.request_id, exchange.head.target
        )
        status = await _failure_responses.send_failure(
            exchange, self._context.wire, refusal.failure, request.request_id
        )
        self._context.metrics.responses.increment('refused', str(status))


def _find_route(
    document: fleet.FleetDocument, head: transport.RequestHead
) -> fleet.FleetRoute | None:
    """Returns the route of a request, by its host with or without port."""
    host = (head.find_header(b'host') or '').lower()
    path = head.target.partition('?')[0]
    route = document.find_route(host, path)
    if route is not None:
        return route
    return document.find_route(host.rpartition(':')[0], path)


_NO_DOCUMENT = results.Failure(
    results.ResultCode.NO_CONFIGURATION,
    'no fleet document has been loaded yet',
    retry_after_ms=NO_DOCUMENT_RETRY_MS,
)

_STOPPING = results.Failure(
    results.ResultCode.LEAVING,
    'the process stops before the call has ended',
    results.RunState.UNKNOWN,
    retry_after_ms=0,
)

_JOBS_NOT_LOADED = results.Failure(
    results.ResultCode.LOG_UNAVAILABLE,
    'the jobs have not been loaded yet',
    retry_after_ms=NO_DOCUMENT_RETRY_MS,
)


def create_callers_api(
    view: fleet.FleetView,
    context: _online_context.OnlineContext,
    jobs_api: _jobs_api.JobsApi,
) -> CallersApi:
    """Creates the handler of callers' requests."""
    return CallersApi(view, context, jobs_api)
