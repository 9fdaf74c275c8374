"""Serves callers that submit, read and end batch jobs."""

import logging
import time

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _customer_check
from siskinmount.gateway import _failure_responses
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: Longest time that a submission waits for the store, and the share of the
#: caller's deadline that the wait may take: the caller must have time to retry
#: elsewhere.
SUBMIT_TIMEOUT_MS = 2500
SUBMIT_DEADLINE_SHARE = 0.6
#: Longest time that the end of a job waits for the store; within it, the end
#: counts as accepted.
END_TIMEOUT_MS = 2500
#: Longest time that a read waits for its first result.
MAX_READ_WAIT_MS = 1000
#: Oldest view of the log by which a read may be told that there are no new
#: results: a quarter of the time in which other daemons must know of them.
MAX_STALENESS_S = 0.25
#: Share of the memory for clients above which no jobs are accepted: they can be
#: submitted elsewhere or later, and requests of callers who wait go first.
MAX_SUBMIT_PRESSURE = 0.8
PRESSURE_RETRY_MS = 1000


class JobsApi:
    """Handles submissions and calls on jobs."""

    __slots__ = (
        '_wire',
        '_table',
        '_ledger',
        '_follower',
        '_metrics',
        '_max_record_bytes',
        '_view',
        '_customer_check',
        '_budget',
    )

    def __init__(
        self,
        *,
        wire: _wire.Wire,
        table: jobs.JobTable,
        ledger: jobs.JobLedger,
        follower: keyed_log.LogFollower,
        metrics: _gateway_metrics.GatewayMetrics,
        max_record_bytes: int,
        view: fleet.FleetView,
        customer_check: _customer_check.CustomerCheck,
        budget: transport.ByteBudget,
    ) -> None:
        self._wire = wire
        self._table = table
        self._ledger = ledger
        self._follower = follower
        self._metrics = metrics
        self._max_record_bytes = max_record_bytes
        self._view = view
        self._customer_check = customer_check
        self._budget = budget

    async def submit(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        route: fleet.FleetRoute,
        body: bytes,
        caller: _customer_check.AdmittedCaller,
    ) -> None:
        """Accepts a job, or sends the reason why not.

        The key is checked again: the body may have taken long to arrive.
        """
        began_at_s = trio.current_time()
        refusal = self._customer_check.recheck(caller)
        if refusal is not None:
            await self._refuse(exchange, request, 'submit', refusal)
            return
        if self._budget.pressure > MAX_SUBMIT_PRESSURE:
            await self._send_failure(
                exchange, request, 'submit', _NO_MEMORY, caller.name
            )
            return
        job = self._wire.decode_job(
            request.request_id,
            route,
            body,
            int(time.time() * 1000),
            self._customer_check.get_upstream_customer(caller),
        )
        if isinstance(job, results.Failure):
            await self._send_failure(
                exchange, request, 'submit', job, caller.name
            )
            return
        outcome = await self._accept_job(job, request, route, began_at_s)
        if isinstance(outcome, results.Failure):
            await self._send_failure(
                exchange, request, 'submit', outcome, caller.name
            )
            return
        await exchange.send_json(202, {'job_id': job.job_id})
        self._record_response(
            'submit', 202, request, job, began_at_s, len(job.items)
        )

    async def _accept_job(
        self,
        job: jobs.Job,
        request: _wire.CallerRequest,
        route: fleet.FleetRoute,
        began_at_s: float,
    ) -> results.Failure | None:
        """Writes a job to the log; returns None once it is there."""
        known = self._table.jobs.get(job.job_id)
        if known is not None:
            return jobs.find_id_conflict(known, job.customer)
        time_ms: float = SUBMIT_TIMEOUT_MS
        if request.deadline_ms is not None:
            time_ms = min(time_ms, request.deadline_ms * SUBMIT_DEADLINE_SHARE)
        operation = jobs.AcceptJob(
            job,
            route.max_waiting_tokens,
            self._max_record_bytes,
            began_at_s + time_ms / 1000,
        )
        outcome = await self._ledger.write(operation)
        if outcome is jobs.WriteOutcome.OVER_QUOTA:
            return results.Failure(
                results.ResultCode.BACKLOG_FULL,
                'waiting tokens of the route would exceed its limit',
                retry_after_ms=1000,
            )
        return outcome if isinstance(outcome, results.Failure) else None

    async def handle_call(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: _wire.JobCall,
        caller: (
            _customer_check.AdmittedCaller | _customer_check.CustomerRefusal
        ),
    ) -> None:
        """Handles a call on a submitted job.

        Args:
            exchange: The caller's connection.
            request: Values read from the headers.
            call: The call.
            caller: Whose call it is, or why that is not known; it is then
                answered only if the job needs no key.
        """
        began_at_s = trio.current_time()
        refusal: _customer_check.CustomerRefusal | None = None
        if isinstance(caller, _customer_check.CustomerRefusal):
            refusal = caller
        job = self._table.jobs.get(call.job_id)
        if job is None:
            failure = await self._follower.sync()
            if failure is not None:
                await self._send_failure(
                    exchange, request, call.kind.value, failure, caller.name
                )
                return
            job = self._table.jobs.get(call.job_id)
        if refusal is not None and (job is None or job.customer):
            await self._refuse(exchange, request, call.kind.value, refusal)
            return
        if job is None or not self._may_use(job, caller.name):
            await self._send_failure(
                exchange, request, call.kind.value, _NO_SUCH_JOB, caller.name
            )
            return
        if call.kind is _wire.JobCallKind.READ_RESULTS:
            await self._read_results(exchange, request, call, job)
        elif call.kind is _wire.JobCallKind.READ_ITEM:
            await self._read_item(exchange, request, call, job)
        else:
            await self._end_job(exchange, request, job, began_at_s)

    @property
    def is_log_loaded(self) -> bool:
        """Whether all jobs of the log are known, but for the newest."""
        return self._follower.is_loaded

    def may_need_no_key(self, call: _wire.JobCall) -> bool:
        """Returns whether a call without a valid key may have to be answered.

        A job that is not known here may be on a public route; the log is read
        for such callers only where there is one.
        """
        job = self._table.jobs.get(call.job_id)
        if job is not None:
            return not job.customer
        document = self._view.document
        return document is not None and document.has_public_batch_route()

    def _may_use(self, job: jobs.Job, customer: str) -> bool:
        """Returns whether a job exists for a customer."""
        if not self._customer_check.has_customers():
            return True
        return job.customer in ('', customer)

    async def _read_results(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: _wire.JobCall,
        job: jobs.Job,
    ) -> None:
        """Sends the results from a position on, after a wait for the first."""
        began_at_s = trio.current_time()
        wait_ms = min(MAX_READ_WAIT_MS, request.wait_ms)
        with trio.move_on_after(wait_ms / 1000):
            while call.after >= len(job.results):
                if call.after >= len(job.items):
                    break
                await self._table.wait_changed()
        if call.after >= len(job.results) and call.after < len(job.items):
            fresh_since_s = trio.current_time() - MAX_STALENESS_S
            if self._follower.confirmed_at_s < fresh_since_s:
                failure = await self._follower.sync()
                if failure is not None:
                    await self._send_failure(
                        exchange,
                        request,
                        call.kind.value,
                        failure,
                        job.customer,
                    )
                    return
        job = self._table.jobs.get(job.job_id, job)
        await exchange.send_whole(
            200,
            [(b'content-type', b'application/json')],
            self._wire.encode_results(job, call.after),
        )
        self._record_response(
            call.kind.value,
            200,
            request,
            job,
            began_at_s,
            len(job.results) - call.after,
        )

    async def _read_item(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: _wire.JobCall,
        job: jobs.Job,
    ) -> None:
        """Sends the body of an item that has no result yet."""
        began_at_s = trio.current_time()
        item = job.open_items.get(call.item_id)
        if item is None or job.is_ended:
            await self._send_failure(
                exchange, request, call.kind.value, _NO_SUCH_ITEM, job.customer
            )
            return
        await exchange.send_whole(
            200, [(b'content-type', b'application/octet-stream')], item.body
        )
        self._record_response(call.kind.value, 200, request, job, began_at_s, 1)

    async def _end_job(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        job: jobs.Job,
        began_at_s: float,
    ) -> None:
        """Ends a job; does nothing if it has ended already."""
        outcome: jobs.WriteOutcome | results.Failure = jobs.WriteOutcome.DONE
        if not job.is_ended:
            outcome = await self._ledger.write(
                jobs.EndJob(job.job_id, began_at_s + END_TIMEOUT_MS / 1000)
            )
        if isinstance(outcome, results.Failure):
            await self._send_failure(
                exchange, request, 'end', outcome, job.customer
            )
            return
        if outcome is jobs.WriteOutcome.NO_SUCH_JOB:
            await self._send_failure(
                exchange, request, 'end', _NO_SUCH_JOB, job.customer
            )
            return
        await exchange.send_json(200, {'job_id': job.job_id})
        self._record_response('end', 200, request, job, began_at_s, 0)

    async def _refuse(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: str,
        refusal: _customer_check.CustomerRefusal,
    ) -> None:
        """Refuses a call because of its key."""
        self._customer_check.record_refusal(
            refusal, request.request_id, exchange.head.target
        )
        status = await _failure_responses.send_failure(
            exchange, self._wire, refusal.failure, request.request_id
        )
        self._metrics.responses.increment(f'job_{call}', str(status))

    async def _send_failure(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: str,
        failure: results.Failure,
        customer: str,
    ) -> None:
        status = await _failure_responses.send_failure(
            exchange, self._wire, failure, request.request_id
        )
        self._metrics.responses.increment(f'job_{call}', str(status))
        _LOGGER.info(
            'job_call_failed',
            extra={
                'request_id': request.request_id,
                'customer': customer,
                'call': call,
                'target': exchange.head.target,
                'status': status,
                'code': int(failure.code),
                'reason': failure.reason,
                'run_state': failure.run_state.value,
                'log_offset': self._follower.next_offset,
                'log_age_ms': self._get_log_age_ms(),
            },
        )

    def _record_response(
        self,
        call: str,
        status: int,
        request: _wire.CallerRequest,
        job: jobs.Job,
        began_at_s: float,
        count: int,
    ) -> None:
        took_ms = (trio.current_time() - began_at_s) * 1000
        self._metrics.responses.increment(f'job_{call}', str(status))
        self._metrics.histograms.record('jobs', call, took_ms)
        _LOGGER.info(
            'job_call_answered',
            extra={
                'request_id': request.request_id,
                'call': call,
                'job': job.job_id,
                'customer': job.customer,
                'status': status,
                'count': count,
                'took_ms': int(took_ms),
                'log_offset': self._follower.next_offset,
                'log_age_ms': self._get_log_age_ms(),
            },
        )

    def _get_log_age_ms(self) -> int | None:
        """Returns the age of the log's view; None if it was never complete."""
        confirmed_at_s = self._follower.confirmed_at_s
        if confirmed_at_s == float('-inf'):
            return None
        return int((trio.current_time() - confirmed_at_s) * 1000)


_NO_MEMORY = results.Failure(
    results.ResultCode.OVERLOADED,
    'the memory for clients is nearly used up',
    retry_after_ms=PRESSURE_RETRY_MS,
)
_NO_SUCH_JOB = results.Failure(results.ResultCode.NO_SUCH_JOB, 'no such job')
_NO_SUCH_ITEM = results.Failure(
    results.ResultCode.NO_SUCH_JOB, 'the job has no such open item'
)


def create_jobs_api(
    *,
    wire: _wire.Wire,
    table: jobs.JobTable,
    ledger: jobs.JobLedger,
    follower: keyed_log.LogFollower,
    metrics: _gateway_metrics.GatewayMetrics,
    max_record_bytes: int,
    view: fleet.FleetView,
    customer_check: _customer_check.CustomerCheck,
    budget: transport.ByteBudget,
) -> JobsApi:
    """Creates the handler of submissions and calls on jobs."""
    return JobsApi(
        wire=wire,
        table=table,
        ledger=ledger,
        follower=follower,
        metrics=metrics,
        max_record_bytes=max_record_bytes,
        view=view,
        customer_check=customer_check,
        budget=budget,
    )
