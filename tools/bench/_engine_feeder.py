"""Sends batch items directly to engines until cancelled."""

import itertools

import trio

from siskinmount import results
from siskinmount import transport
from tools import load
from tools.bench import _batch_progress
from tools.bench import _feeding

RETRY_DELAY_S = 0.05


class EngineFeeder:
    """Keeps a fixed number of items running at each engine.

    The items bypass the sidecars. Engines have no priorities and serve
    requests first in, first out, so online requests queue with these items.

    Attributes:
        progress: Counts of batch work so far.
    """

    __slots__ = (
        'progress',
        '_workload',
        '_engines',
        '_items_per_engine',
        '_wire',
        '_numbers',
    )

    def __init__(
        self,
        *,
        shape: load.WorkloadShape,
        seed: int,
        engines: list[transport.Address],
        items_per_engine: int,
    ) -> None:
        self.progress = _batch_progress.BatchProgress()
        self._workload = load.create_workload(shape, seed, 'batch')
        self._engines = engines
        self._items_per_engine = items_per_engine
        self._wire = load.create_wire(load.WireKind.ENGINE)
        self._numbers = itertools.count()

    async def read_progress(self) -> _batch_progress.BatchProgress:
        """Returns a copy of the counts so far."""
        return self.progress.copy()

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends items to all engines until cancelled."""
        await _feeding.feed_all(
            self._engines, self._items_per_engine, self._run_items, task_status
        )

    async def _run_items(self, client: transport.HttpClient) -> None:
        """Runs items one after the other at one engine."""
        while True:
            request = self._workload.create_request(0.0)
            request_id = f'batch-{next(self._numbers)}'
            if await self._run_item(client, request, request_id):
                continue
            self.progress.failures += 1
            await trio.sleep(RETRY_DELAY_S)

    async def _run_item(
        self,
        client: transport.HttpClient,
        request: load.LoadRequest,
        request_id: str,
    ) -> bool:
        """Runs an item; returns whether its complete answer arrived."""
        exchange = await client.send(
            self._wire.write_request(request, request_id)
        )
        if isinstance(exchange, results.Failure):
            return False
        with exchange:
            if exchange.status != 200:
                return False
            texts = await self._read_answer(exchange)
        if texts is None:
            return False
        self.progress.done_items += 1
        if texts != request.find_answer():
            self.progress.wrong_items += 1
        return True

    async def _read_answer(
        self, exchange: transport.ClientExchange
    ) -> list[str] | None:
        """Returns all tokens, or None if the answer was cut off."""
        reader = self._wire.create_reader()
        texts: list[str] = []
        ended = False
        while True:
            chunk = await exchange.receive_chunk()
            if isinstance(chunk, results.Failure):
                return None
            if not chunk:
                return texts if ended else None
            item = reader.feed(chunk)
            texts.extend(item.texts)
            self.progress.kept_tokens += len(item.texts)
            ended = ended or item.ended
