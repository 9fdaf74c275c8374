"""What this member may and must do for batch jobs, and what others do."""

import trio

from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering

#: How long the store must be away before items are given to members that reach
#: it: all find an outage within a read's wait and slack of each other.
HAND_OVER_AFTER_S = 2.5
#: How long after its start a member begins no batch items: callers that waited
#: come back at once, and upstreams drop the runs of a process that lost its
#: power only after a second and a half.
BATCH_AFTER_START_S = 2.0
#: A member whose view of the jobs is older than this begins no items: the end of
#: a job must be in force everywhere within three seconds. A connection that has
#: gone silent shows later, and who has just read all jobs over a slow link is
#: seconds behind. Reads of a quiet log are answered each 1.5 s.
MAX_VIEW_AGE_S = 2.2


class MemberDuties:
    """Which members share the batch items, and whether this one is of them.

    Attributes:
        vm: Name of this member.
        is_leaving: Whether a planned stop has begun.
    """

    __slots__ = ('vm', 'is_leaving', '_directory', '_jobs', '_started_at_s')

    def __init__(
        self,
        vm: str,
        directory: peering.PeerDirectory,
        jobs_follower: keyed_log.LogFollower,
    ) -> None:
        self.vm = vm
        self.is_leaving = False
        self._directory = directory
        self._jobs = jobs_follower
        self._started_at_s = float('inf')

    def note_started(self) -> None:
        """Begins the time after which batch items may begin."""
        self._started_at_s = trio.current_time()

    def list_responsible(self) -> list[str]:
        """Returns the members among which items and jobs are shared."""
        return self._directory.list_responsible(
            self.is_leaving, self.knows_jobs()
        )

    def knows_jobs(self) -> bool:
        """Returns whether this member may begin items of all jobs."""
        if not self.may_begin_items():
            return False
        if not self._jobs.is_loaded or not self._jobs.is_reachable:
            return False
        return trio.current_time() - self._jobs.current_at_s < MAX_VIEW_AGE_S

    def may_begin_items(self) -> bool:
        """Returns whether the first moments after the start are over."""
        age_s = trio.current_time() - self._started_at_s
        return not self.is_leaving and age_s > BATCH_AFTER_START_S

    def must_hand_over(self) -> bool:
        """Returns whether other members must go on with the items kept here.

        It ends, or it cannot reach the store and another has said for a while
        that it can: at the begin of an outage members differ on that.
        """
        if self.vm in self.list_responsible():
            return False
        if self.is_leaving:
            return True
        lost_s = trio.current_time() - self._jobs.lost_at_s
        return not self._jobs.is_reachable and lost_s > HAND_OVER_AFTER_S

    def list_elsewhere(self) -> jobs.PeerItems:
        """Returns what the live peers run and keep."""
        held_tags: set[str] = set()
        output_holder_by_tag: dict[str, str] = {}
        for peer in self._directory.list_live():
            if peer.message is None:
                continue
            held_tags |= peer.message.held_tags
            if peer.message.is_leaving:
                # It is about to hand them over.
                held_tags |= peer.message.kept_tags
                continue
            for tag in peer.message.kept_tags:
                output_holder_by_tag[tag] = peer.member
        return jobs.PeerItems(held_tags, output_holder_by_tag)


def create_member_duties(
    vm: str,
    directory: peering.PeerDirectory,
    jobs_follower: keyed_log.LogFollower,
) -> MemberDuties:
    """Creates the duties of a member that has not started yet.

    Args:
        vm: Name of this member.
        directory: The other members.
        jobs_follower: Reads the log of jobs; who cannot read it has no duties.
    """
    return MemberDuties(vm, directory, jobs_follower)
