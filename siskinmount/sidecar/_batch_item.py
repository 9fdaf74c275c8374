"""A batch item that this sidecar holds, and the report on it."""

import base64
import enum
import math

import trio

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _running_request


class ItemOutcome(enum.Enum):
    """What became of an item here."""

    #: The upstream gave a whole answer.
    DONE = 'done'

    #: The attempt failed.
    FAILED = 'failed'

    #: Not started, or stopped with its output so far; no attempt.
    YIELDED = 'yielded'

    #: An item that must not be repeated may or may not have been executed.
    UNKNOWN = 'unknown'


class ItemKey:
    """Identifies an item among all jobs.

    Attributes:
        job: Id of the job.
        index: Position of the item in the job.
    """

    __slots__ = ('job', 'index')

    def __init__(self, job: str, index: int) -> None:
        self.job = job
        self.index = index

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, ItemKey)
            and self.job == other.job
            and self.index == other.index
        )

    def __hash__(self) -> int:
        return hash((self.job, self.index))

    def __repr__(self) -> str:
        return f'ItemKey({self.job!r}, {self.index})'


class BatchItem:
    """An item under a lease.

    Attributes:
        key: Identifies the item.
        attempt: Number of this attempt, from 1.
        lease: Names the lease towards the entry.
        lease_ms: Length of the lease.
        leased_until_s: Monotonic time at which the lease lapses.
        idempotent: Whether the item may be attempted again.
        solo: Whether nothing may run beside it.
        fingerprint: Hash of service and content.
        body: What to run.
        running: The run, once there is one.
        held_since_s: Monotonic time since which it waits for the upstream.
        give_back: Whether it shall be given back instead of resumed here.
        cancelled: Whether its job was cancelled.
    """

    __slots__ = (
        'key',
        'attempt',
        'lease',
        'lease_ms',
        'leased_until_s',
        'idempotent',
        'solo',
        'fingerprint',
        'body',
        'running',
        'held_since_s',
        'give_back',
        'cancelled',
    )

    def __init__(
        self,
        *,
        key: ItemKey,
        attempt: int,
        lease: str,
        lease_ms: int,
        idempotent: bool,
        fingerprint: str,
        body: _run_request.ModelBody | _run_request.PlainBody,
        solo: bool = False,
    ) -> None:
        self.key = key
        self.attempt = attempt
        self.lease = lease
        self.lease_ms = lease_ms
        self.leased_until_s = -math.inf
        self.idempotent = idempotent
        self.solo = solo
        self.fingerprint = fingerprint
        self.body = body
        self.running: _running_request.RunningRequest | None = None
        self.held_since_s = trio.current_time()
        self.give_back = False
        self.cancelled = False

    @property
    def request_id(self) -> str:
        """Id under which the item runs at the upstream."""
        return f'{self.key.job}/{self.key.index}'

    @property
    def lease_is_valid(self) -> bool:
        """Whether the entry may still count on this sidecar alone."""
        return trio.current_time() < self.leased_until_s

    def extend_lease(self, asked_at_s: float) -> None:
        """Extends the lease from the time at which that was asked for."""
        self.leased_until_s = asked_at_s + self.lease_ms / 1000

    def create_request(self) -> _run_request.RunRequest:
        """Returns the request to run, after the output that exists."""
        return _run_request.RunRequest(
            request_id=self.request_id,
            body=self.body,
            request_class=configuration.RequestClass.BATCH,
            attempt=self.attempt,
            fingerprint=self.fingerprint,
            solo=self.solo,
            preemptible=self.idempotent,
            may_start=self._may_start,
        )

    def _may_start(self) -> bool:
        """Tells whether the item may be sent to the upstream.

        After a pause of this process the entry may have written off an item
        that must not be repeated.
        """
        return self.idempotent or self.lease_is_valid

    def keep_output(self, tokens: list[str]) -> None:
        """Makes the next run continue after `tokens`."""
        if not isinstance(self.body, _run_request.ModelBody):
            return
        self.body = _run_request.ModelBody(
            prompt=self.body.prompt,
            messages=self.body.messages,
            max_tokens=self.body.max_tokens,
            resume_tokens=tokens,
        )


class ItemReport:
    """What the sidecar tells an entry about an item.

    Attributes:
        key: Identifies the item.
        lease: The lease under which it ran.
        outcome: What became of it.
        output: The answer, or the output so far; None if there is neither.
        code: Result code; `OK` for a whole answer.
        reason: One sentence for a person.
        wasted_tokens: Tokens generated here that are lost.
    """

    __slots__ = (
        'key',
        'lease',
        'outcome',
        'output',
        'code',
        'reason',
        'wasted_tokens',
    )

    def __init__(
        self,
        *,
        key: ItemKey,
        lease: str,
        outcome: ItemOutcome,
        output: dict[str, object] | None = None,
        code: results.ResultCode = results.ResultCode.OK,
        reason: str = '',
        wasted_tokens: int = 0,
    ) -> None:
        self.key = key
        self.lease = lease
        self.outcome = outcome
        self.output = output
        self.code = code
        self.reason = reason
        self.wasted_tokens = wasted_tokens

    def to_document(self) -> dict[str, object]:
        """Returns the report as a JSON object."""
        return {
            'job': self.key.job,
            'index': self.key.index,
            'lease': self.lease,
            'outcome': self.outcome.value,
            'output': self.output,
            'code': int(self.code),
            'reason': self.reason,
            'wasted_tokens': self.wasted_tokens,
        }


def parse_item(
    document: dict,
) -> BatchItem | ItemReport | results.Failure:
    """Parses an item as an entry hands it out.

    Returns:
        The item; or the report on an item whose body cannot be run; or a
        failure if there is no telling which item it is.
    """
    try:
        key = ItemKey(str(document['job']), int(document['index']))
        lease = str(document['lease'])
        body = _run_request.parse_body(document['body'])
        if isinstance(body, results.Failure):
            return ItemReport(
                key=key,
                lease=lease,
                outcome=ItemOutcome.FAILED,
                code=results.ResultCode.ITEM_INVALID,
                reason=body.reason,
            )
        return BatchItem(
            key=key,
            attempt=int(document['attempt']),
            lease=lease,
            lease_ms=int(document['lease_ms']),
            idempotent=bool(document['idempotent']),
            fingerprint=str(document['fingerprint']),
            body=body,
            solo=bool(document.get('solo', False)),
        )
    except (KeyError, TypeError, ValueError) as error:
        return results.Failure(
            results.ResultCode.ITEM_INVALID, f'invalid item: {error!r}'
        )


def create_report(item: BatchItem) -> ItemReport:
    """Returns the report on an item whose run has ended or never began."""
    running = item.running
    if running is None or not running.ended:
        return _create_yield_report(item, 'not started')
    failure = running.failure
    if failure is None:
        return _create_answer_report(item, running)
    not_run = failure.run_state is results.RunState.NOT_RUN
    if not_run and not item.cancelled:
        return _create_yield_report(item, failure.reason)
    if failure.code is results.ResultCode.BATCH_YIELDED and item.idempotent:
        return _create_yield_report(item, failure.reason)
    outcome = ItemOutcome.FAILED
    if not item.idempotent and not not_run:
        outcome = ItemOutcome.UNKNOWN
    return ItemReport(
        key=item.key,
        lease=item.lease,
        outcome=outcome,
        output=_describe_progress(item),
        code=failure.code,
        reason=failure.reason,
        wasted_tokens=_count_new_tokens(running) if item.cancelled else 0,
    )


def _create_yield_report(item: BatchItem, reason: str) -> ItemReport:
    return ItemReport(
        key=item.key,
        lease=item.lease,
        outcome=ItemOutcome.YIELDED,
        output=_describe_progress(item),
        code=results.ResultCode.BATCH_YIELDED,
        reason=reason,
    )


def _create_answer_report(
    item: BatchItem, running: _running_request.RunningRequest
) -> ItemReport:
    """Returns the report on a whole answer."""
    if isinstance(item.body, _run_request.PlainBody):
        return _create_plain_report(item, running)
    end = running.last_frame
    output: dict[str, object] = {'text': ''.join(running.collect_tokens())}
    if isinstance(end, relay.EndFrame):
        output['finish_reason'] = end.finish_reason
        output['prompt_tokens'] = end.prompt_tokens
        output['completion_tokens'] = end.completion_tokens
    return ItemReport(
        key=item.key,
        lease=item.lease,
        outcome=ItemOutcome.DONE,
        output=output,
    )


def _create_plain_report(
    item: BatchItem, running: _running_request.RunningRequest
) -> ItemReport:
    """Returns the report on the answer of a plain service."""
    status = 0
    headers: list[tuple[str, str]] = []
    parts: list[bytes] = []
    for frame in running.frames:
        if isinstance(frame, relay.HeadFrame):
            status = frame.status
            headers = frame.headers
        elif isinstance(frame, relay.BodyFrame):
            parts.append(frame.data)
    outcome = ItemOutcome.DONE
    code = results.ResultCode.OK
    if status >= 400:
        outcome = ItemOutcome.FAILED
        code = results.ResultCode.UPSTREAM_ERROR
        if status >= 500 and not item.idempotent:
            outcome = ItemOutcome.UNKNOWN
    return ItemReport(
        key=item.key,
        lease=item.lease,
        outcome=outcome,
        output={
            'status': status,
            'headers': headers,
            'body': base64.b64encode(b''.join(parts)).decode('ascii'),
        },
        code=code,
        reason='' if code is results.ResultCode.OK else f'status {status}',
    )


def _describe_progress(item: BatchItem) -> dict[str, object] | None:
    """Returns the output so far, for the next attempt to continue."""
    if not isinstance(item.body, _run_request.ModelBody):
        return None
    tokens = item.body.resume_tokens
    if item.running is not None:
        tokens = item.running.collect_tokens()
    return {'resume_tokens': tokens} if tokens else None


def _count_new_tokens(running: _running_request.RunningRequest) -> int:
    """Returns how many tokens this run has generated."""
    return sum(isinstance(frame, relay.TokenFrame) for frame in running.frames)
