"""A batch item that this sidecar holds under a lease."""

import math

import trio

from siskinmount import batch
from siskinmount import configuration
from siskinmount import results
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _running_request

#: Maximum age of the last lease confirmation when an item is started.
MAX_CONFIRMATION_AGE_S = 2.5


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
    """A batch item leased to this sidecar.

    Attributes:
        key: Identifies the item.
        attempt: Number of this attempt, from 1.
        lease: Name of the lease at the entry.
        lease_ms: Length of the lease.
        leased_until_s: Monotonic time at which the lease expires.
        idempotent: Whether the item may be attempted again.
        solo: Whether the item must run alone at the upstream.
        fingerprint: Hash of service and content.
        body: Request body to run.
        running: The current run, or None before the first.
        held_since_s: Monotonic time since which the item has waited for the
            upstream.
        was_sent: Whether a byte of the item can have reached the upstream.
        return_requested: Whether to return the item to its entry instead of
            resuming it here.
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
        'was_sent',
        'return_requested',
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
        self.was_sent = False
        self.return_requested = False
        self.cancelled = False

    @property
    def request_id(self) -> str:
        """Request id of the item at the upstream."""
        return f'{self.key.job}/{self.key.index}'

    @property
    def may_continue(self) -> bool:
        """Whether another run may continue from the output so far.

        A non-idempotent item must not be continued until the upstream has
        confirmed that the earlier run stopped.
        """
        running = self.running
        if self.idempotent or running is None:
            return True
        return running.stopped_at_upstream or not running.sent_to_upstream

    @property
    def lease_is_valid(self) -> bool:
        """Whether the lease has not expired."""
        return trio.current_time() < self.leased_until_s

    def extend_lease(self, requested_at_s: float) -> None:
        """Extends the lease, counted from the time of the renewal request."""
        self.leased_until_s = requested_at_s + self.lease_ms / 1000

    def create_request(self) -> _run_request.RunRequest:
        """Returns a request that continues after the existing output."""
        return _run_request.RunRequest(
            request_id=self.request_id,
            body=self.body,
            request_class=configuration.RequestClass.BATCH,
            attempt=self.attempt,
            fingerprint=self.fingerprint,
            solo=self.solo,
            at_most_once=not self.idempotent,
            prompt_cached=self.was_sent,
            may_start=self._may_start,
        )

    def _may_start(self) -> bool:
        """Returns whether the item may be sent to the upstream.

        The entry must have confirmed the lease recently: since the last
        confirmation the job may have been cancelled, or the item recorded as
        lost after a pause of this process.
        """
        confirmed_at_s = self.leased_until_s - self.lease_ms / 1000
        return trio.current_time() - confirmed_at_s < MAX_CONFIRMATION_AGE_S

    def set_resume_tokens(self, tokens: list[str], version: str) -> None:
        """Makes the next run resume after `tokens`, which a version wrote."""
        if not isinstance(self.body, _run_request.ModelBody):
            return
        self.body = _run_request.ModelBody(
            prompt=self.body.prompt,
            messages=self.body.messages,
            max_tokens=self.body.max_tokens,
            resume_tokens=tokens,
            resume_version=version,
        )


def create_item(
    pulled: batch.PulledItem,
) -> BatchItem | batch.ItemReport:
    """Returns a batch item, or a failure report if its body is invalid."""
    body = _run_request.parse_body(pulled.body)
    if isinstance(body, results.Failure):
        return batch.ItemReport(
            pulled.job,
            pulled.index,
            pulled.lease,
            batch.ReportedOutcome.FAILED,
            code=int(results.ResultCode.ITEM_INVALID),
            reason=body.reason,
        )
    return BatchItem(
        key=ItemKey(pulled.job, pulled.index),
        attempt=pulled.attempt,
        lease=pulled.lease,
        lease_ms=pulled.lease_ms,
        idempotent=pulled.idempotent,
        fingerprint=pulled.fingerprint,
        body=body,
        solo=pulled.solo,
    )
