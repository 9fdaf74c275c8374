"""The member that appends to the log of jobs for all."""

from siskinmount import jobs
from siskinmount import peering
from siskinmount import results
from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _peers_api

_ROLE = 'jobs-writer'


class JobsWriter:
    """Implements `PreferredWriter`.

    A fleet in which members send to each other directly is small enough for
    each to append itself.
    """

    __slots__ = ('_membership', '_peers_api', '_members', '_chosen')

    def __init__(
        self,
        membership: _batch_membership.BatchMembership,
        peers_api: _peers_api.PeersApi,
    ) -> None:
        self._membership = membership
        self._peers_api = peers_api
        self._members: list[str] = []
        self._chosen = ''

    def choose(self) -> str | None:
        """Implements `PreferredWriter.choose`."""
        members = self._membership.list_eligible_members()
        if len(members) <= peering.MAX_DIRECT_MEMBERS:
            return None
        if members is not self._members:
            self._members = members
            self._chosen = jobs.choose_member(_ROLE, members)
        return None if self._chosen == self._membership.vm else self._chosen

    async def write(
        self, writer: str, operations: list[jobs.Operation]
    ) -> jobs.Outcomes | results.Failure:
        """Implements `PreferredWriter.write`."""
        answer = await self._peers_api.send_operations(
            writer, jobs.encode_operations(operations)
        )
        if isinstance(answer, results.Failure):
            return answer
        return jobs.decode_outcomes(answer, len(operations))


def create_jobs_writer(
    membership: _batch_membership.BatchMembership,
    peers_api: _peers_api.PeersApi,
) -> JobsWriter:
    """Creates what chooses and calls the member that writes for all.

    Args:
        membership: Lists the members that can read the log of jobs.
        peers_api: Calls other members.
    """
    return JobsWriter(membership, peers_api)
