"""Puts results of batch items into the log, or into other hands."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from siskinmount import jobs
from siskinmount.gateway import _member_duties

_LOGGER = logging.getLogger(__name__)

#: How long a result waits for the store before it is given to a member that
#: reaches it: an append takes milliseconds, and half a second on a slow store.
LIST_PATIENCE_S = 0.7

#: Gives output of an item to another member; tells whether it was taken.
HandOver = Callable[[str, jobs.ItemProgress, str], Awaitable[bool]]


class ItemLister:
    """Lists items, and hands over what this member cannot list."""

    __slots__ = (
        '_duties',
        '_scheduler',
        '_ledger',
        '_hand_over',
        '_max_record_bytes',
    )

    def __init__(
        self,
        duties: _member_duties.MemberDuties,
        scheduler: jobs.ItemScheduler,
        ledger: jobs.JobLedger,
        hand_over: HandOver,
        max_record_bytes: int,
    ) -> None:
        self._duties = duties
        self._scheduler = scheduler
        self._ledger = ledger
        self._hand_over = hand_over
        self._max_record_bytes = max_record_bytes

    async def list_complete(self, next_item: jobs.NextItem, tag: str) -> None:
        """Lists an item whose output is whole."""
        output = '\n'.join(self._scheduler.get_progress(tag).events)
        await self._list(next_item, tag, jobs.ItemState.DONE, output)

    async def give_up(
        self, next_item: jobs.NextItem, tag: str, reason: str
    ) -> None:
        """Lists an item as given up."""
        _LOGGER.warning(
            'item_given_up',
            extra={
                'job': next_item.job.job_id,
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
        await self._list(next_item, tag, jobs.ItemState.GIVEN_UP, '')

    async def hand_over_kept(self) -> None:
        """Gives the output of items that wait to the members that go on."""
        if not self._duties.must_hand_over():
            return
        for tag in self._scheduler.list_kept_tags():
            self._scheduler.held_tags.add(tag)
            await self._give_away(tag)
            self._scheduler.apply_handover(tag)
            self._scheduler.held_tags.discard(tag)

    async def _give_away(self, tag: str) -> None:
        """Gives the output of an item to another member; keeps it if it fails.

        The item stays held meanwhile, so that nobody begins it anew.
        """
        members: list[str] = []
        for member in self._duties.list_responsible():
            if member != self._duties.vm:
                members.append(member)
        progress = self._scheduler.get_progress(tag)
        if not members or not progress.events:
            return
        member = jobs.choose_member(tag, members)
        if await self._hand_over(tag, progress, member):
            self._scheduler.progress.pop(tag, None)

    async def _list(
        self,
        next_item: jobs.NextItem,
        tag: str,
        state: jobs.ItemState,
        output: str,
    ) -> None:
        """Writes a result into the log, however long that takes.

        A member that cannot reach the store leaves the writing to one that can.
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
            with trio.move_on_after(LIST_PATIENCE_S):
                await operation.finished.wait()
            if operation.finished.is_set():
                break
            if state is jobs.ItemState.DONE and self._duties.must_hand_over():
                self._ledger.withdraw(operation)
                await self._give_away(tag)
                break
        self._scheduler.handovers.pop(tag, None)
        self._scheduler.held_tags.discard(tag)
        _LOGGER.info(
            'item_listed' if operation.outcome else 'item_not_listed',
            extra={
                'job': next_item.job.job_id,
                'item': item_id,
                'state': state.value,
                'output_bytes': len(output),
                'outcome': str(operation.outcome),
                'took_ms': int((trio.current_time() - began_at_s) * 1000),
            },
        )


def create_item_lister(
    duties: _member_duties.MemberDuties,
    scheduler: jobs.ItemScheduler,
    ledger: jobs.JobLedger,
    hand_over: HandOver,
    max_record_bytes: int,
) -> ItemLister:
    """Creates a lister.

    Args:
        duties: Whether this member must leave the writing to others.
        scheduler: Holds items and their output.
        ledger: Writes into the log of jobs.
        hand_over: Gives output to another member.
        max_record_bytes: Longest record that the store takes.
    """
    return ItemLister(duties, scheduler, ledger, hand_over, max_record_bytes)
