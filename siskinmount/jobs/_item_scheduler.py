"""Selects the items of jobs that this process runs next.

Each item has one responsible member: the one that holds partial output of the
item, else the first by rendezvous hash among the live members. This needs
neither a request to other members nor a leader. Members tell each other which
items they run and of which they hold output. All see the same jobs in the same
order, and each starts only those of its items that are among the first N
waiting items, where N is the number of free slots in the fleet. So an older
item never waits for a newer one of another member. While members disagree on
which members are live, an item may run twice; its result is listed once.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Mapping
import enum

import trio
import xxhash

from siskinmount import transport
from siskinmount.jobs import _job
from siskinmount.jobs import _job_table

#: Back-off after the first failed attempt of an item, doubled with each.
FIRST_RETRY_S = 0.3
MAX_RETRY_S = 5.0
#: Longest back-off after interrupted runs, which are no fault of the item.
MAX_INTERRUPTED_RETRY_S = 2.0


def make_tag(job_id: str, item_id: str) -> str:
    """Returns the hash that identifies an item between members."""
    return xxhash.xxh64_hexdigest(f'{job_id}/{item_id}'.encode())


class ItemProgress:
    """State of an item that is kept between its runs in this process.

    Attributes:
        events: Data of the output events received so far, in order.
        last_event_id: Id of the last event; None before the first.
        empty_end_id: Id of the event after which an upstream sent none, without
            showing that there is none; None if that has not been so.
        connections: Connections over which it was sent to upstreams.
        failed_attempts: Runs for which the upstream reported a failure.
        failed_upstreams: Upstreams that failed a run, and are not to run the
            item again as long as there are others.
        lost_runs: Consecutive runs that were interrupted.
        not_before_s: Monotonic time before which the item is not started.
        is_complete: Whether the output is complete but not yet listed.
        service: Service that wrote the output; empty if there is none.
        software_version: Version of its software, which alone may go on with
            the output.
        kept_since_s: Monotonic time since which the output has not grown.
    """

    __slots__ = (
        'events',
        'last_event_id',
        'empty_end_id',
        'connections',
        'failed_attempts',
        'failed_upstreams',
        'lost_runs',
        'not_before_s',
        'is_complete',
        'service',
        'software_version',
        'kept_since_s',
    )

    def __init__(self) -> None:
        self.events: list[str] = []
        self.last_event_id: int | None = None
        self.empty_end_id: int | None = None
        self.connections: transport.EarlierConnections = (
            transport.EarlierConnections()
        )
        self.failed_attempts = 0
        self.failed_upstreams: set[str] = set()
        self.lost_runs = 0
        self.not_before_s = 0.0
        self.is_complete = False
        self.service = ''
        self.software_version = ''
        self.kept_since_s = 0.0

    def drop_output(self) -> None:
        """Drops the output, so that the next run starts from the beginning."""
        self.events.clear()
        self.last_event_id = None
        self.empty_end_id = None
        self.service = ''
        self.software_version = ''

    def back_off(self, failures: int) -> None:
        """Delays the next run, with exponential back-off by failures."""
        self._delay(failures, MAX_RETRY_S)

    def back_off_interrupted(self) -> None:
        """Delays the next run, by the number of consecutive lost runs."""
        self._delay(self.lost_runs, MAX_INTERRUPTED_RETRY_S)

    def _delay(self, failures: int, max_pause_s: float) -> None:
        pause_s = min(max_pause_s, FIRST_RETRY_S * 2 ** max(0, failures - 1))
        self.not_before_s = trio.current_time() + pause_s


class HandoverOutcome(enum.Enum):
    """What became of output that another member handed over."""

    #: It replaces the output kept here.
    STORED = 'stored'

    #: It is applied once the item's run or write here has ended.
    KEPT_FOR_RUNNING_ITEM = 'kept_for_running_item'

    #: It has no more events than the output kept here, and is dropped.
    SHORTER_THAN_OWN = 'shorter_than_own'


class NextItem:
    """An item to run.

    Attributes:
        job: The job of the item.
        item: The item to run.
        rank: Number of waiting items that take a free slot before it.
    """

    __slots__ = ('job', 'item', 'rank')

    def __init__(
        self, job: _job.Job, item: _job.JobItem, rank: int = 0
    ) -> None:
        self.job = job
        self.item = item
        self.rank = rank


class PeerItems:
    """State of items at the other live members.

    Attributes:
        held_tags: Items that they run or are about to list, as a container.
        output_holder_by_tag: The member that holds partial output of a waiting
            item.
    """

    __slots__ = ('held_tags', 'output_holder_by_tag')

    def __init__(
        self,
        held_tags: Container[str],
        output_holder_by_tag: Mapping[str, str],
    ) -> None:
        self.held_tags = held_tags
        self.output_holder_by_tag = output_holder_by_tag


class ItemScheduler:
    """Chooses items, earliest job first.

    Attributes:
        held_tags: Items that this process runs or is about to list.
        progress: State of items by tag.
        handovers: Output that other members handed over for items that run
            here, by tag.
        started_at_s: Monotonic time of the last run started here, by tag.
    """

    __slots__ = (
        'held_tags',
        'progress',
        'handovers',
        'started_at_s',
        '_table',
        '_member',
        '_list_members',
        '_list_peer_items',
        '_tags',
        '_responsible_members',
        '_responsible_by_tag',
    )

    def __init__(
        self,
        table: _job_table.JobTable,
        member: str,
        list_members: Callable[[], list[str]],
        list_peer_items: Callable[[], PeerItems],
    ) -> None:
        self.held_tags: set[str] = set()
        self.progress: dict[str, ItemProgress] = {}
        self.handovers: dict[str, ItemProgress] = {}
        self.started_at_s: dict[str, float] = {}
        self._table = table
        self._member = member
        self._list_members = list_members
        self._list_peer_items = list_peer_items
        self._tags: dict[tuple[str, str], str] = {}
        self._responsible_members: list[str] = []
        self._responsible_by_tag: dict[str, str] = {}

    def iterate_next(
        self, count_free_slots: Callable[[str], int]
    ) -> Iterator[NextItem]:
        """Yields the items to start in this process now, the oldest first.

        An item whose output is complete needs no slot.

        Args:
            count_free_slots: Returns the free slots for a route's items.
        """
        members = self._list_members()
        peer_items = self._list_peer_items()
        now_s = trio.current_time()
        complete_tags = self._list_complete_tags()
        free_by_route: dict[str, int] = {}
        taken_by_route: dict[str, int] = {}
        for job in self._table.list_open():
            if job.is_ended:
                continue
            free_slots = free_by_route.get(job.route_name)
            if free_slots is None:
                free_slots = count_free_slots(job.route_name)
            taken = taken_by_route.get(job.route_name, 0)
            for item in list(job.open_items.values()):
                if free_slots <= 0 and not complete_tags:
                    break
                tag = self._get_tag(job, item)
                if tag in self.held_tags or tag in peer_items.held_tags:
                    continue
                progress = self.progress.get(tag)
                if progress is not None and progress.not_before_s > now_s:
                    continue
                if tag not in complete_tags:
                    if free_slots <= 0:
                        continue
                    free_slots -= 1
                    taken += 1
                if self._is_own(tag, progress, peer_items, members):
                    yield NextItem(job, item, max(0, taken - 1))
            free_by_route[job.route_name] = free_slots
            taken_by_route[job.route_name] = taken

    def _list_complete_tags(self) -> set[str]:
        """Returns the items whose complete output waits to be listed."""
        complete: set[str] = set()
        for tag, progress in self.progress.items():
            if progress.is_complete and tag not in self.held_tags:
                complete.add(tag)
        return complete

    def accept_handover(
        self, tag: str, handed: ItemProgress
    ) -> HandoverOutcome:
        """Accepts output of an item from a member that cannot continue its run.

        The output for an item that runs here is kept until `release` is called.
        """
        if len(self.get_progress(tag).events) >= len(handed.events):
            return HandoverOutcome.SHORTER_THAN_OWN
        if tag in self.held_tags:
            self.handovers[tag] = handed
            return HandoverOutcome.KEPT_FOR_RUNNING_ITEM
        self.progress[tag] = handed
        return HandoverOutcome.STORED

    def release(self, tag: str) -> None:
        """Gives up the claim on an item.

        Output handed over meanwhile is applied if it has more events.
        """
        self.held_tags.discard(tag)
        handed = self.handovers.pop(tag, None)
        if handed is None:
            return
        if len(handed.events) > len(self.get_progress(tag).events):
            self.progress[tag] = handed

    def has_state(self) -> bool:
        """Returns whether this process holds items or state of items."""
        return bool(self.held_tags or self.progress or self.handovers)

    def list_kept_tags(self) -> set[str]:
        """Returns the waiting items of which this process holds output."""
        kept: set[str] = set()
        for tag, progress in self.progress.items():
            if progress.events and tag not in self.held_tags:
                kept.add(tag)
        return kept

    def is_own(
        self, tag: str, peer_items: PeerItems, members: list[str]
    ) -> bool:
        """Returns whether this member is to start an item that nobody holds."""
        return self._is_own(tag, self.progress.get(tag), peer_items, members)

    def _is_own(
        self,
        tag: str,
        progress: ItemProgress | None,
        peer_items: PeerItems,
        members: list[str],
    ) -> bool:
        """Returns whether this member is responsible for an item."""
        if self._member not in members:
            return False
        output_holder = peer_items.output_holder_by_tag.get(tag)
        if progress is not None and progress.events:
            return output_holder is None or self._member < output_holder
        if output_holder is not None:
            return False
        return self.get_responsible(tag, members) == self._member

    def _get_tag(self, job: _job.Job, item: _job.JobItem) -> str:
        """Returns the tag of an item, from the cache if present."""
        key = (job.job_id, item.item_id)
        tag = self._tags.get(key)
        if tag is None:
            tag = make_tag(job.job_id, item.item_id)
            self._tags[key] = tag
        return tag

    def get_responsible(self, tag: str, members: list[str]) -> str:
        """Returns the responsible member, cached per list of members."""
        if members != self._responsible_members:
            self._responsible_members = list(members)
            self._responsible_by_tag.clear()
        member = self._responsible_by_tag.get(tag)
        if member is None:
            member = choose_member(tag, members)
            self._responsible_by_tag[tag] = member
        return member

    def get_progress(self, tag: str) -> ItemProgress:
        """Returns the state of an item, created if there is none."""
        progress = self.progress.get(tag)
        if progress is None:
            progress = ItemProgress()
            self.progress[tag] = progress
        return progress

    def forget_closed(self) -> None:
        """Drops the state of items that are listed or whose job is ended."""
        open_keys: set[tuple[str, str]] = set()
        open_tags: set[str] = set()
        for job in self._table.list_open():
            for item in job.open_items.values():
                open_keys.add((job.job_id, item.item_id))
                open_tags.add(self._get_tag(job, item))
        for state_by_tag in (self.progress, self.handovers, self.started_at_s):
            for tag in list(state_by_tag):
                if tag not in open_tags and tag not in self.held_tags:
                    del state_by_tag[tag]
        for key, tag in list(self._tags.items()):
            if key not in open_keys:
                del self._tags[key]
                self._responsible_by_tag.pop(tag, None)


def choose_member(tag: str, members: list[str]) -> str:
    """Returns the responsible member by rendezvous hash."""
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
    list_peer_items: Callable[[], PeerItems],
) -> ItemScheduler:
    """Creates a scheduler without state of items."""
    return ItemScheduler(table, member, list_members, list_peer_items)
