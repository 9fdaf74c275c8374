"""Calls one entry for batch work."""

import logging
from typing import Protocol

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.sidecar import _batch_item

_LOGGER = logging.getLogger(__name__)

MAX_ANSWER_BYTES = 64 * 1024 * 1024
CALL_TIMEOUT_MS = 5000
MAX_CONNECTIONS = 4


class EntryPeer(Protocol):
    """An entry as the membership knows it.

    Attributes:
        vm: Name of the VM.
        peers_address: Where the entry serves other daemons.
    """

    vm: str
    peers_address: transport.Address


class PullAnswer:
    """What an entry hands out.

    Attributes:
        items: The items.
        reports: Reports on items that can never be run.
    """

    __slots__ = ('items', 'reports')

    def __init__(self) -> None:
        self.items: list[_batch_item.BatchItem] = []
        self.reports: list[_batch_item.ItemReport] = []


class EntryLink:
    """Pulls items from one entry, renews their leases, reports on them.

    Attributes:
        vm: Name of the entry's VM.
        address: Where the entry serves other daemons.
    """

    __slots__ = (
        'vm',
        'address',
        '_own_vm',
        '_incarnation',
        '_service',
        '_client',
    )

    def __init__(
        self,
        *,
        peer: EntryPeer,
        own_vm: str,
        incarnation: int,
        service: str,
    ) -> None:
        self.vm = peer.vm
        self.address = peer.peers_address
        self._own_vm = own_vm
        self._incarnation = incarnation
        self._service = service
        self._client = transport.create_http_client(
            peer.peers_address,
            transport.ClientLimits(
                max_connections=MAX_CONNECTIONS,
                silence_timeout_ms=CALL_TIMEOUT_MS,
            ),
        )

    async def pull(
        self, credit: int, wait_ms: int
    ) -> PullAnswer | results.Failure:
        """Asks for up to `credit` items, for up to `wait_ms`."""
        asked_at_s = trio.current_time()
        answer = await self._call(
            '/batch/pull',
            {'service': self._service, 'credit': credit, 'wait_ms': wait_ms},
        )
        if isinstance(answer, results.Failure):
            return answer
        pulled = PullAnswer()
        for document in answer.get('items', ()):
            item = _batch_item.parse_item(document)
            if isinstance(item, _batch_item.ItemReport):
                pulled.reports.append(item)
                continue
            if isinstance(item, results.Failure):
                _LOGGER.error(
                    'batch_item_invalid',
                    extra={'code': int(item.code), 'reason': item.reason},
                )
                continue
            item.extend_lease(asked_at_s)
            pulled.items.append(item)
        return pulled

    async def renew(
        self, items: list[_batch_item.BatchItem]
    ) -> list[_batch_item.ItemKey] | results.Failure:
        """Extends the leases and returns which items must stop."""
        asked_at_s = trio.current_time()
        answer = await self._call(
            '/batch/renew',
            {
                'leases': [
                    [item.key.job, item.key.index, item.lease] for item in items
                ]
            },
        )
        if isinstance(answer, results.Failure):
            return answer
        cancelled = _parse_keys(answer.get('cancelled', ()))
        stopped = set(cancelled)
        for item in items:
            if item.key not in stopped:
                item.extend_lease(asked_at_s)
        return cancelled

    async def report(
        self, reports: list[_batch_item.ItemReport]
    ) -> list[_batch_item.ItemKey] | results.Failure:
        """Delivers reports and returns which items must stop.

        An answer settles every report in it: what the entry does not accept
        is void.
        """
        answer = await self._call(
            '/batch/report',
            {'reports': [report.to_document() for report in reports]},
        )
        if isinstance(answer, results.Failure):
            return answer
        for report, accepted in zip(
            reports, answer.get('accepted', ()), strict=False
        ):
            if accepted:
                continue
            _LOGGER.info(
                'batch_report_void',
                extra={'job': report.key.job, 'index': report.key.index},
            )
        return _parse_keys(answer.get('cancelled', ()))

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()

    async def _call(
        self, target: str, document: dict[str, object]
    ) -> dict | results.Failure:
        """Posts a document and returns the answer's."""
        body = orjson.dumps(
            {
                'vm': self._own_vm,
                'incarnation': self._incarnation,
                **document,
            }
        )
        exchange = await self._client.send(
            transport.ClientRequest(
                'POST',
                target,
                [(b'content-type', b'application/json')],
                body,
            )
        )
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            data = await exchange.read_body(MAX_ANSWER_BYTES)
        if isinstance(data, results.Failure):
            return data
        if exchange.status != 200:
            return _unusable(f'{target} was answered with {exchange.status}')
        try:
            answer = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            return _unusable(str(error))
        if not isinstance(answer, dict):
            return _unusable(f'the answer to {target} is not an object')
        return answer


def _parse_keys(pairs: object) -> list[_batch_item.ItemKey]:
    """Parses a list of pairs of job and index."""
    if not isinstance(pairs, list | tuple):
        return []
    return [_batch_item.ItemKey(str(pair[0]), int(pair[1])) for pair in pairs]


def _unusable(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.UPSTREAM_ERROR, reason, results.RunState.UNKNOWN
    )
