"""Schedules the faults of a soak; the schedule depends on the seed alone."""

import enum
import random

FIRST_FAULT_S = 1.5
#: Share of the run after which no fault begins, so that open work can end.
FAULT_PHASE_SHARE = 0.75
MEAN_GAP_S = 1.2
DOUBLE_FAULT_SHARE = 0.35
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
#: Longer than all silence time-outs and the time-out of a hand-over.
MAX_LONG_DURATION_S = 6.0


class FaultKind(enum.Enum):
    """Kind of an injected fault."""

    KILL_GATEWAY = 'kill_gateway'
    KILL_ALL_GATEWAYS = 'kill_all_gateways'
    PAUSE_GATEWAY = 'pause_gateway'
    STOP_GATEWAY = 'stop_gateway'
    STOP_IN_TURN = 'stop_in_turn'
    RELOAD_GATEWAY = 'reload_gateway'
    STORE_REFUSES = 'store_refuses'
    STORE_CLOSES = 'store_closes'
    STORE_SLOW = 'store_slow'
    STORE_LOSES_ANSWERS = 'store_loses_answers'
    STORE_LATE = 'store_late'
    STORE_FORGETS = 'store_forgets'
    STORE_CUT = 'store_cut'
    STORE_ONE_WAY = 'store_one_way'
    STORE_RESET = 'store_reset'
    ENGINE_CUT = 'engine_cut'
    ENGINE_ONE_WAY = 'engine_one_way'
    ENGINE_RESET = 'engine_reset'
    ENGINE_DELAYED = 'engine_delayed'
    ENGINE_SPOILS = 'engine_spoils'
    ENGINE_REPLACED = 'engine_replaced'
    DOCUMENT_CHANGES = 'document_changes'


_LONG_KINDS = frozenset(
    (
        FaultKind.PAUSE_GATEWAY,
        FaultKind.STORE_REFUSES,
        FaultKind.STORE_CLOSES,
        FaultKind.STORE_CUT,
    )
)
_WEIGHTS = {
    FaultKind.KILL_ALL_GATEWAYS: 0.4,
    FaultKind.STOP_IN_TURN: 0.4,
    FaultKind.ENGINE_SPOILS: 3.0,
    FaultKind.DOCUMENT_CHANGES: 1.5,
}


class FaultEvent:
    """One scheduled fault.

    Attributes:
        at_s: Time from the start of the run.
        kind: Kind of the fault.
        number: Index of the gateway or engine, for kinds that affect one;
            taken modulo their count.
        duration_s: Duration of the fault, for kinds that last.
    """

    __slots__ = ('at_s', 'kind', 'number', 'duration_s')

    def __init__(
        self, at_s: float, kind: FaultKind, number: int, duration_s: float
    ) -> None:
        self.at_s = at_s
        self.kind = kind
        self.number = number
        self.duration_s = duration_s

    def __str__(self) -> str:
        return (
            f'{self.at_s:6.2f} s {self.kind.value} {self.number}'
            f' {self.duration_s:.1f} s'
        )


def create_schedule(seed: int, seconds: float) -> list[FaultEvent]:
    """Returns the faults of a run in order of time.

    Args:
        seed: Seed of the random choices.
        seconds: Length of the run in seconds.
    """
    rng = random.Random(seed)
    kinds = list(FaultKind)
    weights = [_WEIGHTS.get(kind, 1.0) for kind in kinds]
    events: list[FaultEvent] = []
    now_s = FIRST_FAULT_S
    while now_s < seconds * FAULT_PHASE_SHARE:
        count = 2 if rng.random() < DOUBLE_FAULT_SHARE else 1
        for _ in range(count):
            kind = rng.choices(kinds, weights)[0]
            max_duration_s = (
                MAX_LONG_DURATION_S if kind in _LONG_KINDS else MAX_DURATION_S
            )
            duration_s = rng.uniform(MIN_DURATION_S, max_duration_s)
            events.append(
                FaultEvent(now_s, kind, rng.randrange(1000), duration_s)
            )
        now_s += rng.expovariate(1 / MEAN_GAP_S)
    return events
