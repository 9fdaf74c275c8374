"""Decides where a batch item goes on with output of an earlier run."""

import logging

import trio

from siskinmount import fleet
from siskinmount import jobs

_LOGGER = logging.getLogger(__name__)

#: How long an item with output waits for a slot of the version that wrote it
#: while others are free. A run from the beginning takes about as long.
OUTPUT_WAIT_S = 2.0


class ItemContinuation:
    """Keeps output of items to the software that wrote it."""

    __slots__ = ('_view', '_scheduler')

    def __init__(
        self, view: fleet.FleetView, scheduler: jobs.ItemScheduler
    ) -> None:
        self._view = view
        self._scheduler = scheduler

    def draw_service(
        self, next_item: jobs.NextItem, tag: str, route: fleet.FleetRoute
    ) -> str:
        """Returns the service of the next run.

        Kept output goes on at the service and version that wrote it. If none of
        that version takes runs any more, the item starts from the beginning.
        """
        progress = self._scheduler.progress.get(tag)
        if progress is None or not progress.events:
            return route.draw_service()
        services = {share.service for share in route.shares}
        software = fleet.Software(progress.service, progress.software_version)
        if software.service in services:
            for upstream in self._view.list_ready(software.service):
                if upstream.software == software:
                    return software.service
        self._drop_output(next_item, progress, 'no upstream of its version')
        return route.draw_service()

    def list_excluded(
        self,
        next_item: jobs.NextItem,
        tag: str,
        upstreams: list[fleet.Upstream],
        excluded: set[str],
    ) -> set[str]:
        """Returns the upstreams at which an item is not to run now.

        With output, these are also all of other software. An item that has
        waited for `OUTPUT_WAIT_S` starts from the beginning where there is a
        slot.

        Args:
            next_item: The item.
            tag: Its tag.
            upstreams: Upstreams with free slots.
            excluded: Upstreams that are left out for other reasons.
        """
        progress = self._scheduler.progress.get(tag)
        if progress is None or not progress.events:
            return excluded
        software = fleet.Software(progress.service, progress.software_version)
        others: set[str] = set()
        may_go_on = False
        may_start = False
        for upstream in upstreams:
            is_excluded = upstream.upstream_id in excluded
            if upstream.software == software:
                may_go_on = may_go_on or not is_excluded
                continue
            others.add(upstream.upstream_id)
            may_start = may_start or not is_excluded
        waited_s = trio.current_time() - progress.kept_since_s
        if may_go_on or not may_start or waited_s < OUTPUT_WAIT_S:
            return excluded | others
        self._drop_output(next_item, progress, 'no free slot of its version')
        return excluded

    def _drop_output(
        self,
        next_item: jobs.NextItem,
        progress: jobs.ItemProgress,
        reason: str,
    ) -> None:
        _LOGGER.info(
            'item_output_dropped',
            extra={
                'job': next_item.job.job_id,
                'item': next_item.item.item_id,
                'service': progress.service,
                'software_version': progress.software_version,
                'events': len(progress.events),
                'reason': reason,
            },
        )
        progress.drop_output()


def create_item_continuation(
    view: fleet.FleetView, scheduler: jobs.ItemScheduler
) -> ItemContinuation:
    """Creates the decision.

    Args:
        view: Upstreams that take runs.
        scheduler: Keeps the output of items.
    """
    return ItemContinuation(view, scheduler)
