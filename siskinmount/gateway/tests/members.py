"""Creates the members of a fleet as one of them sees them."""

import trio

from siskinmount import peering
from siskinmount import placement
from siskinmount.gateway import _batch_membership


class JobsFollower:
    """A fake follower of the jobs log, which has just been read."""

    def __init__(self):
        self.is_loaded = True
        self.is_reachable = True
        self.current_at_s = trio.current_time()
        self.lost_at_s = float('-inf')


def make_message(member='p', sequence=1, **fields):
    """Returns a message of a peer that reads the jobs log and runs nothing."""
    values = {
        'incarnation': 1,
        'address': '127.0.0.1',
        'is_leaving': False,
        'knows_jobs': True,
        'document_version': 1,
        'counts': {},
        'held_tags': set(),
        'kept_tags': set(),
        'crashes': {},
        'failure_tallies': {},
        **fields,
    }
    return peering.PeerMessage(member=member, sequence=sequence, **values)


class Members:
    """Member `m` and what it knows of its peers."""

    def __init__(self):
        self.load = placement.create_load_table()
        self.crash_tracker = placement.create_crash_tracker()
        self.health = placement.create_upstream_health(self.crash_tracker)
        self.directory = peering.create_peer_directory(
            'm', self.load, self.crash_tracker, self.health
        )
        self.follower = JobsFollower()
        self.membership = _batch_membership.create_batch_membership(
            'm', self.directory, self.follower
        )
        self._sequence = 0

    def hear(self, member, **fields):
        """Applies a message of a peer."""
        self._sequence += 1
        self.directory.apply_message(
            make_message(member, self._sequence, **fields)
        )
