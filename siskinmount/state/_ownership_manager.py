"""Claims the streams that this entry should own and releases the others."""

from collections.abc import Callable
import functools
import logging
from typing import Generic
from typing import Protocol
from typing import TypeVar

import trio

from siskinmount import results
from siskinmount import supervision
from siskinmount.state import _backoff
from siskinmount.state import _state_stream
from siskinmount.state import _stream_names

_LOGGER = logging.getLogger(__name__)

MEMBERS_POLL_MS = 200
FIRST_RECLAIM_PAUSE_MS = 200
MAX_RECLAIM_PAUSE_MS = 5000


class Shard(Protocol):
    """One stream and its state machines, for one term as owner.

    Attributes:
        stream: The stream.
    """

    stream: _state_stream.StateStream

    async def run(self) -> None:
        """Runs the tasks of the owner; started once the stream is owned."""
        ...


ShardT = TypeVar('ShardT', bound=Shard)


class OwnershipManager(Generic[ShardT]):
    """Runs a term for each stream that this entry should own.

    Attributes:
        stream_names: All streams.
    """

    __slots__ = (
        'stream_names',
        '_own_vm',
        '_live_entries',
        '_create_shard',
        '_shards',
        '_is_stopping',
    )

    def __init__(
        self,
        stream_names: list[str],
        own_vm: str,
        live_entries: Callable[[], list[str]],
        create_shard: Callable[[str], ShardT],
    ) -> None:
        self.stream_names = stream_names
        self._own_vm = own_vm
        self._live_entries = live_entries
        self._create_shard = create_shard
        self._shards: dict[str, ShardT] = {}
        self._is_stopping = False

    def owner_vm(self, stream: str) -> str | None:
        """Returns the VM that should own a stream, by this entry's view."""
        return _stream_names.owner_of(stream, self._live_entries())

    def find_shard(self, stream: str) -> ShardT | results.Failure:
        """Returns the shard of a stream if this process owns the stream."""
        shard = self._shards.get(stream)
        if shard is not None and shard.stream.is_owned:
            return shard
        owner = self.owner_vm(stream)
        if owner == self._own_vm or owner is None:
            return results.Failure(
                results.ResultCode.OWNER_UNKNOWN,
                f'{stream} has no owner yet',
                retry_after_ms=FIRST_RECLAIM_PAUSE_MS,
            )
        return results.Failure(
            results.ResultCode.NOT_OWNER,
            f'{stream} is owned by {owner}',
            retry_after_ms=FIRST_RECLAIM_PAUSE_MS,
        )

    def owned_shards(self) -> list[ShardT]:
        """Returns the shards of all streams that this process owns."""
        return [
            shard for shard in self._shards.values() if shard.stream.is_owned
        ]

    def stop(self) -> None:
        """Releases all streams; `run` returns once they are released."""
        self._is_stopping = True
        for shard in self._shards.values():
            shard.stream.resign()

    async def run(self) -> None:
        """Runs until `stop`, with one supervised task for each stream."""
        children = [
            supervision.Child(name, functools.partial(self._run_terms, name))
            for name in self.stream_names
        ]
        await supervision.run_supervisor('streams', children)

    async def _run_terms(self, name: str) -> None:
        """Runs terms of one stream until `stop`."""
        backoff = _backoff.Backoff(FIRST_RECLAIM_PAUSE_MS, MAX_RECLAIM_PAUSE_MS)
        while not self._is_stopping:
            if self.owner_vm(name) != self._own_vm:
                await trio.sleep(MEMBERS_POLL_MS / 1000)
                continue
            shard = self._create_shard(name)
            self._shards[name] = shard
            try:
                end = await self._run_term(name, shard)
            finally:
                del self._shards[name]
            if end is _state_stream.TermEnd.EPOCH_LOST:
                await backoff.pause()
            else:
                backoff.reset()

    async def _run_term(
        self, name: str, shard: ShardT
    ) -> _state_stream.TermEnd:
        """Runs one term together with the shard's own tasks."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_members, name, shard)
            nursery.start_soon(self._run_shard, shard)
            end = await shard.stream.run()
            nursery.cancel_scope.cancel()
        return end

    async def _watch_members(self, name: str, shard: ShardT) -> None:
        """Resigns when another entry should own the stream."""
        while True:
            if self._is_stopping or self.owner_vm(name) != self._own_vm:
                break
            await trio.sleep(MEMBERS_POLL_MS / 1000)
        _LOGGER.info(
            'stream_resigned',
            extra={'stream': name, 'next_owner': self.owner_vm(name)},
        )
        shard.stream.resign()

    async def _run_shard(self, shard: ShardT) -> None:
        """Runs the shard's own tasks while the stream is owned."""
        if await shard.stream.wait_owned():
            await shard.run()


def create_ownership_manager(
    stream_names: list[str],
    own_vm: str,
    live_entries: Callable[[], list[str]],
    create_shard: Callable[[str], ShardT],
) -> OwnershipManager[ShardT]:
    """Creates the ownership manager of this entry.

    Args:
        stream_names: All state streams.
        own_vm: Name of this VM.
        live_entries: Returns the VM names of the entries that are live and
            not leaving, this one included.
        create_shard: Creates the shard of a stream for one term.
    """
    return OwnershipManager(stream_names, own_vm, live_entries, create_shard)
