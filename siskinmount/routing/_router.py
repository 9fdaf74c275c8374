"""Chooses an upstream for each attempt of a request."""

from collections.abc import Callable
from collections.abc import Collection
import logging
import random

import trio

from siskinmount import configuration
from siskinmount import membership
from siskinmount import results
from siskinmount.routing import _bounded_load
from siskinmount.routing import _choice
from siskinmount.routing import _upstream_load

_LOGGER = logging.getLogger(__name__)

NO_UPSTREAM_RETRY_AFTER_MS = 1000

#: Failures after which other upstreams go first for a time.
_UPSTREAM_FAULTS = frozenset(
    (
        results.ResultCode.OVERLOADED,
        results.ResultCode.UPSTREAM_UNREACHABLE,
        results.ResultCode.UPSTREAM_LOST,
        results.ResultCode.UPSTREAM_ERROR,
        results.ResultCode.UPSTREAM_SILENT,
    )
)
#: Failures that speak against the sidecar itself.
_NO_CONTACT = frozenset(
    (
        results.ResultCode.UPSTREAM_UNREACHABLE,
        results.ResultCode.UPSTREAM_SILENT,
    )
)

_NOTHING: frozenset[str] = frozenset()


class Router:
    """Knows the load of the upstreams and chooses among them.

    Load is this entry's own count and the count that each sidecar puts on its
    answers, never an engine's lagging report.
    """

    __slots__ = ('_table', '_failure_domain', '_clock', '_random', '_loads')

    def __init__(
        self,
        table: membership.MemberTable,
        failure_domain: str,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._failure_domain = failure_domain
        self._clock = clock
        self._random = random_source
        self._loads: dict[str, _upstream_load.UpstreamLoad] = {}
        table.add_listener(self._take_change)

    def choose(
        self,
        service: str,
        affinity_key: str | None,
        excluded_vms: Collection[str] = _NOTHING,
        request_class: configuration.RequestClass = (
            configuration.RequestClass.ONLINE
        ),
    ) -> _choice.Choice | results.Failure:
        """Chooses an upstream and counts an attempt there.

        The caller calls `release` when the attempt has ended.

        Args:
            service: Name of the service.
            affinity_key: Requests with one key go to one upstream while its
                load allows; None if any is as good as another.
            excluded_vms: VMs that have failed this request already.
            request_class: Online or batch. A batch request is refused when no
                upstream is in good order.
        """
        sidecars: list[membership.Member] = []
        for sidecar in self._table.list_sidecars(service):
            if sidecar.vm not in excluded_vms:
                sidecars.append(sidecar)
        candidates = self._list_preferred(sidecars)
        is_online = request_class is configuration.RequestClass.ONLINE
        if not candidates and is_online:
            candidates = _list_last_resort(sidecars)
        if not candidates:
            return _no_upstream(service)
        if affinity_key is None:
            return self._begin(self._choose_of_two(candidates), False)
        return self._choose_by_affinity(affinity_key, candidates)

    def list_in_order(
        self, service: str, affinity_key: str | None
    ) -> list[membership.Member]:
        """Returns the sidecars of a service, the likeliest for a key first.

        Those that leave are among them: they finish what they run.
        """
        by_vm: dict[str, membership.Member] = {}
        for sidecar in self._table.list_sidecars(service):
            by_vm[sidecar.vm] = sidecar
        ranked = membership.rank_by_rendezvous(affinity_key or '', by_vm)
        return [by_vm[vm] for vm in ranked]

    def choose_exactly(
        self, service: str, key: str, excluded_vms: Collection[str] = _NOTHING
    ) -> _choice.Choice | results.Failure:
        """Chooses the first live upstream in a key's order, however loaded.

        All entries choose the same one while they know the same members.
        """
        for sidecar in self.list_in_order(service, key):
            if sidecar.vm in excluded_vms:
                continue
            if sidecar.state is membership.MemberState.LIVE:
                return self._begin(sidecar, True)
        return _no_upstream(service)

    def choose_member(self, member: membership.Member) -> _choice.Choice:
        """Counts an attempt at a sidecar that the caller has chosen."""
        return self._begin(member, False)

    def release(self, vm: str) -> None:
        """Counts the end of an attempt."""
        load = self._loads[vm]
        load.end()
        if load.outstanding < 0:
            _LOGGER.error(
                'invariant_broken',
                extra={
                    'code': int(results.ResultCode.INVARIANT_BROKEN),
                    'invariant': 'outstanding_not_negative',
                    'member': vm,
                },
            )
            raise AssertionError(f'{vm} has fewer than no attempts')
        if not load.outstanding and self._table.find(vm) is None:
            del self._loads[vm]

    def note_answer(self, vm: str, in_flight: int, slots: int) -> None:
        """Takes the load that a sidecar has put on its answer.

        Args:
            vm: The sidecar's VM.
            in_flight: Requests in flight there that an online one would
                compete with.
            slots: Requests that its upstream runs at once.
        """
        sidecar = self._table.find(vm)
        if sidecar is None:
            return
        load = self._find_load(sidecar)
        load.note_report(in_flight, slots, self._clock())
        load.note_success()
        self._table.note_answer(vm, sidecar.incarnation)

    def note_failure(self, vm: str, failure: results.Failure) -> None:
        """Takes note that an attempt has failed at an upstream."""
        sidecar = self._table.find(vm)
        if sidecar is None:
            return
        if failure.code is results.ResultCode.LEAVING:
            self._table.note_leaving(vm, sidecar.incarnation)
            return
        if failure.code in _UPSTREAM_FAULTS:
            self._find_load(sidecar).note_failure(self._clock())
        if failure.code in _NO_CONTACT:
            self._table.note_unreachable(vm, sidecar.incarnation)

    def outstanding(self, vm: str) -> int:
        """Returns this entry's attempts in progress at a VM."""
        load = self._loads.get(vm)
        return 0 if load is None else load.outstanding

    def count_in_flight(self, service: str) -> int:
        """Returns the estimated requests in flight where work is taken."""
        count = 0
        for sidecar in self._list_live(service):
            count += self._find_load(sidecar).estimate()
        return count

    def count_slots(self, service: str) -> int:
        """Returns the slots of the upstreams of a service that take work."""
        count = 0
        for sidecar in self._list_live(service):
            count += self._find_load(sidecar).slots
        return count

    def _list_live(self, service: str) -> list[membership.Member]:
        """Returns the sidecars of a service that take work."""
        live: list[membership.Member] = []
        for sidecar in self._table.list_sidecars(service):
            if sidecar.state is membership.MemberState.LIVE:
                live.append(sidecar)
        return live

    def _list_preferred(
        self, sidecars: list[membership.Member]
    ) -> list[membership.Member]:
        """Returns the live sidecars that have not just failed."""
        now_s = self._clock()
        preferred: list[membership.Member] = []
        for sidecar in sidecars:
            if sidecar.state is not membership.MemberState.LIVE:
                continue
            if self._find_load(sidecar).penalised_until_s > now_s:
                continue
            preferred.append(sidecar)
        return preferred

    def _choose_by_affinity(
        self, affinity_key: str, candidates: list[membership.Member]
    ) -> _choice.Choice:
        """Returns the first candidate in the key's order that has room."""
        by_vm: dict[str, membership.Member] = {}
        shares: dict[str, _bounded_load.UpstreamShare] = {}
        for candidate in candidates:
            load = self._find_load(candidate)
            by_vm[candidate.vm] = candidate
            shares[candidate.vm] = _bounded_load.UpstreamShare(
                load.estimate(), load.slots
            )
        vm, place = _bounded_load.choose_bounded(affinity_key, shares)
        return self._begin(by_vm[vm], place == 0)

    def _choose_of_two(
        self, candidates: list[membership.Member]
    ) -> membership.Member:
        """Returns the less loaded of two candidates drawn at random.

        Between equally loaded ones the own failure domain goes first.
        """
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        first_load = self._relative_load(first)
        second_load = self._relative_load(second)
        if first_load < second_load:
            return first
        if second_load < first_load:
            return second
        if second.failure_domain == self._failure_domain:
            return second
        return first

    def _relative_load(self, sidecar: membership.Member) -> float:
        """Returns the part of a sidecar's slots that is in use."""
        load = self._find_load(sidecar)
        return load.estimate() / load.slots

    def _begin(
        self, member: membership.Member, by_affinity: bool
    ) -> _choice.Choice:
        """Counts an attempt at the member."""
        self._find_load(member).begin()
        return _choice.Choice(member, by_affinity)

    def _find_load(
        self, sidecar: membership.Member
    ) -> _upstream_load.UpstreamLoad:
        """Returns the load of a sidecar, by its heartbeat if that is newer."""
        now_s = self._clock()
        load = self._loads.get(sidecar.vm)
        if load is None:
            load = _upstream_load.UpstreamLoad()
            self._loads[sidecar.vm] = load
        if load.is_out_of_date(now_s):
            load.note_report(sidecar.in_flight, sidecar.slots, now_s)
        return load

    def _take_change(self, change: membership.MembershipChange) -> None:
        """Forgets the load of an upstream that is dead and not in use."""
        if change.member.state is not membership.MemberState.DEAD:
            return
        load = self._loads.get(change.member.vm)
        if load is not None and not load.outstanding:
            del self._loads[change.member.vm]


def _list_last_resort(
    sidecars: list[membership.Member],
) -> list[membership.Member]:
    """Returns the sidecars to try when none is in good order."""
    remaining: list[membership.Member] = []
    for sidecar in sidecars:
        if sidecar.state is not membership.MemberState.LEAVING:
            remaining.append(sidecar)
    return remaining


def _no_upstream(service: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.NO_UPSTREAM,
        f'no upstream of {service} can take the request',
        retry_after_ms=NO_UPSTREAM_RETRY_AFTER_MS,
    )


def create_router(
    table: membership.MemberTable,
    failure_domain: str = '',
    clock: Callable[[], float] = trio.current_time,
    random_source: random.Random | None = None,
) -> Router:
    """Creates a router over the table's sidecars.

    Args:
        table: The members known.
        failure_domain: This entry's failure domain.
        clock: Returns monotonic seconds.
        random_source: Draws the two candidates.
    """
    return Router(
        table, failure_domain, clock, random_source or random.Random()
    )
