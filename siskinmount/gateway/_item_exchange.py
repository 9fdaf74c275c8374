"""One run of a batch item at one upstream."""

import enum

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _event_splitter
from siskinmount.gateway import _upstream_clients
from siskinmount.gateway import _wire

#: Longest silence of an upstream before the first event and between events.
MAX_SILENCE_S = 3.0
MAX_ANSWER_BYTES = 32 * 1024 * 1024


class RunEnd(enum.Enum):
    """How a run of an item ended."""

    #: The output is whole.
    DONE = 'done'

    #: The upstream says that the item can never be done.
    IMPOSSIBLE = 'impossible'

    #: The upstream says that the run failed.
    FAILED = 'failed'

    #: The upstream did not begin it.
    NOT_RUN = 'not_run'

    #: The run was broken off by the upstream or on the way.
    LOST = 'lost'

    #: It gave way to callers, or its job has ended.
    CUT = 'cut'


class ItemExchange:
    """Sends items and collects their events."""

    __slots__ = ('_clients', '_health', '_wire')

    def __init__(
        self,
        clients: _upstream_clients.UpstreamClients,
        health: placement.UpstreamHealth,
        wire: _wire.Wire,
    ) -> None:
        self._clients = clients
        self._health = health
        self._wire = wire

    async def run(
        self,
        next_item: jobs.NextItem,
        progress: jobs.ItemProgress,
        upstream: fleet.Upstream,
    ) -> tuple[RunEnd, str]:
        """Sends an item and collects its events."""
        item = next_item.item
        request = transport.ClientRequest(
            'POST',
            item.path,
            self._wire.build_item_headers(
                item, upstream.upstream_id, progress.last_event_id
            ),
            item.body,
            next_item.job.host.encode('latin-1'),
        )
        client = self._clients.get_client(upstream)
        answer: transport.ClientExchange | results.Failure | None = None
        with trio.move_on_after(MAX_SILENCE_S):
            answer = await client.send(request)
        if answer is None:
            return RunEnd.LOST, 'no answer in time'
        if isinstance(answer, results.Failure):
            if answer.run_state is results.RunState.NOT_RUN:
                self._health.note_down(upstream.upstream_id, answer.reason)
                return RunEnd.NOT_RUN, answer.reason
            return RunEnd.LOST, answer.reason
        with answer:
            kind = self._wire.judge_answer(
                answer.status, answer.headers, item.item_id
            )
            if kind is _wire.AnswerKind.FOREIGN:
                return RunEnd.LOST, 'an answer to another request'
            if kind is not _wire.AnswerKind.OWN:
                await answer.read_body(MAX_ANSWER_BYTES)
                return RunEnd.NOT_RUN, kind.value
            if answer.status != 200:
                await answer.read_body(MAX_ANSWER_BYTES)
                return _judge_status(answer.status)
            return await _collect(answer, progress)


def _judge_status(status: int) -> tuple[RunEnd, str]:
    """Returns what an answer other than a stream means for an item."""
    reason = f'status {status}'
    if status == 422:
        return RunEnd.IMPOSSIBLE, reason
    if status == 500:
        return RunEnd.FAILED, reason
    return RunEnd.LOST, reason


async def _collect(
    answer: transport.ClientExchange, progress: jobs.ItemProgress
) -> tuple[RunEnd, str]:
    """Collects events until the stream has ended."""
    splitter = _event_splitter.create_event_splitter()
    while True:
        chunk: bytes | results.Failure | None = None
        with trio.move_on_after(MAX_SILENCE_S):
            chunk = await answer.receive_chunk()
        if chunk is None:
            return RunEnd.LOST, 'silent within a stream'
        if isinstance(chunk, results.Failure):
            return RunEnd.LOST, chunk.reason
        if not chunk:
            break
        for event in splitter.split(chunk):
            last = progress.last_event_id
            if event.event_id is not None:
                if last is not None and event.event_id != last + 1:
                    return RunEnd.LOST, f'event {event.event_id} after {last}'
                progress.last_event_id = event.event_id
            progress.lost_runs = 0
            for line in event.read_data():
                progress.events.append(line.decode('utf-8', 'replace'))
    if splitter.rest.strip():
        return RunEnd.LOST, 'ended within an event'
    return RunEnd.DONE, 'complete'


def create_item_exchange(
    clients: _upstream_clients.UpstreamClients,
    health: placement.UpstreamHealth,
    wire: _wire.Wire,
) -> ItemExchange:
    """Creates an exchange over kept connections."""
    return ItemExchange(clients, health, wire)
