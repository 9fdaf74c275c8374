"""Processing of sidecars' item reports and lease renewals."""

import orjson
import trio

from siskinmount import results
from siskinmount import state
from siskinmount.batch import _crash_tracker
from siskinmount.batch import _job
from siskinmount.batch import _lease_table
from siskinmount.batch import _owner_state
from siskinmount.batch import _report_messages
from siskinmount.state import records_pb2

# Failures that are not caused by the item; they count as lost attempts.
_LOSS_CODES = frozenset(
    {
        results.ResultCode.OVERLOADED,
        results.ResultCode.LEAVING,
        results.ResultCode.BATCH_YIELDED,
        results.ResultCode.NO_UPSTREAM,
        results.ResultCode.UPSTREAM_UNREACHABLE,
        results.ResultCode.UPSTREAM_LOST,
        results.ResultCode.UPSTREAM_SILENT,
        results.ResultCode.REQUEST_SUSPECT,
        results.ResultCode.REQUEST_CONVICTED,
        results.ResultCode.OUTCOME_UNKNOWN,
        results.ResultCode.STALE_INCARNATION,
    }
)

# Failures that would recur on another attempt.
_NON_RETRYABLE_CODES = frozenset(
    {
        results.ResultCode.MALFORMED_REQUEST,
        results.ResultCode.BODY_TOO_LARGE,
        results.ResultCode.INVALID_FIELD,
        results.ResultCode.ITEM_INVALID,
    }
)


class ItemReports:
    """Converts the reports of sidecars into records.

    Attributes:
        wasted_tokens: Number of tokens that were generated and discarded.
    """

    __slots__ = ('wasted_tokens', '_state', '_crash_tracker')

    def __init__(
        self,
        owner_state: _owner_state.OwnerState,
        crash_tracker: _crash_tracker.CrashTracker,
    ) -> None:
        self.wasted_tokens = 0
        self._state = owner_state
        self._crash_tracker = crash_tracker

    async def report(
        self, request: _report_messages.ReportRequest
    ) -> _report_messages.ReportReply | results.Failure:
        """Queues records for reports and waits until they are read back.

        The wait is limited to the stream's commit timeout. While the log is
        down, the records stay in the stream's buffer, and a repeated report
        waits for the record that is already queued.
        """
        owner = self._state
        if not owner.stream.is_owned:
            return owner.not_owner_failure()
        for report in request.reports:
            self._record_crash_outcome(request, report)
        queued = [self._process(report) for report in request.reports]
        pending = [
            record
            for record in queued
            if isinstance(record, state.PendingRecord)
        ]
        await _owner_state.wait_settled(
            pending, owner.stream.limits.commit_timeout_ms
        )
        owner.remove_settled_ends()
        return _report_messages.ReportReply(
            [_is_settled(record) for record in queued],
            [
                _report_messages.ItemName(report.job, report.index)
                for report in request.reports
                if self._is_job_gone(report.job)
            ],
        )

    def renew(
        self, request: _report_messages.RenewRequest
    ) -> _report_messages.RenewReply | results.Failure:
        """Extends leases and returns the items that the sidecar must stop."""
        owner = self._state
        failure = owner.register_sidecar(request.vm, request.incarnation)
        if failure is not None:
            return failure
        if not owner.check_current():
            return _report_messages.RenewReply(
                [],
                [
                    _report_messages.ItemName(lease_name.job, lease_name.index)
                    for lease_name in request.leases
                ],
            )
        return _report_messages.RenewReply(
            [
                _report_messages.ItemName(lease_name.job, lease_name.index)
                for lease_name in request.leases
                if not self._renew(lease_name, request.vm, request.incarnation)
            ],
            [],
        )

    def _renew(
        self, lease_name: _report_messages.LeaseName, vm: str, incarnation: int
    ) -> bool:
        """Extends one lease; returns False if the item must be stopped."""
        owner = self._state
        job = owner.table.jobs.get(lease_name.job)
        if (
            job is None
            or not job.is_active
            or not job.is_open(lease_name.index)
        ):
            self._drop_lease(lease_name.job, lease_name.index, lease_name.lease)
            return False
        if (lease_name.job, lease_name.index) in owner.pending_ends:
            return False
        expires_at_s = trio.current_time() + owner.limits.lease_ms / 1000
        lease = owner.leases.find(lease_name.job, lease_name.index)
        if lease is not None:
            if lease.lease_id != lease_name.lease:
                return False
            lease.expires_at_s = expires_at_s
            return True
        return self._adopt(job, lease_name, vm, incarnation, expires_at_s)

    def _drop_lease(self, job_id: str, index: int, lease_id: str) -> None:
        """Removes the lease of an item whose result is not needed."""
        leases = self._state.leases
        lease = leases.find(job_id, index)
        if lease is not None and lease.lease_id == lease_id:
            leases.remove(lease)

    def _adopt(
        self,
        job: _job.Job,
        lease_name: _report_messages.LeaseName,
        vm: str,
        incarnation: int,
        expires_at_s: float,
    ) -> bool:
        """Takes over a lease that is not in the table.

        The stream's previous owner granted it, or this owner took its holder
        for lost. Renewals and reports are sent by separate tasks, so a renewal
        may also arrive after the report that returned the item.

        Returns:
            False if the item was returned under this lease or a later one, or
            if it is non-idempotent and was not started under this lease.
        """
        leases = self._state.leases
        if leases.is_returned(job.job_id, lease_name.index, lease_name.lease):
            return False
        if not job.submitted.idempotent:
            started = job.started.get(lease_name.index)
            if started is None or started.lease != lease_name.lease:
                return False
        lease = _lease_table.Lease(
            lease_name.lease,
            job.job_id,
            lease_name.index,
            vm,
            incarnation,
            expires_at_s,
        )
        lease.is_dispatched = True
        leases.add(lease)
        return True

    def _record_crash_outcome(
        self,
        request: _report_messages.ReportRequest,
        report: _report_messages.ItemReport,
    ) -> None:
        """Records a crash of the upstream, or a run that completed alone."""
        if not report.fingerprint:
            return
        if report.outcome is _report_messages.ReportedOutcome.DONE:
            self._crash_tracker.record_solo_completion(report.fingerprint)
            return
        if not report.upstream_generation:
            return
        self._crash_tracker.record_crash(
            report.fingerprint,
            request.vm,
            request.incarnation + report.upstream_generation,
            alone=report.was_alone,
        )

    def _is_job_gone(self, job_id: str) -> bool:
        job = self._state.table.jobs.get(job_id)
        return job is None or job.is_cancelled

    def _process(
        self, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure | None:
        """Queues the record for a report.

        Returns:
            The queued record, a failure if it could not be queued, or None if
            there is nothing to record.
        """
        self.wasted_tokens += report.wasted_tokens
        owner = self._state
        job = owner.table.jobs.get(report.job)
        if job is None or job.is_cancelled or not job.is_open(report.index):
            self._drop_lease(report.job, report.index, report.lease)
            return None
        pending = owner.pending_ends.get((report.job, report.index))
        if pending is not None:
            return pending
        if report.outcome is not _report_messages.ReportedOutcome.DONE:
            # The holder has stopped even if the report changes nothing here.
            owner.leases.record_returned(report.job, report.index, report.lease)
        if not self._may_report(job, report):
            return None
        match report.outcome:
            case _report_messages.ReportedOutcome.DONE:
                return self._process_done(job, report)
            case _report_messages.ReportedOutcome.YIELDED:
                return self._process_yielded(job, report)
            case _report_messages.ReportedOutcome.FAILED:
                return self._process_failed(job, report)
            case _report_messages.ReportedOutcome.UNKNOWN:
                return self._process_unknown(job, report)

    def _may_report(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> bool:
        """Whether a report may change the state of the item.

        A result of an idempotent item is accepted whichever lease it was
        produced under. Any other report must carry the current lease, or for a
        non-idempotent item the lease of its start record.
        """
        if not job.submitted.idempotent:
            started = job.started.get(report.index)
            return started is not None and started.lease == report.lease
        if report.outcome is _report_messages.ReportedOutcome.DONE:
            return True
        lease = self._state.leases.find(job.job_id, report.index)
        return lease is not None and lease.lease_id == report.lease

    def _process_done(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure:
        try:
            output = orjson.dumps(report.output)
        except TypeError:
            # orjson decodes deeper nesting than it encodes.
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

    def _process_yielded(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure | None:
        """Requeues an item that was preempted by online requests."""
        tokens: list[str] = []
        version = ''
        if report.output is not None:
            given = report.output.get('resume_tokens')
            if not isinstance(given, list):
                return self._process_unknown(job, report)
            if not all(isinstance(token, str) for token in given):
                return self._process_unknown(job, report)
            tokens = given
            # A sidecar of an earlier release names no version.
            version = str(report.output.get('resume_version', ''))
        lease = self._state.leases.find(job.job_id, report.index)
        if lease is None:
            return None
        return self._state.return_item(job, lease, tokens, version)

    def _process_failed(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure:
        """Records a failed or lost attempt, or ends the item."""
        owner = self._state
        code = _result_code(report)
        if not job.submitted.idempotent or code in _NON_RETRYABLE_CODES:
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

    def _process_unknown(
        self, job: _job.Job, report: _report_messages.ItemReport
    ) -> state.PendingRecord | results.Failure:
        """Retries an idempotent item; ends a non-idempotent one as unknown."""
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


def _result_code(report: _report_messages.ItemReport) -> results.ResultCode:
    """Returns a report's result code, `ITEM_FAILED` if it is unknown here."""
    try:
        return results.ResultCode(report.code)
    except ValueError:
        return results.ResultCode.ITEM_FAILED


def _is_settled(record: state.PendingRecord | results.Failure | None) -> bool:
    """Returns whether the sidecar need not send a report again."""
    if record is None:
        return True
    if isinstance(record, results.Failure):
        return False
    return isinstance(record.outcome, state.Committed)
