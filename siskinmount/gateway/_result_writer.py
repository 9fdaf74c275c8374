"""Writes results of batch items to the log, or hands them to a peer."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging

import trio

from siskinmount import jobs
from siskinmount.gateway import _batch_membership

_LOGGER = logging.getLogger(__name__)

#: How long a write may take before the result is handed to a member that
#: reaches the store. An append takes milliseconds, and half a second on a slow
#: store.
WRITE_WAIT_S = 0.7

#: Sends the output of an item to another member; returns whether it accepted.
HandOver = Callable[[str, jobs.ItemProgress, str], Awaitable[bool]]


class ResultWriter:
    """Writes results, and hands over output that this member cannot write.

    Attributes:
        writing_tags: Items whose result is being written.
        handing_over_tags: Items whose output is being handed over.
    """

    __slots__ = (
        'writing_tags',
        'handing_over_tags',
        '_membership',
        '_scheduler',
        '_ledger',
        '_hand_over',
        '_max_record_bytes',
    )

    def __init__(
        self,
        membership: _batch_membership.BatchMembership,
        scheduler: jobs.ItemScheduler,
        ledger: jobs.JobLedger,
        hand_over: HandOver,
        max_record_bytes: int,
    ) -> None:
        self.writing_tags: set[str] = set()
        self.handing_over_tags: set[str] = set()
        self._membership = membership
        self._scheduler = scheduler
        self._ledger = ledger
        self._hand_over = hand_over
        self._max_record_bytes = max_record_bytes

    async def write_complete(self, next_item: jobs.NextItem, tag: str) -> None:
        """Writes the result of an item whose output is complete."""
        output = '\n'.join(self._scheduler.get_progress(tag).events)
        with _include(self.writing_tags, tag):
            await self._write(next_item, tag, jobs.ItemState.DONE, output)

    async def write_given_up(
        self, next_item: jobs.NextItem, tag: str, reason: str
    ) -> None:
        """Writes the result of an item that will not be retried."""
        _LOGGER.warning(
            'item_given_up',
            extra={
                'job': next_item.job.job_id,
                'customer': next_item.job.customer,
                'item': next_item.item.item_id,
                'reason': reason,
                'failed_attempts': (
                    self._scheduler.get_progress(tag).failed_attempts
                ),
                'known_for_s': round(
                    trio.current_time() - next_item.job.known_since_s, 1
                ),
            },
        )
        with _include(self.writing_tags, tag):
            await self._write(next_item, tag, jobs.ItemState.GIVEN_UP, '')

    async def hand_over_pending(self) -> None:
        """Hands kept output to the members that must continue the items."""
        if not self._membership.must_hand_over():
            return
        for tag in self._scheduler.list_kept_tags():
            if not self._membership.must_hand_over():
                return
            self._scheduler.held_tags.add(tag)
            try:
                await self._hand_over_output(tag)
            finally:
                self._scheduler.release(tag)

    async def _hand_over_output(self, tag: str) -> None:
        """Hands an item's output to another member; keeps it on failure.

        The item's tag is in `held_tags` meanwhile, so that no member starts the
        item again.
        """
        members: list[str] = []
        for member in self._membership.list_eligible_members():
            if member != self._membership.vm:
                members.append(member)
        progress = self._scheduler.get_progress(tag)
        if not members or not progress.events:
            return
        member = jobs.choose_member(tag, members)
        with _include(self.handing_over_tags, tag):
            is_taken = await self._hand_over(tag, progress, member)
        if is_taken:
            self._scheduler.progress.pop(tag, None)

    async def _write(
        self,
        next_item: jobs.NextItem,
        tag: str,
        state: jobs.ItemState,
        output: str,
    ) -> None:
        """Writes a result to the log, and waits until that is done.

        The caller gives up the claim on the item. Where other members must
        continue the items of this one, they get output that is complete, and an
        item that is given up is left to them.
        """
        item_id = next_item.item.item_id
        operation = jobs.AppendResult(
            next_item.job.job_id,
            jobs.ItemResult(item_id, state, output),
            self._max_record_bytes,
        )
        began_at_s = trio.current_time()
        self._ledger.submit(operation)
        while not operation.finished.is_set():
            with trio.move_on_after(WRITE_WAIT_S):
                await operation.finished.wait()
            if operation.finished.is_set():
                break
            if self._membership.must_hand_over():
                self._ledger.withdraw(operation)
                if state is jobs.ItemState.DONE:
                    await self._hand_over_output(tag)
                break
        self._scheduler.handovers.pop(tag, None)
        _LOGGER.info(
            'item_listed' if operation.outcome else 'item_not_listed',
            extra={
                'job': next_item.job.job_id,
                'customer': next_item.job.customer,
                'item': item_id,
                'state': state.value,
                'output_bytes': len(output),
                'outcome': str(operation.outcome),
                'took_ms': int((trio.current_time() - began_at_s) * 1000),
            },
        )


@contextlib.contextmanager
def _include(tags: set[str], tag: str) -> Iterator[None]:
    """Keeps a tag in a set during the context."""
    tags.add(tag)
    try:
        yield
    finally:
        tags.discard(tag)


def create_result_writer(
    membership: _batch_membership.BatchMembership,
    scheduler: jobs.ItemScheduler,
    ledger: jobs.JobLedger,
    hand_over: HandOver,
    max_record_bytes: int,
) -> ResultWriter:
    """Creates a result writer.

    Args:
        membership: Tracks whether output must be handed to other members.
        scheduler: Tracks items and their output.
        ledger: Writes to the jobs log.
        hand_over: Sends output to another member.
        max_record_bytes: Size limit of a record in the store.
    """
    return ResultWriter(
        membership, scheduler, ledger, hand_over, max_record_bytes
    )
