"""This member's part in running batch jobs, and what its peers run."""

import enum
import math

import trio

from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering

#: How long a member must be without current jobs before its items are handed to
#: members that have them. Members detect an outage at different times, up to a
#: long poll's wait and slack apart.
HAND_OVER_AFTER_S = 2.5
#: How long after its start a member starts no batch items: callers that waited
#: retry at once, and upstreams drop the runs of a process that lost power only
#: after 1.5 s.
BATCH_AFTER_START_S = 2.0
#: Delays of a message after which all members know of one that has become
#: eligible. Until then those that were responsible for its items start them.
SETTLE_DELAYS = 4
#: A member whose view of the jobs log is older than this starts no items, as
#: all members must stop an ended job within 3 s. The age matters because a
#: silent connection is detected only later, and a member that has just read all
#: jobs over a slow link is seconds behind. Reads of an idle log return every
#: 1.5 s.
MAX_VIEW_AGE_S = 2.2


class Obstacle(enum.Enum):
    """Why a member has no current jobs."""

    #: The delay after its start is not over.
    STARTING = 'starting'

    #: A graceful shutdown has begun.
    LEAVING = 'leaving'

    #: The jobs log has not been loaded since its start or history's end.
    LOG_NOT_LOADED = 'jobs_log_not_loaded'

    #: The last read of the jobs log failed.
    LOG_UNREACHABLE = 'jobs_log_unreachable'

    #: The view of the jobs log is older than `MAX_VIEW_AGE_S`.
    VIEW_TOO_OLD = 'view_too_old'


class BatchMembership:
    """Decides which members share the batch items, and whether this one does.

    Attributes:
        vm: Name of this member.
        is_leaving: Whether a graceful shutdown has begun.
    """

    __slots__ = (
        'vm',
        'is_leaving',
        '_directory',
        '_jobs_follower',
        '_started_at_s',
        '_excluded_since_s',
    )

    def __init__(
        self,
        vm: str,
        directory: peering.PeerDirectory,
        jobs_follower: keyed_log.LogFollower,
    ) -> None:
        self.vm = vm
        self.is_leaving = False
        self._directory = directory
        self._jobs_follower = jobs_follower
        self._started_at_s = float('inf')
        self._excluded_since_s: float | None = None

    def mark_started(self) -> None:
        """Starts the delay after which batch items may start."""
        self._started_at_s = trio.current_time()

    def list_eligible_members(self) -> list[str]:
        """Returns the members among which items and jobs are divided."""
        return self._directory.list_responsible(
            self.is_leaving, self.has_current_jobs()
        )

    def has_current_jobs(self) -> bool:
        """Returns whether items may start and the jobs are up to date."""
        return self.find_obstacle() is None

    def find_obstacle(self) -> Obstacle | None:
        """Returns why this member has no current jobs; None if it has."""
        if self.is_leaving:
            return Obstacle.LEAVING
        if self._get_age_s() <= BATCH_AFTER_START_S:
            return Obstacle.STARTING
        if not self._jobs_follower.is_loaded:
            return Obstacle.LOG_NOT_LOADED
        if not self._jobs_follower.is_reachable:
            return Obstacle.LOG_UNREACHABLE
        age_s = trio.current_time() - self._jobs_follower.current_at_s
        if age_s < MAX_VIEW_AGE_S:
            return None
        return Obstacle.VIEW_TOO_OLD

    def get_view_age_ms(self) -> int | None:
        """Returns the age of the view of the jobs log; None if never read."""
        age_s = trio.current_time() - self._jobs_follower.current_at_s
        return int(age_s * 1000) if math.isfinite(age_s) else None

    def may_start_items(self) -> bool:
        """Returns whether the start delay is over and no shutdown has begun."""
        settle_s = SETTLE_DELAYS * self._directory.message_delay_s
        is_settled = self._get_age_s() > BATCH_AFTER_START_S + settle_s
        return is_settled and not self.is_leaving

    def _get_age_s(self) -> float:
        return trio.current_time() - self._started_at_s

    def must_hand_over(self) -> bool:
        """Returns whether other members must continue the items kept here.

        That is so when this member shuts down, or when it has no current jobs
        and others have. The latter counts only after `HAND_OVER_AFTER_S`, as
        members disagree at the start of an outage.
        """
        if self.vm in self.list_eligible_members():
            self._excluded_since_s = None
            return False
        if self.is_leaving:
            return True
        now_s = trio.current_time()
        if self._excluded_since_s is None:
            self._excluded_since_s = now_s
        return now_s - self._excluded_since_s > HAND_OVER_AFTER_S

    def list_peer_items(self) -> jobs.PeerItems:
        """Returns the items whose runs or partial output peers hold."""
        # Drops the claims of peers that are gone.
        self._directory.list_live()
        claims = self._directory.claims
        return jobs.PeerItems(claims.holders_by_tag, claims.keeper_by_tag)

    def get_message_delay_s(self) -> float:
        """Returns the mean age of what peers have told."""
        return self._directory.message_delay_s


def create_batch_membership(
    vm: str,
    directory: peering.PeerDirectory,
    jobs_follower: keyed_log.LogFollower,
) -> BatchMembership:
    """Creates the membership of a member that has not started yet.

    Args:
        vm: Name of this member.
        directory: The other members.
        jobs_follower: Reads the jobs log; a member that cannot read it runs no
            items.
    """
    return BatchMembership(vm, directory, jobs_follower)
