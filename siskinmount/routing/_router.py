"""Selects an upstream for each attempt of a request."""

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

#: Failures after which other upstreams are preferred for a time.
_PENALISED_CODES = frozenset(
    (
        results.ResultCode.OVERLOADED,
        results.ResultCode.UPSTREAM_UNREACHABLE,
        results.ResultCode.UPSTREAM_LOST,
        results.ResultCode.UPSTREAM_ERROR,
        results.ResultCode.UPSTREAM_SILENT,
    )
)
#: Failures that suggest that the sidecar itself is unreachable.
_UNREACHABLE_CODES = frozenset(
    (
        results.ResultCode.UPSTREAM_UNREACHABLE,
        results.ResultCode.UPSTREAM_SILENT,
    )
)

_NO_VMS: frozenset[str] = frozenset()


class Router:
    """Tracks the load of the upstreams and selects among them.

    The load is estimated from this entry's own count and from the count that
    each sidecar attaches to its answers. Reports of engines are not used, since
    they lag behind.
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
        table.add_listener(self._handle_membership_change)

    def choose(
        self,
        service: str,
        affinity_key: str | None,
        excluded_vms: Collection[str] = _NO_VMS,
        request_class: configuration.RequestClass = (
            configuration.RequestClass.ONLINE
        ),
    ) -> _choice.Choice | results.Failure:
        """Selects an upstream and counts an attempt there.

        `release` must be called when the attempt has ended.

        Args:
            service: Name of the service.
            affinity_key: Requests with one key go to one upstream while its
                load allows; None if the request prefers no upstream.
            excluded_vms: VMs on which this request has already failed.
            request_class: Online or batch. A batch request is refused unless
                an upstream is live and not penalised.
        """
        sidecars: list[membership.Member] = []
        for sidecar in self._table.list_sidecars(service):
            if sidecar.vm not in excluded_vms:
                sidecars.append(sidecar)
        candidates = self._list_preferred(sidecars)
        is_online = request_class is configuration.RequestClass.ONLINE
        if not candidates and is_online:
            candidates = _list_fallbacks(sidecars)
        if not candidates:
            return _no_upstream(service)
        if affinity_key is None:
            return self._begin(self._choose_of_two(candidates), False)
        return self._choose_by_affinity(affinity_key, candidates)

    def list_in_order(
        self, service: str, affinity_key: str | None
    ) -> list[membership.Member]:
        """Returns the sidecars of a service in the rendezvous order of a key.

        Leaving sidecars are included, since they finish their requests.
        """
        by_vm: dict[str, membership.Member] = {}
        for sidecar in self._table.list_sidecars(service):
            by_vm[sidecar.vm] = sidecar
        ranked = membership.rank_by_rendezvous(affinity_key or '', by_vm)
        return [by_vm[vm] for vm in ranked]

    def choose_first_ranked(
        self, service: str, key: str, excluded_vms: Collection[str] = _NO_VMS
    ) -> _choice.Choice | results.Failure:
        """Selects the first live upstream in a key's order at any load.

        All entries that know the same members select the same upstream.
        """
        for sidecar in self.list_in_order(service, key):
            if sidecar.vm in excluded_vms:
                continue
            if sidecar.state is membership.MemberState.LIVE:
                return self._begin(sidecar, True)
        return _no_upstream(service)

    def choose_member(self, member: membership.Member) -> _choice.Choice:
        """Counts an attempt at a given sidecar."""
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
            raise AssertionError(f'{vm} has a negative number of attempts')
        if not load.outstanding and self._table.find(vm) is None:
            del self._loads[vm]

    def record_answer(self, vm: str, in_flight: int, slots: int) -> None:
        """Records a success and the load that a sidecar attached to its answer.

        Args:
            vm: The sidecar's VM.
            in_flight: Requests in flight there with which an online request
                would compete.
            slots: Requests that the upstream runs at once.
        """
        sidecar = self._table.find(vm)
        if sidecar is None:
            return
        load = self._find_load(sidecar)
        load.record_report(in_flight, slots, self._clock())
        load.record_success()
        self._table.record_answer(vm, sidecar.incarnation)

    def record_failure(self, vm: str, failure: results.Failure) -> None:
        """Records the failure of an attempt at an upstream."""
        sidecar = self._table.find(vm)
        if sidecar is None:
            return
        if failure.code is results.ResultCode.LEAVING:
            self._table.mark_leaving(vm, sidecar.incarnation)
            return
        if failure.code is results.ResultCode.UPSTREAM_RATE_LIMITED:
            self._find_load(sidecar).record_rate_limit(
                failure.retry_after_ms or 0, self._clock()
            )
        if failure.code in _PENALISED_CODES:
            self._find_load(sidecar).record_failure(self._clock())
        if failure.code in _UNREACHABLE_CODES:
            self._table.mark_unreachable(vm, sidecar.incarnation)

    def outstanding(self, vm: str) -> int:
        """Returns this entry's attempts in progress at a VM."""
        load = self._loads.get(vm)
        return 0 if load is None else load.outstanding

    def count_in_flight(self, service: str) -> int:
        """Returns the estimated requests in flight at live upstreams."""
        count = 0
        for sidecar in self._list_live(service):
            count += self._find_load(sidecar).estimate()
        return count

    def count_slots(self, service: str) -> int:
        """Returns the total slots of the live upstreams of a service."""
        count = 0
        for sidecar in self._list_live(service):
            count += self._find_load(sidecar).slots
        return count

    def _list_live(self, service: str) -> list[membership.Member]:
        """Returns the live sidecars of a service."""
        live: list[membership.Member] = []
        for sidecar in self._table.list_sidecars(service):
            if sidecar.state is membership.MemberState.LIVE:
                live.append(sidecar)
        return live

    def _list_preferred(
        self, sidecars: list[membership.Member]
    ) -> list[membership.Member]:
        """Returns the live sidecars that are not penalised."""
        now_s = self._clock()
        preferred: list[membership.Member] = []
        for sidecar in sidecars:
            if sidecar.state is not membership.MemberState.LIVE:
                continue
            if self._find_load(sidecar).is_avoided(now_s):
                continue
            preferred.append(sidecar)
        return preferred

    def _choose_by_affinity(
        self, affinity_key: str, candidates: list[membership.Member]
    ) -> _choice.Choice:
        """Selects the first candidate in the key's order below its bound."""
        by_vm: dict[str, membership.Member] = {}
        capacities: dict[str, _bounded_load.UpstreamCapacity] = {}
        for candidate in candidates:
            load = self._find_load(candidate)
            by_vm[candidate.vm] = candidate
            capacities[candidate.vm] = _bounded_load.UpstreamCapacity(
                load.estimate(), load.slots
            )
        vm, rank = _bounded_load.choose_bounded(affinity_key, capacities)
        return self._begin(by_vm[vm], rank == 0)

    def _choose_of_two(
        self, candidates: list[membership.Member]
    ) -> membership.Member:
        """Returns the less loaded of two random candidates.

        If both are equally loaded, one in this entry's failure domain is
        preferred.
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
        """Returns the share of a sidecar's slots that is in use."""
        load = self._find_load(sidecar)
        return load.estimate() / load.slots

    def _begin(
        self, member: membership.Member, is_affinity_match: bool
    ) -> _choice.Choice:
        """Counts the start of an attempt at a sidecar."""
        self._find_load(member).begin()
        return _choice.Choice(member, is_affinity_match)

    def _find_load(
        self, sidecar: membership.Member
    ) -> _upstream_load.UpstreamLoad:
        """Returns the load of a sidecar, updated from a heartbeat if stale."""
        now_s = self._clock()
        load = self._loads.get(sidecar.vm)
        if load is None:
            load = _upstream_load.UpstreamLoad()
            self._loads[sidecar.vm] = load
        if load.is_stale(now_s):
            load.record_report(sidecar.in_flight, sidecar.slots, now_s)
        return load

    def _handle_membership_change(
        self, change: membership.MembershipChange
    ) -> None:
        """Drops the load of a dead upstream without attempts in progress."""
        if change.member.state is not membership.MemberState.DEAD:
            return
        load = self._loads.get(change.member.vm)
        if load is not None and not load.outstanding:
            del self._loads[change.member.vm]


def _list_fallbacks(
    sidecars: list[membership.Member],
) -> list[membership.Member]:
    """Returns the sidecars to try if none is live and unpenalised."""
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
        table: Table of the known members.
        failure_domain: This entry's failure domain.
        clock: Returns monotonic seconds.
        random_source: Source of the random candidates.
    """
    return Router(
        table, failure_domain, clock, random_source or random.Random()
    )
