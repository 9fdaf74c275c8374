"""Runs a batch item at one upstream."""

import enum
import functools

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _departure_reader
from siskinmount.gateway import _event_stream
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _listed_processes
from siskinmount.gateway import _rate_limit_reader
from siskinmount.gateway import _unframed_end
from siskinmount.gateway import _upstream_clients
from siskinmount.gateway import _wire

#: Longest time to wait for the response, and for each chunk of it.
SILENCE_TIMEOUT_S = 3.0
#: Largest output of one item; members that hand output over accept as much.
MAX_OUTPUT_BYTES = 4 * 1024 * 1024
#: Name under which times to the first event of items are kept; the names of
#: routes are of callers' requests.
_ITEMS_ROUTE = 'batch items'
#: Failures to send a request that are no failures of the upstream.
_NO_UPSTREAM_FAULTS = (
    results.ResultCode.MALFORMED_REQUEST,
    results.ResultCode.STALE_INCARNATION,
)


class RunOutcome(enum.Enum):
    """How a run of an item ended."""

    #: The output is complete.
    DONE = 'done'

    #: The upstream rejected the item for good (status 422).
    UNPROCESSABLE = 'impossible'

    #: The upstream reported a failed run (status 500).
    FAILED = 'failed'

    #: The upstream did not start the run.
    NOT_RUN = 'not_run'

    #: The upstream or the connection to it failed during the run.
    LOST = 'lost'

    #: The upstream answered with an error other than those above.
    ERROR_STATUS = 'error_status'

    #: The run was preempted by callers, or its output is not needed any more.
    CANCELLED = 'cut'


class ItemClient:
    """Sends items to upstreams and collects the events of their output."""

    __slots__ = (
        '_clients',
        '_processes',
        '_health',
        '_paces',
        '_departures',
        '_rate_limits',
        '_wire',
        '_metrics',
        '_end_check',
        '_view',
    )

    def __init__(
        self,
        clients: _upstream_clients.UpstreamClients,
        processes: _listed_processes.ListedProcesses,
        health: placement.UpstreamHealth,
        paces: placement.UpstreamPaces,
        departures: _departure_reader.DepartureReader,
        rate_limits: _rate_limit_reader.RateLimitReader,
        wire: _wire.Wire,
        metrics: _gateway_metrics.GatewayMetrics,
        end_check: _unframed_end.UnframedEndCheck,
        view: fleet.FleetView,
    ) -> None:
        self._clients = clients
        self._processes = processes
        self._health = health
        self._paces = paces
        self._departures = departures
        self._rate_limits = rate_limits
        self._wire = wire
        self._metrics = metrics
        self._end_check = end_check
        self._view = view

    async def run(
        self,
        next_item: jobs.NextItem,
        progress: jobs.ItemProgress,
        upstream: fleet.Upstream,
    ) -> tuple[RunOutcome, str]:
        """Sends an item and adds its events to `progress`.

        Returns:
            The outcome, and its reason for the log.
        """
        item = next_item.item
        request = transport.ClientRequest(
            'POST',
            item.path,
            self._wire.build_item_headers(
                item,
                upstream.upstream_id,
                progress.last_event_id,
                self._get_upstream_customer(next_item.job),
            ),
            item.body,
            next_item.job.host.encode('latin-1'),
        )
        opened_before_s: float | None = None
        if progress.events:
            opened_before_s = self._processes.find_connection_bound(upstream)
        client = self._clients.get_client(upstream)
        response: transport.ClientExchange | results.Failure | None = None
        sent_at_s = trio.current_time()
        with trio.move_on_after(SILENCE_TIMEOUT_S):
            response = await client.send(
                request, opened_before_s, progress.connections
            )
        if response is None:
            return RunOutcome.LOST, 'no response within the timeout'
        if isinstance(response, results.Failure):
            if response.code in _NO_UPSTREAM_FAULTS:
                return RunOutcome.NOT_RUN, response.reason
            if response.run_state is results.RunState.NOT_RUN:
                self._health.mark_down(upstream.upstream_id, response.reason)
                return RunOutcome.NOT_RUN, response.reason
            return RunOutcome.LOST, response.reason
        with response:
            self._departures.read(upstream, response, item.item_id)
            self._rate_limits.read(upstream, response, item.item_id, sent_at_s)
            kind = self._wire.classify_answer(
                response.status, response.headers, item.item_id
            )
            if kind is _wire.AnswerKind.FOREIGN:
                return RunOutcome.LOST, 'response belongs to another request'
            if kind is not _wire.AnswerKind.OWN:
                self._paces.record_bad_answer(upstream)
                await response.discard_body()
                return RunOutcome.NOT_RUN, kind.value
            if response.status != 200:
                await response.discard_body()
                return _classify_status(response.status)
            return await self._collect_events(
                response, progress, item.item_id, upstream, sent_at_s
            )

    def _get_upstream_customer(self, job: jobs.Job) -> str | None:
        """Returns the `customer` for `Wire.build_item_headers`."""
        document = self._view.document
        if job.customer or (
            document is not None and document.customers is not None
        ):
            return job.customer
        return None

    async def _collect_events(
        self,
        response: transport.ClientExchange,
        progress: jobs.ItemProgress,
        item_id: str,
        upstream: fleet.Upstream,
        sent_at_s: float,
    ) -> tuple[RunOutcome, str]:
        """Adds the events of a stream to `progress` until the stream ends.

        The events of a stream that exceeds the bound are dropped again.
        """
        earlier_event_id = progress.last_event_id
        earlier_count = len(progress.events)
        stream = _event_stream.create_event_stream(
            response,
            self._metrics,
            request_id=item_id,
            upstream_id=upstream.upstream_id,
            last_event_id=progress.last_event_id,
            empty_end_id=progress.empty_end_id,
            check_unframed_end=functools.partial(
                self._end_check.is_complete,
                response,
                upstream,
                item_id,
                settle_s=_unframed_end.BATCH_SETTLE_S,
            ),
        )
        outcome = RunOutcome.LOST, _event_stream.create_timeout_failure().reason
        with trio.CancelScope() as scope:
            outcome = await self._add_events(
                stream, response, progress, upstream, sent_at_s, scope
            )
        progress.empty_end_id = stream.empty_end_id
        if scope.cancelled_caught or outcome[0] is RunOutcome.DONE:
            return outcome
        if response.received_body_bytes > MAX_OUTPUT_BYTES:
            del progress.events[earlier_count:]
            progress.last_event_id = earlier_event_id
        return outcome

    async def _add_events(
        self,
        stream: _event_stream.EventStream,
        response: transport.ClientExchange,
        progress: jobs.ItemProgress,
        upstream: fleet.Upstream,
        sent_at_s: float,
        scope: trio.CancelScope,
    ) -> tuple[RunOutcome, str]:
        """Adds events to `progress`; the scope's deadline is the next event's."""
        software = upstream.software
        is_begun = False
        while True:
            stream.begin_wait()
            scope.deadline = stream.waiting_since_s + SILENCE_TIMEOUT_S
            events = await stream.receive()
            if isinstance(events, results.Failure):
                return RunOutcome.LOST, events.reason
            if not events:
                return RunOutcome.DONE, 'complete'
            if not is_begun:
                is_begun = True
                self._paces.record_answer(
                    upstream,
                    _ITEMS_ROUTE,
                    (trio.current_time() - sent_at_s) * 1000,
                    None,
                )
            if response.received_body_bytes > MAX_OUTPUT_BYTES:
                return RunOutcome.LOST, 'the output is too large'
            progress.lost_runs = 0
            progress.service = software.service
            progress.software_version = software.version
            progress.last_event_id = stream.last_event_id
            for event in events:
                for line in event.read_data():
                    progress.events.append(line.decode('utf-8', 'replace'))


def _classify_status(status: int) -> tuple[RunOutcome, str]:
    """Returns the outcome of a run whose response status is not 200."""
    reason = f'status {status}'
    if status == 422:
        return RunOutcome.UNPROCESSABLE, reason
    if status == 500:
        return RunOutcome.FAILED, reason
    return RunOutcome.ERROR_STATUS, reason


def create_item_client(
    clients: _upstream_clients.UpstreamClients,
    processes: _listed_processes.ListedProcesses,
    health: placement.UpstreamHealth,
    paces: placement.UpstreamPaces,
    departures: _departure_reader.DepartureReader,
    rate_limits: _rate_limit_reader.RateLimitReader,
    wire: _wire.Wire,
    metrics: _gateway_metrics.GatewayMetrics,
    end_check: _unframed_end.UnframedEndCheck,
    view: fleet.FleetView,
) -> ItemClient:
    """Creates a client that uses the upstreams' connection pools."""
    return ItemClient(
        clients,
        processes,
        health,
        paces,
        departures,
        rate_limits,
        wire,
        metrics,
        end_check,
        view,
    )
