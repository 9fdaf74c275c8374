"""Reports changes of the set of members among which items are divided."""

import logging

import trio

from siskinmount import peering
from siskinmount.gateway import _batch_membership

_LOGGER = logging.getLogger(__name__)

#: Minimum time between two lines; the second has the newest state.
LINE_INTERVAL_S = 1.0
#: Maximum number of names of members in one field.
MAX_NAMES = 8


class EligibleMembersWatch:
    """Compares the set of members with the one that was logged last."""

    __slots__ = ('_membership', '_directory', '_logged_members', '_logged_at_s')

    def __init__(
        self,
        membership: _batch_membership.BatchMembership,
        directory: peering.PeerDirectory,
    ) -> None:
        self._membership = membership
        self._directory = directory
        self._logged_members: set[str] = set()
        self._logged_at_s = float('-inf')

    def check(self) -> None:
        """Logs the set of members if it has changed and a line is due."""
        now_s = trio.current_time()
        if now_s - self._logged_at_s < LINE_INTERVAL_S:
            return
        members = set(self._membership.list_eligible_members())
        if members == self._logged_members:
            return
        before = self._logged_members
        self._logged_members = members
        self._logged_at_s = now_s
        obstacle = self._membership.find_obstacle()
        knows_jobs = obstacle is None
        _LOGGER.info(
            'eligible_members_changed',
            extra={
                'before': len(before),
                'after': len(members),
                'added': sorted(members - before)[:MAX_NAMES],
                'removed': sorted(before - members)[:MAX_NAMES],
                'know_jobs': self._directory.count_informed() + knows_jobs,
                'is_member': self._membership.vm in members,
                'obstacle': obstacle.value if obstacle else None,
                'view_age_ms': self._membership.get_view_age_ms(),
            },
        )


def create_eligible_members_watch(
    membership: _batch_membership.BatchMembership,
    directory: peering.PeerDirectory,
) -> EligibleMembersWatch:
    """Creates a watch that has logged no member.

    Args:
        membership: Lists the members among which items are divided.
        directory: The other members.
    """
    return EligibleMembersWatch(membership, directory)
