"""Takes batch jobs of callers, and lets them read and end them."""

import logging
import time

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _failure_answers
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: Longest time that a submission waits for the store, and the part of the
#: caller's own time that it may take: it must still be able to go elsewhere.
MAX_SUBMIT_MS = 2500
SUBMIT_SHARE = 0.6
#: Longest time for the end of a job, within which an end counts as accepted.
MAX_END_MS = 2500
#: Longest wait of a read for its first result.
MAX_READ_WAIT_MS = 1000
#: A view of the log at least this fresh may say that there is nothing new: a
#: quarter of the time after which other daemons must know.
FRESH_S = 0.25


class JobsApi:
    """Handles calls on jobs."""

    __slots__ = (
        '_wire',
        '_table',
        '_ledger',
        '_follower',
        '_metrics',
        '_max_record_bytes',
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
    ) -> None:
        self._wire = wire
        self._table = table
        self._ledger = ledger
        self._follower = follower
        self._metrics = metrics
        self._max_record_bytes = max_record_bytes

    async def submit(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        route: fleet.FleetRoute,
        body: bytes,
    ) -> None:
        """Accepts a job, or says why not."""
        began_at_s = trio.current_time()
        job = self._wire.decode_job(
            request.request_id, route, body, int(time.time() * 1000)
        )
        if isinstance(job, results.Failure):
            await self._fail(exchange, request, 'submit', job)
            return
        outcome = await self._accept(job, request, route, began_at_s)
        if isinstance(outcome, results.Failure):
            await self._fail(exchange, request, 'submit', outcome)
            return
        await exchange.send_json(202, {'job_id': job.job_id})
        self._note(
            'submit', 202, request, job.job_id, began_at_s, len(job.items)
        )

    async def _accept(
        self,
        job: jobs.Job,
        request: _wire.CallerRequest,
        route: fleet.FleetRoute,
        began_at_s: float,
    ) -> results.Failure | None:
        """Writes a job into the log."""
        if job.job_id in self._table.jobs:
            return None
        time_ms: float = MAX_SUBMIT_MS
        if request.deadline_ms is not None:
            time_ms = min(time_ms, request.deadline_ms * SUBMIT_SHARE)
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
                'the tokens waiting on the route would pass their bound',
                retry_after_ms=1000,
            )
        return outcome if isinstance(outcome, results.Failure) else None

    async def answer(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: _wire.JobCall,
    ) -> None:
        """Answers a call on a job."""
        began_at_s = trio.current_time()
        job = self._table.jobs.get(call.job_id)
        if job is None:
            failure = await self._follower.sync()
            if failure is not None:
                await self._fail(exchange, request, call.kind.value, failure)
                return
            job = self._table.jobs.get(call.job_id)
        if job is None:
            await self._fail(exchange, request, call.kind.value, _NO_SUCH_JOB)
            return
        if call.kind is _wire.JobCallKind.READ_RESULTS:
            await self._read_results(exchange, request, call, job)
        elif call.kind is _wire.JobCallKind.READ_ITEM:
            await self._read_item(exchange, request, call, job)
        else:
            await self._end(exchange, request, job, began_at_s)

    async def _read_results(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: _wire.JobCall,
        job: jobs.Job,
    ) -> None:
        """Answers with the results from a position on."""
        began_at_s = trio.current_time()
        wait_ms = min(MAX_READ_WAIT_MS, request.wait_ms)
        with trio.move_on_after(wait_ms / 1000):
            while call.after >= len(job.results):
                if call.after >= len(job.items):
                    break
                await self._table.wait_changed()
        if call.after >= len(job.results) and call.after < len(job.items):
            fresh_since_s = trio.current_time() - FRESH_S
            if self._follower.confirmed_at_s < fresh_since_s:
                failure = await self._follower.sync()
                if failure is not None:
                    await self._fail(
                        exchange, request, call.kind.value, failure
                    )
                    return
        job = self._table.jobs.get(job.job_id, job)
        await exchange.send_whole(
            200,
            [(b'content-type', b'application/json')],
            self._wire.encode_results(job, call.after),
        )
        self._note(
            call.kind.value,
            200,
            request,
            job.job_id,
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
        """Answers with the body of an item that is not listed."""
        began_at_s = trio.current_time()
        item = job.open_items.get(call.item_id)
        if item is None or job.is_ended:
            await self._fail(exchange, request, call.kind.value, _NO_SUCH_ITEM)
            return
        await exchange.send_whole(
            200, [(b'content-type', b'application/octet-stream')], item.body
        )
        self._note(call.kind.value, 200, request, job.job_id, began_at_s, 1)

    async def _end(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        job: jobs.Job,
        began_at_s: float,
    ) -> None:
        """Ends a job for its caller."""
        outcome: jobs.WriteOutcome | results.Failure = jobs.WriteOutcome.DONE
        if not job.is_ended:
            outcome = await self._ledger.write(
                jobs.EndJob(job.job_id, began_at_s + MAX_END_MS / 1000)
            )
        if isinstance(outcome, results.Failure):
            await self._fail(exchange, request, 'end', outcome)
            return
        if outcome is jobs.WriteOutcome.NO_SUCH_JOB:
            await self._fail(exchange, request, 'end', _NO_SUCH_JOB)
            return
        await exchange.send_json(200, {'job_id': job.job_id})
        self._note('end', 200, request, job.job_id, began_at_s, 0)

    async def _fail(
        self,
        exchange: transport.ServerExchange,
        request: _wire.CallerRequest,
        call: str,
        failure: results.Failure,
    ) -> None:
        status = await _failure_answers.send_failure(
            exchange, self._wire, failure, request.request_id
        )
        self._metrics.answers.increment(f'job_{call}', str(status))
        _LOGGER.info(
            'job_call_failed',
            extra={
                'request_id': request.request_id,
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

    def _note(
        self,
        call: str,
        status: int,
        request: _wire.CallerRequest,
        job_id: str,
        began_at_s: float,
        count: int,
    ) -> None:
        took_ms = (trio.current_time() - began_at_s) * 1000
        self._metrics.answers.increment(f'job_{call}', str(status))
        self._metrics.histograms.record('jobs', call, took_ms)
        _LOGGER.info(
            'job_call_answered',
            extra={
                'request_id': request.request_id,
                'call': call,
                'job': job_id,
                'status': status,
                'count': count,
                'took_ms': int(took_ms),
                'log_offset': self._follower.next_offset,
                'log_age_ms': self._get_log_age_ms(),
            },
        )

    def _get_log_age_ms(self) -> int | None:
        """Returns how old the view of the log may be; None if never complete."""
        confirmed_at_s = self._follower.confirmed_at_s
        if confirmed_at_s == float('-inf'):
            return None
        return int((trio.current_time() - confirmed_at_s) * 1000)


_NO_SUCH_JOB = results.Failure(
    results.ResultCode.NO_SUCH_JOB, 'the log holds no such job'
)
_NO_SUCH_ITEM = results.Failure(
    results.ResultCode.NO_SUCH_JOB, 'the job has no such item that is open'
)


def create_jobs_api(
    *,
    wire: _wire.Wire,
    table: jobs.JobTable,
    ledger: jobs.JobLedger,
    follower: keyed_log.LogFollower,
    metrics: _gateway_metrics.GatewayMetrics,
    max_record_bytes: int,
) -> JobsApi:
    """Creates the handler for calls on jobs."""
    return JobsApi(
        wire=wire,
        table=table,
        ledger=ledger,
        follower=follower,
        metrics=metrics,
        max_record_bytes=max_record_bytes,
    )
