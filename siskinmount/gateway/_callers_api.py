"""Routes callers' requests to online upstreams or to the jobs API."""

from collections.abc import Awaitable
import logging

import trio

from siskinmount import fleet
from siskinmount import results
from siskinmount import transport
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

    __slots__ = ('_view', '_context', '_jobs_api')

    def __init__(
        self,
        view: fleet.FleetView,
        context: _online_context.OnlineContext,
        jobs_api: _jobs_api.JobsApi,
    ) -> None:
        self._view = view
        self._context = context
        self._jobs_api = jobs_api

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
        body = await exchange.read_body()
        began_at_s = trio.current_time()
        if isinstance(body, results.Failure):
            await self._refuse(exchange, request, body)
            return
        call = wire.find_job_call(head)
        if isinstance(call, results.Failure):
            await self._refuse(exchange, request, call)
            return
        if call is not None:
            await self._run_until_disconnect(
                exchange,
                request,
                self._jobs_api.handle_call(exchange, request, call),
            )
            return
        document = self._view.document
        if document is None:
            await self._refuse(exchange, request, _NO_DOCUMENT)
            return
        host = (head.find_header(b'host') or '').lower()
        route = document.find_route(host, head.target.partition('?')[0])
        if route is None:
            route = document.find_route(
                host.rpartition(':')[0], head.target.partition('?')[0]
            )
        if route is None:
            failure = results.Failure(
                results.ResultCode.NO_SUCH_ROUTE,
                f'no route in document version {document.version}',
            )
            await self._refuse(exchange, request, failure)
            return
        if route.kind is fleet.RouteKind.BATCH:
            await self._run_until_disconnect(
                exchange,
                request,
                self._jobs_api.submit(exchange, request, route, body),
            )
            return
        run = _online_handler.create_online_handler(
            self._context,
            _online_request.OnlineRequest(
                exchange, route, request, body, document.version, began_at_s
            ),
        )
        await self._run_until_disconnect(exchange, request, run.run())

    async def _run_until_disconnect(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        work: Awaitable[None],
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
        _LOGGER.info('caller_gone', extra={'request_id': request.request_id})
        raise trio.BrokenResourceError('the caller disconnected')

    async def _refuse(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        failure: results.Failure,
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
                'status': status,
                'code': int(failure.code),
                'reason': failure.reason,
                'target': exchange.head.target,
                'host': exchange.head.find_header(b'host'),
            },
        )


_NO_DOCUMENT = results.Failure(
    results.ResultCode.NO_CONFIGURATION,
    'no fleet document has been loaded yet',
    retry_after_ms=NO_DOCUMENT_RETRY_MS,
)


def create_callers_api(
    view: fleet.FleetView,
    context: _online_context.OnlineContext,
    jobs_api: _jobs_api.JobsApi,
) -> CallersApi:
    """Creates the handler of callers' requests."""
    return CallersApi(view, context, jobs_api)
