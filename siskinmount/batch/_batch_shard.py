"""A state stream with its keys and jobs, for one ownership period."""

from collections.abc import Callable

import trio

from siskinmount import backing_services
from siskinmount import state
from siskinmount.batch import _batch_limits
from siskinmount.batch import _batch_owner
from siskinmount.batch import _crash_tracker


class BatchShard:
    """Implements `state.Shard`.

    Attributes:
        stream: The state stream.
        keys: Idempotency keys of online requests.
        batch: Batch jobs.
    """

    __slots__ = ('stream', 'keys', 'batch')

    def __init__(
        self,
        stream: state.StateStream,
        keys: state.KeyTable,
        batch: _batch_owner.BatchOwner,
    ) -> None:
        self.stream = stream
        self.keys = keys
        self.batch = batch

    async def run(self) -> None:
        """Runs the tasks of keys and jobs while the stream is owned."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.keys.run)
            nursery.start_soon(self.batch.run)


def create_batch_shard(
    name: str,
    log: backing_services.LogService,
    writer: state.Writer,
    *,
    stream_limits: state.StreamLimits | None = None,
    batch_limits: _batch_limits.BatchLimits | None = None,
    is_live: Callable[[str], bool] | None = None,
    weight_of: Callable[[str], int] | None = None,
    crash_tracker: _crash_tracker.CrashTracker | None = None,
    on_ready: Callable[[], None] | None = None,
    clock_ms: Callable[[], int] = state.wall_clock_ms,
) -> BatchShard:
    """Creates the shard of one stream for one ownership period.

    Args:
        name: Name of the state stream.
        log: The platform's log.
        writer: Identity of this process, shared by all its streams.
        stream_limits: Limits and intervals of the stream.
        batch_limits: Limits and intervals of batch jobs.
        is_live: Returns whether a VM is believed to be alive.
        weight_of: Returns a caller's share relative to others.
        crash_tracker: Requests that are known to crash upstreams.
        on_ready: Called when batch items may have become ready.
        clock_ms: Returns milliseconds since the Unix epoch.
    """
    stream = state.create_state_stream(
        name, log, writer, stream_limits, is_live, clock_ms
    )
    keys = state.create_key_table(stream)
    batch = _batch_owner.create_batch_owner(
        stream,
        log,
        limits=batch_limits,
        weight_of=weight_of,
        crash_tracker=crash_tracker,
        on_ready=on_ready,
    )
    return BatchShard(stream, keys, batch)
