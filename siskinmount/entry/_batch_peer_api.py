"""Serves sidecars that pull batch items, and entries that forward reports."""

from siskinmount import batch
from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _key_service
from siskinmount.entry import _stream_owner_client

PULL_PATH = '/batch/pull'
REPORT_PATH = '/batch/report'
RENEW_PATH = '/batch/renew'
#: Query parameter of requests forwarded by an entry; not forwarded again.
FORWARDED_QUERY = 'forwarded'
MAX_REPORT_BYTES = 64 * 1024 * 1024


class BatchPeerApi:
    """Handles `/batch/...` on the peers' address."""

    __slots__ = ('_service', '_forwarded_service')

    def __init__(
        self,
        service: batch.BatchService,
        forwarded_service: batch.BatchService,
    ) -> None:
        self._service = service
        self._forwarded_service = forwarded_service

    async def serve(self, exchange: transport.ServerExchange) -> None:
        """Answers one request."""
        data = await exchange.read_body(MAX_REPORT_BYTES)
        if isinstance(data, results.Failure):
            await _key_service.send_peer_failure(exchange, data)
            return
        forwarded = FORWARDED_QUERY in exchange.head.query
        service = self._forwarded_service if forwarded else self._service
        reply = await _execute(service, exchange.head.path, data)
        if isinstance(reply, results.Failure):
            await _key_service.send_peer_failure(exchange, reply)
            return
        await exchange.send_whole(200, [], reply)


class HttpOwnerClient:
    """Implements `batch.OwnerClient` over HTTP."""

    __slots__ = ('_owner_client',)

    def __init__(
        self, owner_client: _stream_owner_client.StreamOwnerClient
    ) -> None:
        self._owner_client = owner_client

    async def report(
        self, vm: str, request: batch.ReportRequest
    ) -> batch.ReportReply | results.Failure:
        """Forwards reports to the entry on a VM."""
        response = await self._post(vm, REPORT_PATH, request.to_json())
        if isinstance(response, results.Failure):
            return response
        return batch.decode_report_reply(response)

    async def renew(
        self, vm: str, request: batch.RenewRequest
    ) -> batch.RenewReply | results.Failure:
        """Forwards a lease renewal to the entry on a VM."""
        response = await self._post(vm, RENEW_PATH, request.to_json())
        if isinstance(response, results.Failure):
            return response
        return batch.decode_renew_reply(response)

    async def _post(
        self, vm: str, path: str, body: bytes
    ) -> bytes | results.Failure:
        """Sends a request, marked as forwarded, to the entry on a VM."""
        return await self._owner_client.send_to(
            vm,
            transport.ClientRequest(
                'POST', f'{path}?{FORWARDED_QUERY}=1', [], body
            ),
        )


async def _execute(
    service: batch.BatchService, path: str, data: bytes
) -> bytes | results.Failure:
    """Executes one operation and returns the reply's JSON."""
    if path == PULL_PATH:
        pull = batch.decode_pull_request(data)
        if isinstance(pull, results.Failure):
            return pull
        pulled = await service.pull(pull)
        if isinstance(pulled, results.Failure):
            return pulled
        return pulled.to_json()
    if path == REPORT_PATH:
        report = batch.decode_report_request(data)
        if isinstance(report, results.Failure):
            return report
        return (await service.report(report)).to_json()
    if path == RENEW_PATH:
        renew = batch.decode_renew_request(data)
        if isinstance(renew, results.Failure):
            return renew
        return (await service.renew(renew)).to_json()
    return results.Failure(
        results.ResultCode.NO_SUCH_ROUTE, f'no such path: {path}'
    )
