"""How callers and upstreams speak, as far as the gateway needs to know."""

import enum
from typing import Protocol

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import results
from siskinmount import transport


class CallerRequest:
    """What a caller says of its request beside method, target and body.

    Attributes:
        request_id: Id of this attempt of the caller; empty if it has none.
        deadline_ms: How long the caller waits; None if it does not say.
        last_event_id: The event after which its stream is to go on, or None.
        affinity_key: Requests with the same key share parts of their prompt.
        wait_ms: How long a read of results may wait for the first.
    """

    __slots__ = (
        'request_id',
        'deadline_ms',
        'last_event_id',
        'affinity_key',
        'wait_ms',
    )

    def __init__(
        self,
        request_id: str,
        deadline_ms: int | None = None,
        last_event_id: int | None = None,
        affinity_key: str = '',
        wait_ms: int = 0,
    ) -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.last_event_id = last_event_id
        self.affinity_key = affinity_key
        self.wait_ms = wait_ms


class JobCallKind(enum.Enum):
    """What a caller wants of a job that it has submitted."""

    READ_RESULTS = 'read_results'
    READ_ITEM = 'read_item'
    END = 'end'


class JobCall:
    """A call on a job.

    Attributes:
        kind: What is wanted.
        job_id: The job.
        after: Position of the first result wanted.
        item_id: The item wanted.
    """

    __slots__ = ('kind', 'job_id', 'after', 'item_id')

    def __init__(
        self, kind: JobCallKind, job_id: str, after: int = 0, item_id: str = ''
    ) -> None:
        self.kind = kind
        self.job_id = job_id
        self.after = after
        self.item_id = item_id


class AnswerKind(enum.Enum):
    """What the head of an upstream's answer says."""

    #: The upstream's own answer to this request.
    OWN = 'own'

    #: The upstream promises that it did not run the request.
    NOT_RUN = 'not_run'

    #: Another process has the address, and did not run the request.
    OTHER_PROCESS = 'other_process'

    #: The answer belongs to another request, or to none.
    FOREIGN = 'foreign'


class Wire(Protocol):
    """Reads and writes what differs between platforms."""

    def read_caller_request(self, head: transport.RequestHead) -> CallerRequest:
        """Returns what the headers say."""
        ...

    def find_job_call(
        self, head: transport.RequestHead
    ) -> JobCall | results.Failure | None:
        """Returns the call on a job that a request is; None for others."""
        ...

    def decode_job(
        self,
        job_id: str,
        route: fleet.FleetRoute,
        body: bytes,
        accepted_at_ms: int,
    ) -> jobs.Job | results.Failure:
        """Decodes a job that is submitted."""
        ...

    def encode_results(self, job: jobs.Job, after: int) -> bytes:
        """Returns the results from a position on."""
        ...

    def build_upstream_headers(
        self,
        caller_headers: transport.Headers,
        upstream_id: str,
        remaining_ms: int,
        last_event_id: int | None,
    ) -> transport.Headers:
        """Returns the headers of a caller's request at an upstream."""
        ...

    def build_item_headers(
        self,
        item: jobs.JobItem,
        upstream_id: str,
        last_event_id: int | None,
    ) -> transport.Headers:
        """Returns the headers of a batch item at an upstream."""
        ...

    def judge_answer(
        self, status: int, headers: transport.Headers, request_id: str
    ) -> AnswerKind:
        """Returns what the head of an upstream's answer says."""
        ...

    def build_answer_headers(
        self, headers: transport.Headers
    ) -> transport.Headers:
        """Returns the headers of an upstream's answer that the caller gets."""
        ...

    def build_retry_headers(
        self, failure: results.Failure
    ) -> transport.Headers:
        """Returns the headers that say when to come back, if that is known."""
        ...
