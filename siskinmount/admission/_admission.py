"""Decides whether a request is admitted."""

from collections.abc import Callable
import logging
import math
from typing import Protocol

import trio

from siskinmount import configuration
from siskinmount import results
from siskinmount.admission import _caller_usage
from siskinmount.admission import _service_pressure
from siskinmount.admission import _ticket

_LOGGER = logging.getLogger(__name__)

MIN_RETRY_AFTER_MS = 10
EVICTION_INTERVAL_S = 60.0


class CapacitySource(Protocol):
    """Reports the load of the upstreams; implemented by `routing.Router`."""

    def count_in_flight(self, service: str) -> int:
        """Returns the requests in flight at a service."""
        ...

    def count_slots(self, service: str) -> int:
        """Returns the requests that a service's upstreams run at once."""
        ...


class Admission:
    """Enforces the limits of callers and sheds load of overloaded services.

    A caller's limits apply to the whole fleet; each entry enforces an equal
    part of them.
    """

    __slots__ = (
        '_capacity',
        '_clock',
        '_entry_count',
        '_usages',
        '_pressures',
        '_evicted_at_s',
    )

    def __init__(
        self, capacity: CapacitySource, clock: Callable[[], float]
    ) -> None:
        self._capacity = capacity
        self._clock = clock
        self._entry_count = 1
        self._evicted_at_s = clock()
        self._usages: dict[str, _caller_usage.CallerUsage] = {}
        self._pressures: dict[str, _service_pressure.ServicePressure] = {}

    def set_entry_count(self, entry_count: int) -> None:
        """Sets the number of entries that share the callers' limits."""
        count = max(1, entry_count)
        if count == self._entry_count:
            return
        self._entry_count = count
        now_s = self._clock()
        for usage in self._usages.values():
            usage.configure(usage.policy, count, now_s)

    def admit(
        self,
        caller: configuration.CallerPolicy,
        service: str,
        request_class: configuration.RequestClass,
    ) -> _ticket.Ticket | results.Failure:
        """Admits a request, or returns why it is refused and when to retry.

        The ticket must be released when the request has ended. A refused
        request does not count against the caller's limits.

        Args:
            caller: The authenticated caller, with its limits in force.
            service: Name of the service.
            request_class: Online or batch.
        """
        usage = self._find_usage(caller)
        now_s = self._clock()
        refusal = self._check_caller(usage, service, now_s)
        if refusal is None:
            refusal = self._check_service(usage, service, request_class, now_s)
        if refusal is not None:
            return refusal
        usage.bucket.take(now_s)
        usage.begin(service)
        return _ticket.Ticket(
            caller.name, service, now_s, self._create_release_callback(usage)
        )

    def record_delay(self, service: str, delay_ms: float) -> None:
        """Records how long a request waited for an upstream."""
        self._pressure_of(service).record_delay(delay_ms, self._clock())

    def in_flight(self, caller: str) -> int:
        """Returns the caller's requests in progress at this entry."""
        usage = self._usages.get(caller)
        return 0 if usage is None else usage.in_flight

    def _find_usage(
        self, caller: configuration.CallerPolicy
    ) -> _caller_usage.CallerUsage:
        """Returns the caller's usage, with the given limits applied."""
        now_s = self._clock()
        usage = self._usages.get(caller.name)
        if usage is None:
            self._evict_idle(now_s)
            usage = _caller_usage.CallerUsage(caller, self._entry_count, now_s)
            self._usages[caller.name] = usage
        if usage.policy is not caller:
            usage.configure(caller, self._entry_count, now_s)
        return usage

    def _evict_idle(self, now_s: float) -> None:
        """Periodically removes callers with a full bucket and no requests."""
        if now_s - self._evicted_at_s < EVICTION_INTERVAL_S:
            return
        self._evicted_at_s = now_s
        for name, usage in list(self._usages.items()):
            if not usage.in_flight and usage.bucket.is_full(now_s):
                del self._usages[name]

    def _check_caller(
        self, usage: _caller_usage.CallerUsage, service: str, now_s: float
    ) -> results.Failure | None:
        """Returns a refusal if a request exceeds the caller's limits."""
        name = usage.policy.name
        wait_ms = usage.bucket.wait_ms(now_s)
        if wait_ms is None or wait_ms > 0:
            return results.Failure(
                results.ResultCode.CALLER_OVER_LIMIT,
                f'{name} exceeds its request rate limit',
                retry_after_ms=_round_up(wait_ms),
            )
        if usage.in_flight < usage.max_in_flight:
            return None
        next_end_ms = self._pressure_of(service).duration_ms / usage.in_flight
        return results.Failure(
            results.ResultCode.CALLER_OVER_LIMIT,
            f'{name} has {usage.in_flight} requests in progress',
            retry_after_ms=_round_up(next_end_ms),
        )

    def _check_service(
        self,
        usage: _caller_usage.CallerUsage,
        service: str,
        request_class: configuration.RequestClass,
        now_s: float,
    ) -> results.Failure | None:
        """Returns a refusal if the service's load requires shedding."""
        in_flight = self._capacity.count_in_flight(service)
        slots = self._capacity.count_slots(service)
        pressure = self._pressure_of(service).evaluate(in_flight, slots, now_s)
        if pressure is _service_pressure.Pressure.NONE:
            return None
        is_online = request_class is configuration.RequestClass.ONLINE
        if pressure is _service_pressure.Pressure.BATCH_SHED and is_online:
            return None
        all_shed = pressure is _service_pressure.Pressure.ALL_SHED
        if is_online and not all_shed:
            if not self._is_over_share(usage, service):
                return None
        return results.Failure(
            results.ResultCode.OVERLOADED,
            f'{service} is overloaded',
            retry_after_ms=self._estimate_wait_ms(service, in_flight, slots),
        )

    def _is_over_share(
        self, usage: _caller_usage.CallerUsage, service: str
    ) -> bool:
        """Returns whether one more request exceeds the caller's fair share.

        The share is the caller's part, by weight, of the requests that all
        callers of the service have in progress at this entry.
        """
        total = 0
        total_weight = 0
        for other in self._usages.values():
            count = other.in_flight_by_service.get(service, 0)
            if not count and other is not usage:
                continue
            total += count
            total_weight += other.policy.weight
        share = (total + 1) * usage.policy.weight / max(1, total_weight)
        return usage.in_flight_by_service.get(service, 0) + 1 > share

    def _estimate_wait_ms(
        self, service: str, in_flight: int, slots: int
    ) -> int:
        """Returns the estimated time until the load is low enough to admit."""
        duration_ms = self._pressure_of(service).duration_ms
        if not in_flight:
            return _round_up(duration_ms)
        target = _service_pressure.SHED_BATCH_UTILISATION * slots
        excess = max(1.0, in_flight - target)
        return _round_up(duration_ms * excess / in_flight)

    def _pressure_of(self, service: str) -> _service_pressure.ServicePressure:
        """Returns the pressure of a service, created on first use."""
        pressure = self._pressures.get(service)
        if pressure is None:
            pressure = _service_pressure.ServicePressure()
            self._pressures[service] = pressure
        return pressure

    def _create_release_callback(
        self, usage: _caller_usage.CallerUsage
    ) -> Callable[[_ticket.Ticket], None]:
        """Returns the callback that ends a request of a caller."""

        def on_release(ticket: _ticket.Ticket) -> None:
            usage.end(ticket.service)
            duration_s = self._clock() - ticket.admitted_at_s
            self._pressure_of(ticket.service).record_duration(duration_s * 1000)
            if usage.in_flight >= 0:
                return
            _LOGGER.error(
                'invariant_broken',
                extra={
                    'code': int(results.ResultCode.INVARIANT_BROKEN),
                    'invariant': 'in_flight_not_negative',
                    'caller': ticket.caller,
                },
            )
            raise AssertionError(
                f'{ticket.caller} has a negative number of requests'
            )

        return on_release


def _round_up(wait_ms: float | None) -> int | None:
    """Rounds a wait up to whole milliseconds, at least the minimum."""
    if wait_ms is None:
        return None
    return max(MIN_RETRY_AFTER_MS, math.ceil(wait_ms))


def create_admission(
    capacity: CapacitySource, clock: Callable[[], float] = trio.current_time
) -> Admission:
    """Creates the admission control of an entry, as the only one at first.

    Args:
        capacity: Reports the load of the upstreams.
        clock: Returns monotonic seconds.
    """
    return Admission(capacity, clock)
