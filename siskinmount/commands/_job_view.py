"""Batch jobs as shown by the operators' commands."""

import enum

from siskinmount.commands import _fleet_client

_MS_PER_S = 1000


class JobRisk(enum.Enum):
    """Whether a job will be ready by its due time."""

    #: The job has ended.
    ENDED = 'ended'

    #: The job will be ready in time at the present rate.
    ON_TIME = 'on_time'

    #: The job will miss its due time at the present rate.
    AT_RISK = 'at_risk'

    #: The due time of the unfinished job has passed.
    OVERDUE = 'overdue'


class JobView:
    """Progress and risk of one batch job.

    Attributes:
        job: Identifier of the job.
        caller: Name of the caller.
        service: Name of the service.
        state: `running`, `finished` or `cancelled`.
        item_count: Number of all items.
        ended_count: Items that are done, failed or unknown.
        failed_count: Items that ended without a result.
        unknown_count: Non-idempotent items that may have run.
        due_at_ms: Milliseconds since the Unix epoch.
        risk: Whether the job will be ready by then.
    """

    __slots__ = (
        'job',
        'caller',
        'service',
        'state',
        'item_count',
        'ended_count',
        'failed_count',
        'unknown_count',
        'due_at_ms',
        'risk',
    )

    def __init__(self, document: dict[str, object], now_s: float) -> None:
        self.job = str(document.get('job', ''))
        self.caller = str(document.get('caller', ''))
        self.service = str(document.get('service', ''))
        self.state = str(document.get('state', ''))
        self.item_count = _get_int(document, 'item_count')
        self.failed_count = _get_int(document, 'failed_count')
        self.unknown_count = _get_int(document, 'unknown_count')
        self.ended_count = (
            _get_int(document, 'done_count')
            + self.failed_count
            + self.unknown_count
        )
        self.due_at_ms = _get_int(document, 'due_at_ms')
        self.risk = _assess_risk(
            self.state,
            self.due_at_ms,
            document.get('at_risk') is True,
            now_s,
        )

    def to_json(self) -> dict[str, object]:
        """Returns the job as a JSON object."""
        document = {name: getattr(self, name) for name in self.__slots__}
        document['risk'] = self.risk.value
        return document


def list_jobs(view: _fleet_client.FleetView, now_s: float) -> list[JobView]:
    """Returns the jobs of all reachable entries, sorted by due time."""
    jobs: dict[str, JobView] = {}
    for status in view.entries.values():
        documents = status.details.get('jobs')
        if not isinstance(documents, list):
            continue
        for document in documents:
            if isinstance(document, dict):
                job = JobView(document, now_s)
                jobs[job.job] = job
    return sorted(jobs.values(), key=lambda job: (job.due_at_ms, job.job))


def _get_int(document: dict[str, object], key: str) -> int:
    value = document.get(key)
    return value if isinstance(value, int) else 0


def _assess_risk(
    state: str, due_at_ms: int, is_at_risk: bool, now_s: float
) -> JobRisk:
    if state != 'running':
        return JobRisk.ENDED
    if due_at_ms <= now_s * _MS_PER_S:
        return JobRisk.OVERDUE
    return JobRisk.AT_RISK if is_at_risk else JobRisk.ON_TIME
