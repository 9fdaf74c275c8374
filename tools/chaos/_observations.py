"""Records of what callers, upstreams and daemons did during a run.

All times are seconds of the machine's monotonic clock, which all processes
share.
"""

from siskinmount import results


class OnlineObservation:
    """One streamed request as observed by its caller.

    Attributes:
        name: The request's idempotency key.
        prompt: The prompt.
        max_tokens: Maximum length of the answer, in tokens.
        is_poison: Whether the request crashes engines.
        tokens: Texts of the tokens received, over all resends.
        is_complete: Whether the end of the answer was received.
        failures: Failures that the system answered with, in order.
        gave_up: Whether the caller stopped after a refusal as not run.
        lost_answer_count: Number of sends that may have reached the system and
            whose answer did not arrive whole.
        broken_connections: Connections that broke during the answer.
    """

    __slots__ = (
        'name',
        'prompt',
        'max_tokens',
        'is_poison',
        'tokens',
        'is_complete',
        'failures',
        'gave_up',
        'lost_answer_count',
        'broken_connections',
    )

    def __init__(
        self,
        name: str,
        prompt: str,
        max_tokens: int,
        is_poison: bool = False,
    ) -> None:
        self.name = name
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.is_poison = is_poison
        self.tokens: list[str] = []
        self.is_complete = False
        self.failures: list[results.Failure] = []
        self.gave_up = False
        self.lost_answer_count = 0
        self.broken_connections: list[BrokenConnection] = []


class BrokenConnection:
    """A connection that ended before the answer did.

    Attributes:
        entry_vm: VM of the entry.
        at_s: Time of the break.
    """

    __slots__ = ('entry_vm', 'at_s')

    def __init__(self, entry_vm: str, at_s: float) -> None:
        self.entry_vm = entry_vm
        self.at_s = at_s


class PlainAnswer:
    """An answer of a plain service as received by its caller.

    Attributes:
        status: HTTP status.
        body: HTTP body.
    """

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class PlainObservation:
    """One call that may run at most once, as observed by its caller.

    Attributes:
        name: Idempotency key of the call and name of its effect.
        answers: Answers of the upstream to the first send and to resends.
        failures: Failures that the system answered with, in order.
        lost_answer_count: Number of sends that may have reached the system and
            had no answer.
        is_settled: Whether the caller has finished sending the call.
    """

    __slots__ = (
        'name',
        'answers',
        'failures',
        'lost_answer_count',
        'is_settled',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.answers: list[PlainAnswer] = []
        self.failures: list[results.Failure] = []
        self.lost_answer_count = 0
        self.is_settled = False


class ItemResult:
    """One line of a job's results.

    Attributes:
        index: Index of the item in its job.
        state: `done`, `failed` or `unknown`.
        text: The answer; empty if there is none.
        reason: Why there is no answer.
    """

    __slots__ = ('index', 'state', 'text', 'reason')

    def __init__(
        self, index: int, state: str, text: str, reason: str = ''
    ) -> None:
        self.index = index
        self.state = state
        self.text = text
        self.reason = reason


class JobObservation:
    """One batch job as observed by its caller.

    Attributes:
        name: The job's idempotency key.
        prompts: Prompts of the items, or names of their effects if `is_plain`.
        max_tokens: Maximum length of each answer, in tokens.
        is_plain: Whether the items are calls that may run at most once.
        job_id: Id of the job; empty if the job was never accepted.
        gave_up: Whether the caller stopped before the job was accepted.
        cancelled_at_s: When the cancellation was acknowledged, or None.
        is_finished: Whether a status reported the job as finished.
        readings: Complete lists of results, read at different times and
            through different entries.
        last_status: The last status received, for violation texts.
    """

    __slots__ = (
        'name',
        'prompts',
        'max_tokens',
        'is_plain',
        'job_id',
        'gave_up',
        'cancelled_at_s',
        'is_finished',
        'readings',
        'last_status',
    )

    def __init__(
        self,
        name: str,
        prompts: list[str],
        max_tokens: int,
        is_plain: bool = False,
    ) -> None:
        self.name = name
        self.prompts = prompts
        self.max_tokens = max_tokens
        self.is_plain = is_plain
        self.job_id = ''
        self.gave_up = False
        self.cancelled_at_s: float | None = None
        self.is_finished = False
        self.readings: list[list[ItemResult]] = []
        self.last_status = ''


class RequestStart:
    """The start of a request on an engine.

    Attributes:
        vm: The engine's VM.
        fingerprint: Hash of the request's content.
        at_s: Time of the start.
    """

    __slots__ = ('vm', 'fingerprint', 'at_s')

    def __init__(self, vm: str, fingerprint: str, at_s: float) -> None:
        self.vm = vm
        self.fingerprint = fingerprint
        self.at_s = at_s


class Effect:
    """One execution of a call on a plain service.

    Attributes:
        vm: The service's VM.
        name: Key in the call's body.
    """

    __slots__ = ('vm', 'name')

    def __init__(self, vm: str, name: str) -> None:
        self.vm = vm
        self.name = name


class Span:
    """A time span during which a condition held for one VM.

    Attributes:
        vm: The VM.
        start_s: Start time.
        end_s: End time.
    """

    __slots__ = ('vm', 'start_s', 'end_s')

    def __init__(self, vm: str, start_s: float, end_s: float) -> None:
        self.vm = vm
        self.start_s = start_s
        self.end_s = end_s


class Publication:
    """A configuration document that was accepted.

    Attributes:
        version: Version of the document.
        base_version: Version that the document was based on.
        at_s: When the publisher learned of the acceptance.
    """

    __slots__ = ('version', 'base_version', 'at_s')

    def __init__(self, version: int, base_version: int, at_s: float) -> None:
        self.version = version
        self.base_version = base_version
        self.at_s = at_s


class VersionReport:
    """The configuration version that a daemon reported as in force.

    Attributes:
        vm: The daemon's VM.
        incarnation: The daemon's incarnation.
        version: The configuration version.
        at_s: When the daemon was asked.
    """

    __slots__ = ('vm', 'incarnation', 'version', 'at_s')

    def __init__(
        self, vm: str, incarnation: int, version: int, at_s: float
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.version = version
        self.at_s = at_s


class Observations:
    """All observations of one run.

    Attributes:
        online: Streamed requests.
        plain: Calls that may run at most once.
        jobs: Batch jobs.
        starts: Starts of requests on engines.
        effects: Executions of calls on plain services.
        leaving_spans: Times during which an upstream was leaving: while the VM
            list said so, or from the stop signal to the exit of its sidecar.
        planned_stop_spans: Times from the stop signal to the exit of an entry.
        fault_spans: Times during which a fault affected a VM, restarts
            included. A VM named `*` stands for all VMs.
        publications: Accepted configuration documents.
        version_reports: Configuration versions in force at daemons.
        engine_crashes: Number of engine crashes caused by a request.
        invariant_lines: Log lines of broken invariants.
        fault_lines: Log lines of internal faults, and unplanned exits.
        failed_stops: Planned stops that ended with an error status.
    """

    __slots__ = (
        'online',
        'plain',
        'jobs',
        'starts',
        'effects',
        'leaving_spans',
        'planned_stop_spans',
        'fault_spans',
        'publications',
        'version_reports',
        'engine_crashes',
        'invariant_lines',
        'fault_lines',
        'failed_stops',
    )

    def __init__(self) -> None:
        self.online: list[OnlineObservation] = []
        self.plain: list[PlainObservation] = []
        self.jobs: list[JobObservation] = []
        self.starts: list[RequestStart] = []
        self.effects: list[Effect] = []
        self.leaving_spans: list[Span] = []
        self.planned_stop_spans: list[Span] = []
        self.fault_spans: list[Span] = []
        self.publications: list[Publication] = []
        self.version_reports: list[VersionReport] = []
        self.engine_crashes = 0
        self.invariant_lines: list[str] = []
        self.fault_lines: list[str] = []
        self.failed_stops: list[str] = []
