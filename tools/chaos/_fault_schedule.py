"""The faults of a run and their times, determined by the seed alone."""

import enum
import random

FIRST_FAULT_S = 3.0
#: Share of the run after which no fault begins.
FAULT_PERIOD_SHARE = 0.8
MEAN_FAULT_INTERVAL_S = 2.5
DOUBLE_FAULT_PROBABILITY = 0.3
#: Time for a target to recover from a fault before its next one.
RECOVERY_S = 4.0


class FaultKind(enum.Enum):
    """Kinds of faults."""

    KILL_UPSTREAM = 'kill_upstream'
    KILL_SIDECAR = 'kill_sidecar'
    KILL_VM = 'kill_vm'
    KILL_ENTRY = 'kill_entry'
    FREEZE_UPSTREAM = 'freeze_upstream'
    FREEZE_SIDECAR = 'freeze_sidecar'
    FREEZE_ENTRY = 'freeze_entry'
    FREEZE_SIDECAR_LONG = 'freeze_sidecar_long'
    CUT_UPSTREAM = 'cut_upstream'
    CUT_LOG = 'cut_log'
    LOG_OUTAGE = 'log_outage'
    LOG_SILENCE = 'log_silence'
    LOSE_LOG_ANSWERS = 'lose_log_answers'
    STOP_SIDECAR = 'stop_sidecar'
    STOP_ENTRY = 'stop_entry'
    LIST_AS_LEAVING = 'list_as_leaving'
    RACING_PUBLISHES = 'racing_publishes'
    POISON = 'poison'


class FaultEvent:
    """One fault.

    Attributes:
        at_s: Time from the start of the run.
        kind: Kind of fault.
        target: VM that the fault affects; empty for faults of the log,
            publishes and poison requests.
        duration_s: Duration of the fault.
    """

    __slots__ = ('at_s', 'kind', 'target', 'duration_s')

    def __init__(
        self, at_s: float, kind: FaultKind, target: str, duration_s: float
    ) -> None:
        self.at_s = at_s
        self.kind = kind
        self.target = target
        self.duration_s = duration_s

    def __str__(self) -> str:
        return (
            f'{self.at_s:6.2f} s {self.kind.value} {self.target}'
            f' {self.duration_s:.1f} s'
        )


class FleetShape:
    """VMs that faults can target.

    Attributes:
        entry_vms: VMs of entries.
        model_vms: VMs of engines and their sidecars.
        plain_vms: VMs of plain upstreams and their sidecars.
    """

    __slots__ = ('entry_vms', 'model_vms', 'plain_vms')

    def __init__(
        self,
        entry_vms: list[str],
        model_vms: list[str],
        plain_vms: list[str],
    ) -> None:
        self.entry_vms = entry_vms
        self.model_vms = model_vms
        self.plain_vms = plain_vms


_ENTRY_KINDS = (
    FaultKind.KILL_ENTRY,
    FaultKind.FREEZE_ENTRY,
    FaultKind.STOP_ENTRY,
)
_MODEL_KINDS = (FaultKind.LIST_AS_LEAVING,)
_LOG_KINDS = (
    FaultKind.CUT_LOG,
    FaultKind.LOG_OUTAGE,
    FaultKind.LOG_SILENCE,
    FaultKind.LOSE_LOG_ANSWERS,
)
_UNTARGETED_KINDS = (
    *_LOG_KINDS,
    FaultKind.RACING_PUBLISHES,
    FaultKind.POISON,
)
_WEIGHT_BY_KIND = {
    FaultKind.RACING_PUBLISHES: 3.0,
    FaultKind.LIST_AS_LEAVING: 0.7,
    FaultKind.FREEZE_SIDECAR_LONG: 0.5,
    FaultKind.POISON: 0.7,
}
_MIN_DURATION_S_BY_KIND = {
    FaultKind.LIST_AS_LEAVING: 9.0,
    FaultKind.LOSE_LOG_ANSWERS: 0.0,
    # Longer than the lease of a batch item.
    FaultKind.FREEZE_SIDECAR_LONG: 33.0,
}
_MAX_DURATION_S_BY_KIND = {
    FaultKind.LIST_AS_LEAVING: 14.0,
    FaultKind.LOG_OUTAGE: 8.0,
    FaultKind.FREEZE_SIDECAR_LONG: 36.0,
    FaultKind.FREEZE_ENTRY: 9.0,
    FaultKind.FREEZE_SIDECAR: 9.0,
    FaultKind.FREEZE_UPSTREAM: 9.0,
}
DEFAULT_MIN_DURATION_S = 0.3
DEFAULT_MAX_DURATION_S = 3.0


def create_fault_schedule(
    seed: int, run_duration_s: float, shape: FleetShape
) -> list[FaultEvent]:
    """Returns the faults of a run, ordered by time.

    Args:
        seed: Seed of the random source.
        run_duration_s: Length of the run.
        shape: VMs that faults can target.
    """
    source = random.Random(seed)
    events: list[FaultEvent] = []
    busy_until_s: dict[str, float] = {}
    now_s = FIRST_FAULT_S
    while now_s < run_duration_s * FAULT_PERIOD_SHARE:
        count = 2 if source.random() < DOUBLE_FAULT_PROBABILITY else 1
        for _ in range(count):
            event = _draw_event(
                source, now_s, run_duration_s, shape, busy_until_s
            )
            if event is not None:
                events.append(event)
        now_s += source.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return events


def _draw_event(
    source: random.Random,
    now_s: float,
    run_duration_s: float,
    shape: FleetShape,
    busy_until_s: dict[str, float],
) -> FaultEvent | None:
    """Draws one fault; returns None if its target has not recovered yet."""
    kinds = list(FaultKind)
    weights = [_WEIGHT_BY_KIND.get(kind, 1.0) for kind in kinds]
    kind = source.choices(kinds, weights)[0]
    target = _draw_target(source, kind, shape)
    min_duration_s = _MIN_DURATION_S_BY_KIND.get(kind, DEFAULT_MIN_DURATION_S)
    max_duration_s = _MAX_DURATION_S_BY_KIND.get(kind, DEFAULT_MAX_DURATION_S)
    duration_s = source.uniform(
        min_duration_s, max(min_duration_s, max_duration_s)
    )
    duration_s = min(
        duration_s, max(0.3, run_duration_s * FAULT_PERIOD_SHARE - now_s)
    )
    busy_key = 'log' if kind in _LOG_KINDS else target
    if busy_key and busy_until_s.get(busy_key, 0.0) > now_s:
        return None
    busy_until_s[busy_key] = now_s + duration_s + RECOVERY_S
    return FaultEvent(now_s, kind, target, duration_s)


def _draw_target(
    source: random.Random, kind: FaultKind, shape: FleetShape
) -> str:
    """Draws the VM that the fault affects; empty if it affects none."""
    if kind in _UNTARGETED_KINDS:
        return ''
    if kind in _ENTRY_KINDS:
        return source.choice(shape.entry_vms)
    if kind in _MODEL_KINDS:
        return source.choice(shape.model_vms)
    return source.choice([*shape.model_vms, *shape.plain_vms])
