"""Routes of the sidecar's HTTP server."""

from collections.abc import Callable

from siskinmount import relay
from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.sidecar import _run_handler

RUN_PREFIX = '/run/'
CANCEL_PREFIX = '/cancel/'


class HttpRoutes:
    """Dispatches each HTTP request by method and path."""

    __slots__ = ('_handler', '_is_ready', '_describe')

    def __init__(
        self,
        handler: _run_handler.RunHandler,
        is_ready: Callable[[], bool],
        describe: Callable[[], dict[str, object]],
    ) -> None:
        self._handler = handler
        self._is_ready = is_ready
        self._describe = describe

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Dispatches one request and sends its answer."""
        path = exchange.head.path
        is_post = exchange.head.method == 'POST'
        if is_post and path.startswith(RUN_PREFIX):
            await self._handler.handle_run(
                exchange, path.removeprefix(RUN_PREFIX)
            )
            return
        if is_post and path.startswith(CANCEL_PREFIX):
            await self._handler.handle_cancel(
                exchange, path.removeprefix(CANCEL_PREFIX)
            )
            return
        if path == '/healthz':
            await exchange.send_json(200, {'status': 'ok'})
            return
        if path == '/readyz':
            ready = self._is_ready()
            await exchange.send_json(200 if ready else 503, {'ready': ready})
            return
        if path == '/status':
            await exchange.send_json(200, self._describe())
            return
        if path == '/metrics':
            await exchange.send_whole(
                200,
                [(b'content-type', telemetry.CONTENT_TYPE.encode('ascii'))],
                self._render_metrics(),
            )
            return
        refusal = relay.FailureFrame(
            results.Failure(
                results.ResultCode.NO_SUCH_ROUTE, f'no such path: {path}'
            )
        )
        await exchange.send_json(404, {'error': relay.encode_failure(refusal)})

    def _render_metrics(self) -> bytes:
        """Renders the integers of `describe` as gauges."""
        metrics = telemetry.create_metrics()
        for name, value in self._describe().items():
            if isinstance(value, int):
                gauge = metrics.create_gauge(f'sidecar_{name}', f'{name}.')
                gauge.set(value)
        return telemetry.render_metrics(metrics)
