"""A batch item's run in progress."""

import trio

from siskinmount import jobs


class ItemRun:
    """An item's run in progress.

    Attributes:
        next_item: The item and its job.
        tag: Short name made from the ids of job and item.
        upstream_id: Upstream that runs the item.
        scope: Cancels the run.
    """

    __slots__ = ('next_item', 'tag', 'upstream_id', 'scope')

    def __init__(
        self, next_item: jobs.NextItem, tag: str, upstream_id: str
    ) -> None:
        self.next_item = next_item
        self.tag = tag
        self.upstream_id = upstream_id
        self.scope = trio.CancelScope()
