"""Serves other daemons, and health checks and metrics for monitoring."""

from collections.abc import Callable

from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.entry import _batch_peer_api
from siskinmount.entry import _job_client
from siskinmount.entry import _job_peer_api
from siskinmount.entry import _key_service


class PeersApi:
    """Handles every request on the peers' address."""

    __slots__ = (
        '_is_ready',
        '_keys',
        '_batch',
        '_jobs',
        '_histograms',
        '_describe_details',
    )

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        keys: _key_service.KeyService,
        batch_peer_api: _batch_peer_api.BatchPeerApi,
        jobs: _job_peer_api.JobPeerApi,
        histograms: telemetry.Histograms,
        describe_details: Callable[[], dict[str, object]],
    ) -> None:
        self._is_ready = is_ready
        self._keys = keys
        self._batch = batch_peer_api
        self._jobs = jobs
        self._histograms = histograms
        self._describe_details = describe_details

    async def handle(self, exchange: transport.ServerExchange) -> None:
        """Answers one request."""
        method = exchange.head.method
        path = exchange.head.path
        if method == 'POST' and path == _key_service.KEYS_PATH:
            await self._keys.serve(exchange)
            return
        if method == 'POST' and path.startswith('/batch/'):
            await self._batch.serve(exchange)
            return
        if method == 'POST' and path.startswith(_job_client.JOBS_PREFIX):
            await self._jobs.serve(exchange)
            return
        if path == '/healthz':
            await exchange.send_json(200, {'status': 'ok'})
            return
        if path == '/readyz':
            ready = self._is_ready()
            await exchange.send_json(200 if ready else 503, {'ready': ready})
            return
        if path == '/status':
            await exchange.send_json(200, self._describe_details())
            return
        if path == '/metrics':
            await exchange.send_whole(
                200,
                [(b'content-type', telemetry.CONTENT_TYPE.encode('ascii'))],
                self._render_metrics(),
            )
            return
        await _key_service.send_peer_failure(
            exchange,
            results.Failure(
                results.ResultCode.NO_SUCH_ROUTE, f'no such path: {path}'
            ),
        )

    def _render_metrics(self) -> bytes:
        """Returns this entry's metrics in the text exposition format."""
        metrics = telemetry.create_metrics()
        for name, value in self._describe_details().items():
            if isinstance(value, bool) or not isinstance(value, int | float):
                continue
            gauge = metrics.create_gauge(
                f'entry_{name}', f'The entry reports {name}.'
            )
            gauge.set(value)
        return telemetry.render_metrics(metrics, self._histograms)
