"""Violations of the fleet's guarantees."""

import enum


class ViolationKind(enum.Enum):
    """The guarantee that was violated."""

    #: A caller got a wrong, shortened or prolonged answer.
    WRONG_ANSWER = 'wrong_answer'

    #: A request got neither its whole answer nor a final refusal.
    UNANSWERED = 'unanswered'

    #: A request was refused with run state 'not run' but had run.
    FALSE_NOT_RUN = 'false_not_run'

    #: A call that may run at most once ran more than once.
    DOUBLED_EFFECT = 'doubled_effect'

    #: A call was answered as done but has no effect.
    LOST_EFFECT = 'lost_effect'

    #: Two answers for one idempotency key differ.
    CHANGED_OUTCOME = 'changed_outcome'

    #: A batch item has no result, a wrong one, or one that changes.
    ITEM_RESULT = 'item_result'

    #: A job that was not cancelled has not finished.
    JOB_UNFINISHED = 'job_unfinished'

    #: An item of a job started after the job was cancelled.
    STARTED_AFTER_CANCEL = 'started_after_cancel'

    #: An upstream that is leaving the fleet got new work.
    WORK_AFTER_LEAVING = 'work_after_leaving'

    #: A configuration took effect late or was reverted, or two documents
    #: published on the same base version were both accepted.
    CONFIGURATION = 'configuration'

    #: A planned stop cut a request off, or exited with an error.
    PLANNED_STOP = 'planned_stop'

    #: Poison requests crashed more upstreams than the limit per request.
    POISON_SPREAD = 'poison_spread'

    #: A request that crashes no upstream was convicted of crashing one.
    INNOCENT_CONVICTED = 'innocent_convicted'

    #: A daemon reported that one of its own invariants is broken.
    INVARIANT = 'invariant'

    #: A daemon had an internal fault, or a process ended unexpectedly.
    DAEMON_FAULT = 'daemon_fault'


class Violation:
    """One violation of a guarantee.

    Attributes:
        kind: The guarantee that was violated.
        text: Describes the observation.
    """

    __slots__ = ('kind', 'text')

    def __init__(self, kind: ViolationKind, text: str) -> None:
        self.kind = kind
        self.text = text

    def __str__(self) -> str:
        return f'{self.kind.value}: {self.text}'
