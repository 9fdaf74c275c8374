"""Takes reports on items and renews leases."""

import orjson
import trio

from siskinmount import results
from siskinmount import state
from siskinmount.batch import _crash_evidence
from siskinmount.batch import _job
from siskinmount.batch import _lease_table
from siskinmount.batch import _owner_state
from siskinmount.batch import _report_messages
from siskinmount.state import records_pb2

# Failures that say nothing about the item itself.
_LOSS_CODES = frozenset(
    {
        results.ResultCode.OVERLOADED,
        results.ResultCode.LEAVING,
        results.ResultCode.BATCH_YIELDED,
        results.ResultCode.NO_UPSTREAM,
        results.ResultCode.UPSTREAM_UNREACHABLE,
        results.ResultCode.UPSTREAM_LOST,
        results.ResultCode.UPSTREAM_SILENT,
        results.ResultCode.OUTCOME_UNKNOWN,
        results.ResultCode.STALE_INCARNATION,
    }
)

# Failures that another attempt would meet again.
_FINAL_CODES = frozenset(
    {
        results.ResultCode.MALFORMED_REQUEST,
        results.ResultCode.BODY_TOO_LARGE,
        results.ResultCode.INVALID_FIELD,
        results.ResultCode.REQUEST_CONVICTED,
        results.ResultCode.ITEM_INVALID,
    }
)


class ItemReports:
    """Turns what sidecars report into records.

    Attributes:
        wasted_tokens: Tokens that were generated and could not be used.
    """

    __slots__ = ('wasted_tokens', '_state', '_evidence')

    def __init__(
        self,
        owner_state: _owner_state.OwnerState,
        evidence: _crash_evidence.CrashEvidence,
    ) -> None:
        self.wasted_tokens = 0
        self._state = owner_state
        self._evidence = evidence

    async def report(
        self, request: _report_messages.ReportRequest
    ) -> _report_messages.ReportReply | results.Failure:
        """Takes reports, and answers when they are read back or time is up.

        While the log is down, what is reported waits in the stream's buffer,
        and a report repeated meanwhile joins it.
        """
        owner = self._state
        if not owner.stream.is_owned:
            return owner.not_owner()
        for report in request.reports:
            self._note_death(request, report)
        queued = [self._take(report) for report in request.reports]
        pending = [
            record
            for record in queued
            if isinstance(record, state.PendingRecord)
        ]
        await _owner_state.wait_settled(
            pending, owner.stream.limits.commit_timeout_ms
        )
        owner.drop_settled()
        return _report_messages.ReportReply(
            [_is_settled(record) for record in queued],
            [
                _report_messages.ItemName(report.job, report.index)
                for report in request.reports
                if self._is_unwanted(report.job)
            ],
        )

    def renew(
        self, request: _report_messages.RenewRequest
    ) -> _report_messages.RenewReply | results.Failure:
        """Extends leases, and says which items the sidecar must stop."""
        owner = self._state
        failure = owner.note_sidecar(request.vm, request.incarnation)
        if failure is not None:
            return failure
        return _report_messages.RenewReply(
            [
                _report_messages.ItemName(name.job, name.index)
                for name in request.leases
                if not self._renew(name, request.vm, request.incarnation)
            ],
            [],
        )

    def _renew(
        self, name: _report_messages.LeaseName, vm: str, incarnation: int
    ) -> bool:
        """Extends one lease; False if the item must be stopped."""
        owner = self._state
        job = owner.table.jobs.get(name.job)
        if job is None or not job.is_active or not job.is_open(name.index):
            self._drop_lease(name.job, name.index, name.lease)
            return False
        if (name.job, name.index) in owner.ending:
            return False
        expires_at_s = trio.current_time() + owner.limits.lease_ms / 1000
        lease = owner.leases.find(name.job, name.index)
        if lease is not None:
            if lease.lease_id != name.lease:
                return False
            lease.expires_at_s = expires_at_s
            return True
        return self._adopt(job, name, vm, incarnation, expires_at_s)

    def _drop_lease(self, job_id: str, index: int, lease_id: str) -> None:
        """Removes the lease of an item of which nothing is wanted."""
        leases = self._state.leases
        lease = leases.find(job_id, index)
        if lease is not None and lease.lease_id == lease_id:
            leases.remove(lease)

    def _adopt(
        self,
        job: _job.Job,
        name: _report_messages.LeaseName,
        vm: str,
        incarnation: int,
        expires_at_s: float,
    ) -> bool:
        """Takes over a lease that the stream's last owner gave."""
        if not job.submitted.idempotent:
            started = job.started.get(name.index)
            if started is None or started.lease != name.lease:
                return False
        lease = _lease_table.Lease(
            name.lease, job.job_id, name.index, vm, incarnation, expires_at_s
        )
        lease.is_handed_out = True
        self._state.leases.add(lease)
        return True

    def _note_death(
        self,
        request: _report_messages.ReportRequest,
        report: _report_messages.ItemReport,
    ) -> None:
        """Notes how an upstream fared that ran a suspect."""
        if not report.fingerprint:
            return
        if report.outcome is _report_messages.ReportedOutcome.DONE:
            self._evidence.record_survival(report.fingerprint)
            return
        if not report.upstream_generation:
            return
        self._evidence.record_death(
            report.fingerprint,
            request.vm,
            request.incarnation + report.upstream_generation,
            alone=report.was_alone,
        )

    def _is_unwanted(self, job_id: str) -> bool:
        job = self._state.table.jobs.get(job_id)
        return job is None or job.is_cancelled

    def _take(
        self, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure | None:
        """Queues what a report leads to.

        Returns:
            The record on its way, a failure if it could not be queued, or
            None if there is nothing to record.
        """
        self.wasted_tokens += report.wasted_tokens
        owner = self._state
        job = owner.table.jobs.get(report.job)
        if job is None or job.is_cancelled or not job.is_open(report.index):
            self._drop_lease(report.job, report.index, report.lease)
            return None
        pending = owner.ending.get((report.job, report.index))
        if pending is not None:
            return pending
        if not self._may_report(job, report):
            return None
        match report.outcome:
            case _report_messages.ReportedOutcome.DONE:
                return self._take_done(job, report)
            case _report_messages.ReportedOutcome.YIELDED:
                return self._take_yielded(job, report)
            case _report_messages.ReportedOutcome.FAILED:
                return self._take_failed(job, report)
            case _report_messages.ReportedOutcome.UNKNOWN:
                return self._take_unknown(job, report)

    def _may_report(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> bool:
        """Whether the reporter may settle the item.

        A result of an idempotent item is welcome from anybody who has it. Any
        other report must come from the holder of the lease.
        """
        if not job.submitted.idempotent:
            started = job.started.get(report.index)
            return started is not None and started.lease == report.lease
        if report.outcome is _report_messages.ReportedOutcome.DONE:
            return True
        lease = self._state.leases.find(job.job_id, report.index)
        return lease is not None and lease.lease_id == report.lease

    def _take_done(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure:
        try:
            output = orjson.dumps(report.output)
        except TypeError:
            # JSON that can be read may be nested too deeply to be written.
            return self._state.end_item(
                job,
                report.index,
                records_pb2.ITEM_OUTCOME_FAILED,
                code=results.ResultCode.ITEM_FAILED,
                reason='the output is nested too deeply',
            )
        return self._state.end_item(
            job,
            report.index,
            records_pb2.ITEM_OUTCOME_DONE,
            output=output,
        )

    def _take_yielded(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure | None:
        """Puts an item back that has made way for online requests."""
        tokens: list[str] = []
        if report.output is not None:
            given = report.output.get('resume_tokens')
            if not isinstance(given, list):
                return self._take_unknown(job, report)
            if not all(isinstance(token, str) for token in given):
                return self._take_unknown(job, report)
            tokens = given
        lease = self._state.leases.find(job.job_id, report.index)
        if lease is None:
            return None
        return self._state.return_item(job, lease, tokens)

    def _take_failed(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure:
        """Counts an attempt that failed, or ends the item."""
        owner = self._state
        code = _code_of(report)
        if not job.submitted.idempotent or code in _FINAL_CODES:
            return owner.end_item(
                job,
                report.index,
                records_pb2.ITEM_OUTCOME_FAILED,
                code=code,
                reason=report.reason,
            )
        if code in _LOSS_CODES:
            return owner.record_loss(job, report.index)
        return owner.record_failure(job, report.index, code, report.reason)

    def _take_unknown(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure:
        """Tries an idempotent item again; ends another as unknown."""
        owner = self._state
        if job.submitted.idempotent:
            return owner.record_loss(job, report.index)
        return owner.end_item(
            job,
            report.index,
            records_pb2.ITEM_OUTCOME_UNKNOWN,
            code=results.ResultCode.OUTCOME_UNKNOWN,
            reason=report.reason or 'the item may have run',
        )


def _code_of(report: _report_messages.ItemReport) -> results.ResultCode:
    """Returns a report's code; one that is not known here is a plain failure."""
    try:
        return results.ResultCode(report.code)
    except ValueError:
        return results.ResultCode.ITEM_FAILED


def _is_settled(record: state.PendingRecord | results.Failure | None) -> bool:
    """Tells whether a report need not be sent again."""
    if record is None:
        return True
    if isinstance(record, results.Failure):
        return False
    return isinstance(record.outcome, state.Committed)
