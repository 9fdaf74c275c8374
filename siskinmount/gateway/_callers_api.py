"""Takes requests of callers, finds their route, and has them served."""

from collections.abc import Awaitable
import logging

import trio

from siskinmount import fleet
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _failure_answers
from siskinmount.gateway import _jobs_api
from siskinmount.gateway import _online_request
from siskinmount.gateway import _online_run
from siskinmount.gateway import _online_tools
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

NO_DOCUMENT_RETRY_MS = 500


class CallersApi:
    """Handles the requests of one listening address."""

    __slots__ = ('_view', '_tools', '_jobs_api')

    def __init__(
        self,
        view: fleet.FleetView,
        tools: _online_tools.OnlineTools,
        jobs_api: _jobs_api.JobsApi,
    ) -> None:
        self._view = view
        self._tools = tools
        self._jobs_api = jobs_api

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Answers one request."""
        head = exchange.head
        wire = self._tools.wire
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
            await self._run_while_caller_stays(
                exchange,
                request,
                self._jobs_api.answer(exchange, request, call),
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
            await self._run_while_caller_stays(
                exchange,
                request,
                self._jobs_api.submit(exchange, request, route, body),
            )
            return
        run = _online_run.create_online_run(
            self._tools,
            _online_request.OnlineRequest(
                exchange, route, request, body, document.version, began_at_s
            ),
        )
        await self._run_while_caller_stays(exchange, request, run.run())

    async def _run_while_caller_stays(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        work: Awaitable[None],
    ) -> None:
        """Runs the work; when the caller leaves, the work is cancelled."""
        is_gone = False

        async def watch() -> None:
            nonlocal is_gone
            await exchange.wait_disconnected()
            is_gone = True
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await work
            nursery.cancel_scope.cancel()
        if not is_gone:
            return
        self._tools.metrics.gone.increment()
        _LOGGER.info('caller_gone', extra={'request_id': request.request_id})
        raise trio.BrokenResourceError('the caller has gone')

    async def _refuse(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        failure: results.Failure,
    ) -> None:
        """Answers a request that is not passed on."""
        status = await _failure_answers.send_failure(
            exchange, self._tools.wire, failure, request.request_id
        )
        self._tools.metrics.answers.increment('refused', str(status))
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
    'no document is in force yet',
    retry_after_ms=NO_DOCUMENT_RETRY_MS,
)


def create_callers_api(
    view: fleet.FleetView,
    tools: _online_tools.OnlineTools,
    jobs_api: _jobs_api.JobsApi,
) -> CallersApi:
    """Creates the handler for callers."""
    return CallersApi(view, tools, jobs_api)
