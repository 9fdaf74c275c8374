"""Sends batch items to sidecars until cancelled."""

import collections
import itertools

import orjson
import trio

from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from tools import load
from tools.bench import _batch_progress
from tools.bench import _feeding

RETRY_DELAY_S = 0.05


class BatchItem:
    """A batch item and the part of its answer that has arrived.

    Attributes:
        number: Number of the item.
        request: The request that the item makes.
        texts: Texts of the tokens received so far.
        attempt: Number of the latest attempt, from 1; 0 before the first.
    """

    __slots__ = ('number', 'request', 'texts', 'attempt')

    def __init__(self, number: int, request: load.LoadRequest) -> None:
        self.number = number
        self.request = request
        self.texts: list[str] = []
        self.attempt = 0


class BatchFeeder:
    """Keeps a fixed number of items running at each sidecar.

    An item that is preempted or fails is resumed later after its last token,
    at any sidecar. Entries are not involved, so that the sidecars' policies
    can be compared without the entries' share of batch work.

    Attributes:
        progress: Counts of batch work so far.
    """

    __slots__ = (
        'progress',
        '_service',
        '_workload',
        '_sidecars',
        '_items_per_sidecar',
        '_numbers',
        '_unfinished_items',
    )

    def __init__(
        self,
        *,
        service: str,
        shape: load.WorkloadShape,
        seed: int,
        sidecars: list[transport.Address],
        items_per_sidecar: int,
    ) -> None:
        self.progress = _batch_progress.BatchProgress()
        self._sidecars = sidecars
        self._items_per_sidecar = items_per_sidecar
        self._service = service
        self._workload = load.create_workload(shape, seed, 'batch')
        self._numbers = itertools.count()
        self._unfinished_items: collections.deque[BatchItem] = (
            collections.deque()
        )

    async def read_progress(self) -> _batch_progress.BatchProgress:
        """Returns a copy of the counts so far."""
        return self.progress.copy()

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends items to all sidecars until cancelled."""
        await _feeding.feed_all(
            self._sidecars,
            self._items_per_sidecar,
            self._run_items,
            task_status,
        )

    async def _run_items(self, client: transport.HttpClient) -> None:
        """Runs items one after the other at one sidecar."""
        while True:
            item = self._next_item()
            failure = await self._run_item(client, item)
            if failure is None:
                continue
            self._unfinished_items.append(item)
            if failure.code is results.ResultCode.BATCH_YIELDED:
                self.progress.yields += 1
                continue
            self.progress.failures += 1
            await trio.sleep(RETRY_DELAY_S)

    def _next_item(self) -> BatchItem:
        """Returns the longest waiting unfinished item, or else a new item."""
        if self._unfinished_items:
            return self._unfinished_items.popleft()
        request = self._workload.create_request(0.0)
        return BatchItem(next(self._numbers), request)

    async def _run_item(
        self, client: transport.HttpClient, item: BatchItem
    ) -> results.Failure | None:
        """Runs an item after its last token; returns the failure, if any."""
        item.attempt += 1
        exchange = await client.send(self._build_request(item))
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            if exchange.status != 200:
                return await _read_refusal(exchange)
            failure = await self._read_frames(exchange, item)
        if failure is not None:
            return failure
        self.progress.done_items += 1
        if item.texts != item.request.find_answer():
            self.progress.wrong_items += 1
        return None

    def _build_request(self, item: BatchItem) -> transport.ClientRequest:
        names = relay.RelayHeader
        request_id = f'batch-{item.number}-{item.attempt}'.encode('ascii')
        headers = [
            (names.REQUEST_ID, request_id),
            (names.ATTEMPT, b'%d' % item.attempt),
            (names.CLASS, b'batch'),
            (names.FINGERPRINT, b'batch-%d' % item.number),
            (names.FROM_TOKEN, b'%d' % len(item.texts)),
        ]
        document = {
            'prompt': item.request.prompt,
            'messages': item.request.messages,
            'max_tokens': item.request.max_tokens,
            'resume_tokens': item.texts,
        }
        return transport.ClientRequest(
            'POST', f'/run/{self._service}', headers, orjson.dumps(document)
        )

    async def _read_frames(
        self, exchange: transport.ClientExchange, item: BatchItem
    ) -> results.Failure | None:
        """Reads an item's tokens to the end; returns the failure, if any."""
        reader = relay.FrameReader()
        while True:
            chunk = await exchange.receive_chunk()
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                return results.Failure(
                    results.ResultCode.UPSTREAM_LOST,
                    'the connection closed before the end frame',
                )
            frames = reader.feed(chunk)
            if isinstance(frames, results.Failure):
                return frames
            for frame in frames:
                if isinstance(frame, relay.TokenFrame):
                    item.texts.append(frame.text)
                    self.progress.kept_tokens += 1
                elif isinstance(frame, relay.FailureFrame):
                    return frame.failure
                elif isinstance(frame, relay.EndFrame):
                    return None


async def _read_refusal(exchange: transport.ClientExchange) -> results.Failure:
    """Reads the error with which a sidecar refused an item."""
    body = await exchange.read_body(64 * 1024)
    if isinstance(body, results.Failure):
        return body
    return load.read_error(orjson.loads(body))
