"""Number and length of runs, their seed and the fault injected."""

import enum


class BatchSourceKind(enum.Enum):
    """How batch items reach the sidecars."""

    #: Submitted as jobs to entries, from which the sidecars pull the items.
    JOBS = 'jobs'

    #: Sent by the bench to the sidecars directly.
    FEEDER = 'feeder'


class FaultKind(enum.Enum):
    """The fault injected into every arm."""

    #: No fault.
    NONE = 'none'

    #: One engine is killed and restarted.
    ENGINE_KILL = 'engine_kill'

    #: One sidecar is paused and resumed.
    SIDECAR_PAUSE = 'sidecar_pause'

    #: The log service refuses all requests.
    LOG_OUTAGE = 'log_outage'


class BenchPlan:
    """Parameters of an experiment.

    Attributes:
        rounds: Number of rounds; each runs every arm once.
        warm_up_s: Time under load before the measurement of an arm begins.
        measured_s: Duration of the measurement of an arm.
        seed: Seed of the loads and of the order of arms.
        batch_source: How batch items reach the sidecars.
        fault: The fault injected into every arm.
        max_send_lag_ms: Largest p99 delay with which the load generator may
            send requests; above it the arm is run again.
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
