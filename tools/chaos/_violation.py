"""A promise that was not kept."""

import enum


class ViolationKind(enum.Enum):
    """Which promise."""

    #: A caller got text that is not its answer, or more or less of it.
    WRONG_ANSWER = 'wrong_answer'

    #: A request got neither its answer nor a final refusal.
    UNANSWERED = 'unanswered'

    #: A request that was refused as not run had run.
    FALSE_NOT_RUN = 'false_not_run'

    #: A call that may run once ran twice.
    DOUBLED_EFFECT = 'doubled_effect'

    #: A call was answered as done and has no effect.
    LOST_EFFECT = 'lost_effect'

    #: Two answers to one key differ.
    CHANGED_OUTCOME = 'changed_outcome'

    #: A batch item has no result, or not the same one each time.
    ITEM_RESULT = 'item_result'

    #: A job that was not cancelled has not finished.
    JOB_UNFINISHED = 'job_unfinished'

    #: An item of a cancelled job started.
    STARTED_AFTER_CANCEL = 'started_after_cancel'

    #: An upstream that leaves got new work.
    WORK_AFTER_LEAVING = 'work_after_leaving'

    #: A configuration was late or reverted, or two won one race.
    CONFIGURATION = 'configuration'

    #: A planned stop cut a request, or did not end well.
    PLANNED_STOP = 'planned_stop'

    #: One request took down more upstreams than the bound.
    POISON_SPREAD = 'poison_spread'

    #: A request that crashes nothing was quarantined.
    INNOCENT_CONVICTED = 'innocent_convicted'

    #: A daemon found one of its own invariants broken.
    INVARIANT = 'invariant'

    #: A daemon had an internal fault or ended by itself.
    DAEMON_FAULT = 'daemon_fault'


class Violation:
    """One promise that was not kept.

    Attributes:
        kind: Which promise.
        text: What was seen.
    """

    __slots__ = ('kind', 'text')

    def __init__(self, kind: ViolationKind, text: str) -> None:
        self.kind = kind
        self.text = text

    def __str__(self) -> str:
        return f'{self.kind.value}: {self.text}'
