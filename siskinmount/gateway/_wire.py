"""Protocol adapter: what the gateway must know of headers and bodies."""

import enum
from typing import Protocol

from siskinmount import customers
from siskinmount import fleet
from siskinmount import jobs
from siskinmount import results
from siskinmount import transport


class CallerRequest:
    """The values in the headers of a caller's request.

    Attributes:
        request_id: Id of this attempt of the caller; empty if none is given.
        deadline_ms: How long the caller waits; None if not given.
        last_event_id: Id of the event after which the stream resumes, or None.
        resumed_request_id: Id of the attempt of the caller that brought the
            first event of the stream that it resumes; empty if none is given.
        affinity_key: Key that requests with a common prompt prefix share.
        prompt_parts: Names of the parts of the prompt that other requests may
            share, in order; equal names mean equal tokens for the same model.
        wait_ms: How long a read of results may wait for the first result.
        prompt_key: Text that is the same for all attempts of a request and
            names all parts of its prompt, also those of its own.
    """

    __slots__ = (
        'request_id',
        'deadline_ms',
        'last_event_id',
        'resumed_request_id',
        'affinity_key',
        'prompt_parts',
        'wait_ms',
        'prompt_key',
    )

    def __init__(
        self,
        request_id: str,
        deadline_ms: int | None = None,
        last_event_id: int | None = None,
        affinity_key: str = '',
        wait_ms: int = 0,
        prompt_parts: tuple[str, ...] = (),
        resumed_request_id: str = '',
        prompt_key: str = '',
    ) -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.last_event_id = last_event_id
        self.resumed_request_id = resumed_request_id
        self.affinity_key = affinity_key
        self.wait_ms = wait_ms
        self.prompt_parts = prompt_parts
        self.prompt_key = prompt_key


class JobCallKind(enum.Enum):
    """Operations on a submitted job."""

    READ_RESULTS = 'read_results'
    READ_ITEM = 'read_item'
    END = 'end'


class JobCall:
    """A call on a job.

    Attributes:
        kind: The operation.
        job_id: Id of the job.
        after: Position of the first result to read.
        item_id: Id of the item to read.
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
    """What status and headers of an upstream's response say."""

    #: The upstream's own response to this request.
    OWN = 'own'

    #: The upstream promises that it did not run the request.
    NOT_RUN = 'not_run'

    #: Another process now has the upstream's address; it did not run the
    #: request.
    OTHER_PROCESS = 'other_process'

    #: The response belongs to another request, or to none.
    FOREIGN = 'foreign'


class Wire(Protocol):
    """Reads and writes the headers and bodies that differ between platforms."""

    def read_caller_request(self, head: transport.RequestHead) -> CallerRequest:
        """Returns the values in the headers of a request."""
        ...

    def read_key(self, head: transport.RequestHead) -> str | customers.KeyFault:
        """Returns the key of the caller's customer, or why there is none."""
        ...

    def find_job_call(
        self, head: transport.RequestHead
    ) -> JobCall | results.Failure | None:
        """Returns the job call in a request; None if it is not one."""
        ...

    def decode_job(
        self,
        job_id: str,
        route: fleet.FleetRoute,
        body: bytes,
        accepted_at_ms: int,
        customer: str | None,
    ) -> jobs.Job | results.Failure:
        """Decodes a submitted job.

        Args:
            job_id: Id of the job.
            route: Batch route that the job was submitted to.
            body: Body of the submission.
            accepted_at_ms: Time of acceptance, in Unix milliseconds.
            customer: As in `build_upstream_headers`; the job's items keep no
                headers that it replaces.
        """
        ...

    def encode_results(self, job: jobs.Job, after: int) -> bytes:
        """Encodes the results of a job from position `after` on."""
        ...

    def build_upstream_headers(
        self,
        caller_headers: transport.Headers,
        upstream_id: str,
        remaining_ms: int,
        last_event_id: int | None,
        customer: str | None,
    ) -> transport.Headers:
        """Returns the headers of a caller's request to an upstream.

        Args:
            caller_headers: Headers that the caller sent.
            upstream_id: Id of the upstream.
            remaining_ms: Time until the deadline.
            last_event_id: Id of the last event that the caller has, or None.
            customer: Customer that the upstream is told, empty for none; a key
                or customer in the caller's headers is dropped. None if the
                document defines no customers, so that all are passed on.
        """
        ...

    def build_item_headers(
        self,
        item: jobs.JobItem,
        upstream_id: str,
        last_event_id: int | None,
        customer: str | None,
    ) -> transport.Headers:
        """Returns the headers of a batch item's request to an upstream.

        `customer` is that of `build_upstream_headers`.
        """
        ...

    def classify_answer(
        self, status: int, headers: transport.Headers, request_id: str
    ) -> AnswerKind:
        """Classifies an upstream's response by its status and headers."""
        ...

    def announces_departure(
        self, status: int, headers: transport.Headers, request_id: str
    ) -> bool:
        """Returns whether an upstream says in its own response that it leaves.

        A response that may be of another process or another request says
        nothing.
        """
        ...

    def read_rate_limit(
        self, headers: transport.Headers
    ) -> float | results.Failure | None:
        """Returns the requests per second that an upstream accepts.

        The rate is for all members together. It is None if the response names
        none; an unsound one fails with `INVALID_FIELD`.
        """
        ...

    def build_answer_headers(
        self, headers: transport.Headers
    ) -> transport.Headers:
        """Returns the headers of an upstream's response to forward."""
        ...

    def build_retry_headers(
        self, failure: results.Failure
    ) -> transport.Headers:
        """Returns the headers that say when to retry; empty if unknown."""
        ...
