"""The faults of a run and their times, which follow from the seed alone."""

import enum
import random

FIRST_FAULT_S = 3.0
#: Part of the run after which no fault begins.
FAULTY_PART = 0.8
MEAN_GAP_S = 2.5
DOUBLE_FAULT_SHARE = 0.3
#: Time for a process to be back after a fault, before it gets another one.
RECOVERY_S = 4.0


class FaultKind(enum.Enum):
    """What happens."""

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
        kind: What happens.
        target: VM that it happens to; empty for the log, publishes, poison.
        duration_s: How long it lasts.
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
    """VMs that faults can happen to.

    Attributes:
        entry_vms: Entries.
        model_vms: Engines with their sidecars.
        plain_vms: Plain upstreams with their sidecars.
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
_WEIGHTS = {
    FaultKind.RACING_PUBLISHES: 3.0,
    FaultKind.LIST_AS_LEAVING: 0.7,
    FaultKind.FREEZE_SIDECAR_LONG: 0.5,
    FaultKind.POISON: 0.7,
}
_LEAST_DURATION_S = {
    FaultKind.LIST_AS_LEAVING: 9.0,
    FaultKind.LOSE_LOG_ANSWERS: 0.0,
    # Longer than the lease of a batch item.
    FaultKind.FREEZE_SIDECAR_LONG: 33.0,
}
_MOST_DURATION_S = {
    FaultKind.LIST_AS_LEAVING: 14.0,
    FaultKind.LOG_OUTAGE: 8.0,
    FaultKind.FREEZE_SIDECAR_LONG: 36.0,
    FaultKind.FREEZE_ENTRY: 9.0,
    FaultKind.FREEZE_SIDECAR: 9.0,
    FaultKind.FREEZE_UPSTREAM: 9.0,
}
USUAL_LEAST_DURATION_S = 0.3
USUAL_MOST_DURATION_S = 3.0


def create_fault_schedule(
    seed: int, seconds: float, shape: FleetShape
) -> list[FaultEvent]:
    """Returns the faults of a run in the order of their times.

    Args:
        seed: Decides everything.
        seconds: Length of the run.
        shape: What faults can happen to.
    """
    source = random.Random(seed)
    events: list[FaultEvent] = []
    busy_until_s: dict[str, float] = {}
    now_s = FIRST_FAULT_S
    while now_s < seconds * FAULTY_PART:
        count = 2 if source.random() < DOUBLE_FAULT_SHARE else 1
        for _ in range(count):
            event = _draw_event(source, now_s, seconds, shape, busy_until_s)
            if event is not None:
                events.append(event)
        now_s += source.expovariate(1 / MEAN_GAP_S)
    return events


def _draw_event(
    source: random.Random,
    now_s: float,
    seconds: float,
    shape: FleetShape,
    busy_until_s: dict[str, float],
) -> FaultEvent | None:
    """Returns one fault, or None if its target still has one."""
    kinds = list(FaultKind)
    weights = [_WEIGHTS.get(kind, 1.0) for kind in kinds]
    kind = source.choices(kinds, weights)[0]
    target = _draw_target(source, kind, shape)
    least_s = _LEAST_DURATION_S.get(kind, USUAL_LEAST_DURATION_S)
    most_s = _MOST_DURATION_S.get(kind, USUAL_MOST_DURATION_S)
    duration_s = source.uniform(least_s, max(least_s, most_s))
    duration_s = min(duration_s, max(0.3, seconds * FAULTY_PART - now_s))
    busy_name = 'log' if kind in _LOG_KINDS else target
    if busy_name and busy_until_s.get(busy_name, 0.0) > now_s:
        return None
    busy_until_s[busy_name] = now_s + duration_s + RECOVERY_S
    return FaultEvent(now_s, kind, target, duration_s)


def _draw_target(
    source: random.Random, kind: FaultKind, shape: FleetShape
) -> str:
    """Returns the VM that the fault happens to."""
    if kind in _UNTARGETED_KINDS:
        return ''
    if kind in _ENTRY_KINDS:
        return source.choice(shape.entry_vms)
    if kind in _MODEL_KINDS:
        return source.choice(shape.model_vms)
    return source.choice([*shape.model_vms, *shape.plain_vms])
