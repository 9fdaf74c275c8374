"""Feeds batch items to sidecars without end."""

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

REFUSAL_PAUSE_S = 0.05


class BatchItem:
    """An item and what exists of its answer.

    Attributes:
        number: Number of the item.
        request: What is asked.
        texts: Tokens that have arrived.
        attempt: Number of the newest attempt, from 0.
    """

    __slots__ = ('number', 'request', 'texts', 'attempt')

    def __init__(self, number: int, request: load.LoadRequest) -> None:
        self.number = number
        self.request = request
        self.texts: list[str] = []
        self.attempt = 0


class BatchFeeder:
    """Keeps a number of items at each sidecar.

    An item that yields is continued later from where it was, at any sidecar.
    The sidecars' policies can so be compared without the entries' part in
    batch work.

    Attributes:
        progress: What has come so far.
    """

    __slots__ = (
        'progress',
        '_service',
        '_workload',
        '_sidecars',
        '_items_per_sidecar',
        '_numbers',
        '_yielded',
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
        self._yielded: collections.deque[BatchItem] = collections.deque()

    async def read_progress(self) -> _batch_progress.BatchProgress:
        """Returns what has come so far."""
        return self.progress.copy()

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Feeds all sidecars until cancelled."""
        await _feeding.feed_all(
            self._sidecars, self._items_per_sidecar, self._feed, task_status
        )

    async def _feed(self, client: transport.HttpClient) -> None:
        """Runs one item after the other at one sidecar."""
        while True:
            item = self._next_item()
            failure = await self._run_item(client, item)
            if failure is None:
                continue
            self._yielded.append(item)
            if failure.code is results.ResultCode.BATCH_YIELDED:
                self.progress.yields += 1
                continue
            self.progress.failures += 1
            await trio.sleep(REFUSAL_PAUSE_S)

    def _next_item(self) -> BatchItem:
        """Returns an item that has yielded, or a new one."""
        if self._yielded:
            return self._yielded.popleft()
        request = self._workload.create_request(0.0)
        return BatchItem(next(self._numbers), request)

    async def _run_item(
        self, client: transport.HttpClient, item: BatchItem
    ) -> results.Failure | None:
        """Runs an item from where it is; returns why it isn't done, or None."""
        item.attempt += 1
        exchange = await client.send(self._write_request(item))
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

    def _write_request(self, item: BatchItem) -> transport.ClientRequest:
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
        """Reads an item's tokens until its end; returns why it broke off."""
        reader = relay.FrameReader()
        while True:
            chunk = await exchange.receive_chunk()
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                return results.Failure(
                    results.ResultCode.UPSTREAM_LOST, 'the answer has no end'
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
    """Reads why a sidecar doesn't run an item."""
    body = await exchange.read_body(64 * 1024)
    if isinstance(body, results.Failure):
        return body
    return load.read_error(orjson.loads(body))
