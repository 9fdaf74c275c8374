"""What callers, upstreams and daemons showed during a run.

All times are seconds of the machine's monotonic clock, which is one for all
processes.
"""

from siskinmount import results


class OnlineObservation:
    """One streamed request as its caller saw it.

    Attributes:
        name: The request's idempotency key.
        prompt: Its prompt.
        max_tokens: Its bound on the answer.
        is_poison: Whether it crashes engines.
        texts: Tokens received, over all resends.
        ended: Whether the end of the answer came.
        failures: Failures that the system gave, in order.
        is_given_up: Whether the caller stopped after a refusal.
        lost_count: Sends that may have been taken and had no whole answer.
        breaks: Connections that broke in mid-answer.
    """

    __slots__ = (
        'name',
        'prompt',
        'max_tokens',
        'is_poison',
        'texts',
        'ended',
        'failures',
        'is_given_up',
        'lost_count',
        'breaks',
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
        self.texts: list[str] = []
        self.ended = False
        self.failures: list[results.Failure] = []
        self.is_given_up = False
        self.lost_count = 0
        self.breaks: list[BrokenConnection] = []


class BrokenConnection:
    """A connection that ended before the answer did.

    Attributes:
        entry_vm: The entry.
        at_s: When.
    """

    __slots__ = ('entry_vm', 'at_s')

    def __init__(self, entry_vm: str, at_s: float) -> None:
        self.entry_vm = entry_vm
        self.at_s = at_s


class PlainAnswer:
    """An answer of a plain service as its caller got it.

    Attributes:
        status: HTTP status.
        body: The body.
    """

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class PlainObservation:
    """One call that may run at most once, as its caller saw it.

    Attributes:
        name: Names its effect.
        answers: Answers of the upstream, the first and those to resends.
        failures: Failures that the system gave, in order.
        lost_count: Connections that ended without an answer.
        is_settled: Whether its caller has nothing more to ask.
    """

    __slots__ = ('name', 'answers', 'failures', 'lost_count', 'is_settled')

    def __init__(self, name: str) -> None:
        self.name = name
        self.answers: list[PlainAnswer] = []
        self.failures: list[results.Failure] = []
        self.lost_count = 0
        self.is_settled = False


class ItemResult:
    """One line of a job's results.

    Attributes:
        index: The item.
        state: `done`, `failed` or `unknown`.
        text: The answer; empty if there is none.
        reason: Why there is none.
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
    """One batch job as its caller saw it.

    Attributes:
        name: The job's idempotency key.
        prompts: Prompts of its items; names of their effects if it is plain.
        max_tokens: Bound on each answer.
        is_plain: Whether its items are calls that may run at most once.
        job_id: Its id; empty if it was never accepted.
        is_given_up: Whether the caller stopped before it was accepted.
        cancelled_at_s: When its cancellation was acknowledged, or None.
        is_finished: Whether it was seen finished.
        readings: Results read, whole, at different times and entries.
        last_status: The last status seen, for people.
    """

    __slots__ = (
        'name',
        'prompts',
        'max_tokens',
        'is_plain',
        'job_id',
        'is_given_up',
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
        self.is_given_up = False
        self.cancelled_at_s: float | None = None
        self.is_finished = False
        self.readings: list[list[ItemResult]] = []
        self.last_status = ''


class Start:
    """A request that an engine took.

    Attributes:
        vm: The engine's VM.
        fingerprint: Hash of the request's content.
        at_s: When.
    """

    __slots__ = ('vm', 'fingerprint', 'at_s')

    def __init__(self, vm: str, fingerprint: str, at_s: float) -> None:
        self.vm = vm
        self.fingerprint = fingerprint
        self.at_s = at_s


class Effect:
    """What a plain service did.

    Attributes:
        vm: The service's VM.
        name: Name in the call's body.
    """

    __slots__ = ('vm', 'name')

    def __init__(self, vm: str, name: str) -> None:
        self.vm = vm
        self.name = name


class Span:
    """A time in which something held for one VM.

    Attributes:
        vm: The VM.
        start_s: Its start.
        end_s: Its end.
    """

    __slots__ = ('vm', 'start_s', 'end_s')

    def __init__(self, vm: str, start_s: float, end_s: float) -> None:
        self.vm = vm
        self.start_s = start_s
        self.end_s = end_s


class Publication:
    """A document that was accepted.

    Attributes:
        version: Its version.
        base_version: The version that it was made from.
        at_s: When its publisher was told.
    """

    __slots__ = ('version', 'base_version', 'at_s')

    def __init__(self, version: int, base_version: int, at_s: float) -> None:
        self.version = version
        self.base_version = base_version
        self.at_s = at_s


class VersionSighting:
    """The version that a daemon said is in force there.

    Attributes:
        vm: The daemon's VM.
        incarnation: Its incarnation.
        version: The version.
        at_s: When.
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
    """All that was seen in one run.

    Attributes:
        online: Streamed requests.
        plain: Calls that may run at most once.
        jobs: Batch jobs.
        starts: Requests that engines took.
        effects: What plain services did.
        leaving: Times in which an upstream was leaving and known as such.
        planned_stops: Times from the signal to the end of a planned stop.
        disturbed: Times in which a fault was on a daemon, restarts included.
            A VM named `*` stands for all.
        publications: Accepted documents.
        sightings: Versions in force at daemons.
        engine_crashes: Engines that ended by a request's fault.
        invariant_lines: Log lines of broken invariants.
        fault_lines: Log lines of internal faults, and unplanned ends.
        bad_stops: Planned stops that did not end well.
    """

    __slots__ = (
        'online',
        'plain',
        'jobs',
        'starts',
        'effects',
        'leaving',
        'planned_stops',
        'disturbed',
        'publications',
        'sightings',
        'engine_crashes',
        'invariant_lines',
        'fault_lines',
        'bad_stops',
    )

    def __init__(self) -> None:
        self.online: list[OnlineObservation] = []
        self.plain: list[PlainObservation] = []
        self.jobs: list[JobObservation] = []
        self.starts: list[Start] = []
        self.effects: list[Effect] = []
        self.leaving: list[Span] = []
        self.planned_stops: list[Span] = []
        self.disturbed: list[Span] = []
        self.publications: list[Publication] = []
        self.sightings: list[VersionSighting] = []
        self.engine_crashes = 0
        self.invariant_lines: list[str] = []
        self.fault_lines: list[str] = []
        self.bad_stops: list[str] = []
