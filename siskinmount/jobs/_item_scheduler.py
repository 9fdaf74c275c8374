"""Decides which items of which jobs this process runs next.

Each item has one responsible member: the one that keeps output of it, else the
first by rendezvous hash among those that live; so no member is asked and none is
elected. Members tell each other what they run and keep. All see the same jobs in
the same order, so each begins its items only as far down that order as there are
free slots in the fleet: an older item never waits for a newer one of another
member. Members that differ for a moment on who lives may run an item twice; it
is listed once.
"""

from collections.abc import Callable
from collections.abc import Iterator

import trio
import xxhash

from siskinmount.jobs import _job
from siskinmount.jobs import _job_table

#: Pause after the first failed attempt of an item, doubled with each.
FIRST_RETRY_S = 0.3
MAX_RETRY_S = 5.0


def make_tag(job_id: str, item_id: str) -> str:
    """Returns a short name of an item for messages between members."""
    return xxhash.xxh64_hexdigest(f'{job_id}/{item_id}'.encode())


class ItemProgress:
    """What this process remembers of an item between its runs.

    Attributes:
        events: Data of the events so far, in order.
        last_event_id: Id of the last of them; None before the first.
        failed_attempts: Answers that say that the run failed.
        lost_runs: Runs in a row that were broken off.
        not_before_s: Steady time before which it is not begun.
        is_complete: Whether the output is whole and needs only to be listed.
    """

    __slots__ = (
        'events',
        'last_event_id',
        'failed_attempts',
        'lost_runs',
        'not_before_s',
        'is_complete',
    )

    def __init__(self) -> None:
        self.events: list[str] = []
        self.last_event_id: int | None = None
        self.failed_attempts = 0
        self.lost_runs = 0
        self.not_before_s = 0.0
        self.is_complete = False

    def pause(self, failures: int) -> None:
        """Lets the item wait, longer after more failures."""
        pause_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** max(0, failures - 1))
        self.not_before_s = trio.current_time() + pause_s


class NextItem:
    """An item to run.

    Attributes:
        job: Its job.
        item: The item.
    """

    __slots__ = ('job', 'item')

    def __init__(self, job: _job.Job, item: _job.JobItem) -> None:
        self.job = job
        self.item = item


class ItemsElsewhere:
    """What the other members that live say of items.

    Attributes:
        held_tags: Items that they run or are about to list.
        keeper_by_tag: Which of them keeps output of an item that waits.
    """

    __slots__ = ('held_tags', 'keeper_by_tag')

    def __init__(
        self, held_tags: set[str], keeper_by_tag: dict[str, str]
    ) -> None:
        self.held_tags = held_tags
        self.keeper_by_tag = keeper_by_tag


class ItemScheduler:
    """Chooses items, earliest job first.

    Attributes:
        held_tags: Items that this process runs or is about to list.
        progress: Memory of items by tag.
        waiting_output: Output that other members gave of items that run here.
    """

    __slots__ = (
        'held_tags',
        'progress',
        'waiting_output',
        '_table',
        '_member',
        '_list_members',
        '_list_elsewhere',
        '_tags',
        '_responsible_of',
        '_responsible_by_tag',
    )

    def __init__(
        self,
        table: _job_table.JobTable,
        member: str,
        list_members: Callable[[], list[str]],
        list_elsewhere: Callable[[], ItemsElsewhere],
    ) -> None:
        self.held_tags: set[str] = set()
        self.progress: dict[str, ItemProgress] = {}
        self.waiting_output: dict[str, ItemProgress] = {}
        self._table = table
        self._member = member
        self._list_members = list_members
        self._list_elsewhere = list_elsewhere
        self._tags: dict[tuple[str, str], str] = {}
        self._responsible_of: list[str] = []
        self._responsible_by_tag: dict[str, str] = {}

    def iterate_next(
        self, count_free_slots: Callable[[str], int]
    ) -> Iterator[NextItem]:
        """Yields the items that may begin here now, the oldest first.

        Args:
            count_free_slots: Returns the free slots for a route's items.
        """
        members = self._list_members()
        elsewhere = self._list_elsewhere()
        now_s = trio.current_time()
        room_by_route: dict[str, int] = {}
        for job in list(self._table.jobs.values()):
            if job.is_ended:
                continue
            room = room_by_route.get(job.route_name)
            if room is None:
                room = count_free_slots(job.route_name)
            for item in list(job.open_items.values()):
                if room <= 0:
                    break
                tag = self._get_tag(job, item)
                if tag in self.held_tags or tag in elsewhere.held_tags:
                    continue
                progress = self.progress.get(tag)
                if progress is not None and progress.not_before_s > now_s:
                    continue
                room -= 1
                if self._is_own(tag, progress, elsewhere, members):
                    yield NextItem(job, item)
            room_by_route[job.route_name] = room

    def take_handed_over(self, tag: str, handed: ItemProgress) -> None:
        """Takes output of an item from a member that cannot go on with it.

        For an item that runs here the output waits until `adopt` is called.
        """
        if len(self.get_progress(tag).events) >= len(handed.events):
            return
        if tag in self.held_tags:
            self.waiting_output[tag] = handed
            return
        self.progress[tag] = handed

    def adopt(self, tag: str) -> None:
        """Takes the output that came while an item ran here, if it is more."""
        handed = self.waiting_output.pop(tag, None)
        if handed is None:
            return
        if len(handed.events) > len(self.get_progress(tag).events):
            self.progress[tag] = handed

    def list_kept_tags(self) -> set[str]:
        """Returns the items of which this process keeps output."""
        kept: set[str] = set()
        for tag, progress in self.progress.items():
            if progress.events and tag not in self.held_tags:
                kept.add(tag)
        return kept

    def _is_own(
        self,
        tag: str,
        progress: ItemProgress | None,
        elsewhere: ItemsElsewhere,
        members: list[str],
    ) -> bool:
        """Returns whether this member is the one to run an item."""
        if self._member not in members:
            return False
        keeper = elsewhere.keeper_by_tag.get(tag)
        if progress is not None and progress.events:
            return keeper is None or self._member < keeper
        if keeper is not None:
            return False
        return self._get_responsible(tag, members) == self._member

    def _get_tag(self, job: _job.Job, item: _job.JobItem) -> str:
        """Returns an item's tag, which is hashed once."""
        key = (job.job_id, item.item_id)
        tag = self._tags.get(key)
        if tag is None:
            tag = make_tag(job.job_id, item.item_id)
            self._tags[key] = tag
        return tag

    def _get_responsible(self, tag: str, members: list[str]) -> str:
        """Returns the member for an item, chosen once for the same members."""
        if members != self._responsible_of:
            self._responsible_of = list(members)
            self._responsible_by_tag.clear()
        member = self._responsible_by_tag.get(tag)
        if member is None:
            member = choose_member(tag, members)
            self._responsible_by_tag[tag] = member
        return member

    def get_progress(self, tag: str) -> ItemProgress:
        """Returns the memory of an item."""
        progress = self.progress.get(tag)
        if progress is None:
            progress = ItemProgress()
            self.progress[tag] = progress
        return progress

    def forget_closed(self) -> None:
        """Drops the memory of items that are listed or ended."""
        open_keys: set[tuple[str, str]] = set()
        open_tags: set[str] = set()
        for job in self._table.jobs.values():
            if job.is_ended:
                continue
            for item in job.open_items.values():
                open_keys.add((job.job_id, item.item_id))
                open_tags.add(self._get_tag(job, item))
        for memory in (self.progress, self.waiting_output):
            for tag in list(memory):
                if tag not in open_tags and tag not in self.held_tags:
                    del memory[tag]
        for key, tag in list(self._tags.items()):
            if key not in open_keys:
                del self._tags[key]
                self._responsible_by_tag.pop(tag, None)


def choose_member(tag: str, members: list[str]) -> str:
    """Returns the member that is responsible for an item."""
    best = ''
    best_hash = -1
    for member in members:
        value = xxhash.xxh64_intdigest(f'{tag}/{member}'.encode())
        if value > best_hash:
            best = member
            best_hash = value
    return best


def create_item_scheduler(
    table: _job_table.JobTable,
    member: str,
    list_members: Callable[[], list[str]],
    list_elsewhere: Callable[[], ItemsElsewhere],
) -> ItemScheduler:
    """Creates a scheduler that knows no item yet."""
    return ItemScheduler(table, member, list_members, list_elsewhere)
