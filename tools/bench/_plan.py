"""How much of the experiment is run, and under what."""

import enum


class BatchSourceKind(enum.Enum):
    """How batch items reach the sidecars."""

    #: As jobs at the entries, from where the sidecars pull them.
    JOBS = 'jobs'

    #: Directly from the bench.
    FEEDER = 'feeder'


class FaultKind(enum.Enum):
    """What goes wrong."""

    #: Nothing.
    NONE = 'none'

    #: One engine is killed and starts again.
    ENGINE_KILL = 'engine_kill'

    #: One sidecar is paused and goes on.
    SIDECAR_PAUSE = 'sidecar_pause'

    #: The log service refuses everything.
    LOG_OUTAGE = 'log_outage'


class BenchPlan:
    """How much is run.

    Attributes:
        rounds: Rounds; each runs every arm once.
        warm_up_s: Time before anything is measured in an arm.
        measured_s: Measured time of an arm.
        seed: Decides loads and the order of arms.
        batch_source: How batch items reach the sidecars.
        fault: What goes wrong in every arm.
        max_send_lag_ms: An arm is run again if the load generator sent
            requests later than this at p99.
    """

    __slots__ = (
        'rounds',
        'warm_up_s',
        'measured_s',
        'seed',
        'batch_source',
        'fault',
        'max_send_lag_ms',
    )

    def __init__(
        self,
        *,
        rounds: int,
        warm_up_s: float,
        measured_s: float,
        seed: int,
        batch_source: BatchSourceKind = BatchSourceKind.JOBS,
        fault: FaultKind = FaultKind.NONE,
        max_send_lag_ms: float = 20.0,
    ) -> None:
        self.rounds = rounds
        self.warm_up_s = warm_up_s
        self.measured_s = measured_s
        self.seed = seed
        self.batch_source = batch_source
        self.fault = fault
        self.max_send_lag_ms = max_send_lag_ms
