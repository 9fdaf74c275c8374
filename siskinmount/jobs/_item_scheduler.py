"""Decides which items of which jobs this process runs next.

Each item has one responsible member, the first by rendezvous hash among those
that live; so no member is asked and none is elected. Members tell each other
what they run: an item that runs anywhere is not begun elsewhere. Members that
differ for a moment on who lives may run an item twice; it is listed once.
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
    """

    __slots__ = (
        'events',
        'last_event_id',
        'failed_attempts',
        'lost_runs',
        'not_before_s',
    )

    def __init__(self) -> None:
        self.events: list[str] = []
        self.last_event_id: int | None = None
        self.failed_attempts = 0
        self.lost_runs = 0
        self.not_before_s = 0.0

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


class ItemScheduler:
    """Chooses items, earliest job first.

    Attributes:
        held_tags: Items that this process runs or is about to list.
        progress: Memory of items by tag.
    """

    __slots__ = (
        'held_tags',
        'progress',
        '_table',
        '_member',
        '_list_members',
        '_is_run_elsewhere',
    )

    def __init__(
        self,
        table: _job_table.JobTable,
        member: str,
        list_members: Callable[[], list[str]],
        is_run_elsewhere: Callable[[str], bool],
    ) -> None:
        self.held_tags: set[str] = set()
        self.progress: dict[str, ItemProgress] = {}
        self._table = table
        self._member = member
        self._list_members = list_members
        self._is_run_elsewhere = is_run_elsewhere

    def iterate_next(self) -> Iterator[NextItem]:
        """Yields the items that may begin here now, the most urgent first."""
        members = self._list_members()
        now_s = trio.current_time()
        for job in list(self._table.jobs.values()):
            if job.is_ended:
                continue
            for item in list(job.open_items.values()):
                tag = make_tag(job.job_id, item.item_id)
                if tag in self.held_tags or self._is_run_elsewhere(tag):
                    continue
                progress = self.progress.get(tag)
                if progress is not None and progress.not_before_s > now_s:
                    continue
                if choose_member(tag, members) == self._member:
                    yield NextItem(job, item)

    def get_progress(self, tag: str) -> ItemProgress:
        """Returns the memory of an item."""
        progress = self.progress.get(tag)
        if progress is None:
            progress = ItemProgress()
            self.progress[tag] = progress
        return progress

    def forget_closed(self) -> None:
        """Drops the memory of items that are listed or ended."""
        open_tags: set[str] = set()
        for job in self._table.jobs.values():
            if job.is_ended:
                continue
            for item_id in job.open_items:
                open_tags.add(make_tag(job.job_id, item_id))
        for tag in list(self.progress):
            if tag not in open_tags and tag not in self.held_tags:
                del self.progress[tag]


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
    is_run_elsewhere: Callable[[str], bool],
) -> ItemScheduler:
    """Creates a scheduler that knows no item yet."""
    return ItemScheduler(table, member, list_members, is_run_elsewhere)
