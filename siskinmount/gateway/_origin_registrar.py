"""Registers which software starts a stream, before its first event is sent."""

from collections.abc import Iterator
import contextlib
import logging

import trio

from siskinmount import fleet
from siskinmount import stream_origins
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _online_request

_LOGGER = logging.getLogger(__name__)

#: Longest wait of the first event for its record, where the request may run
#: elsewhere, and where it may not. Latency objectives are 300 ms and more, and a
#: calm store answers while the prompt is read.
RECORD_WAIT_S = 0.15
LAST_RECORD_WAIT_S = 0.5


class StreamStart:
    """A run whose events may be the first of a stream.

    Attributes:
        origin: The stream and the software of the run.
        record: Its record; None if it needs none.
        is_uncertain: Whether the upstream has turned out to run something else.
    """

    __slots__ = ('origin', 'record', 'is_uncertain')

    def __init__(
        self,
        origin: stream_origins.StreamOrigin,
        record: stream_origins.PendingRecord | None,
    ) -> None:
        self.origin = origin
        self.record = record
        self.is_uncertain = False


class _Run:
    """A run in progress of a stream that may be resumed.

    Attributes:
        request: The caller's request.
        start: The start that the run may be; None if it goes on with a stream.
    """

    __slots__ = ('request', 'start')

    def __init__(
        self,
        request: _online_request.OnlineRequest,
        start: StreamStart | None,
    ) -> None:
        self.request = request
        self.start = start


class OriginRegistrar:
    """Notes and records the streams that start at this member."""

    __slots__ = (
        '_table',
        '_versions',
        '_recorder',
        '_view',
        '_metrics',
        '_runs',
    )

    def __init__(
        self,
        table: stream_origins.OriginTable,
        versions: stream_origins.VersionTable,
        recorder: stream_origins.OriginRecorder,
        view: fleet.FleetView,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._table = table
        self._versions = versions
        self._recorder = recorder
        self._view = view
        self._metrics = metrics
        # Runs in progress by upstream, with what it is taken to run.
        self._runs: dict[str, dict[_Run, fleet.Software]] = {}
        view.add_listener(self._detect_other_software)

    @contextlib.contextmanager
    def follow_run(
        self,
        request: _online_request.OnlineRequest,
        start: StreamStart | None,
        upstream: fleet.Upstream,
    ) -> Iterator[None]:
        """Watches, during a run, for what its upstream turns out to run."""
        if not request.is_resumable_stream:
            yield
            return
        run = _Run(request, start)
        runs = self._runs.setdefault(upstream.upstream_id, {})
        runs[run] = upstream.software
        try:
            yield
        finally:
            runs.pop(run, None)
            if not runs and self._runs.get(upstream.upstream_id) is runs:
                del self._runs[upstream.upstream_id]

    def _detect_other_software(self) -> None:
        """Handles runs at upstreams that have started again as another version.

        A run that goes on may have started at either process, so nothing may go
        on with its stream.
        """
        for upstream_id, runs in self._runs.items():
            upstream = self._view.upstreams.get(upstream_id)
            if upstream is None:
                continue
            for run, software in list(runs.items()):
                if upstream.software == software:
                    continue
                del runs[run]
                self._drop_origin(run, upstream_id)

    def _drop_origin(self, run: _Run, upstream_id: str) -> None:
        """Makes a stream one that cannot be resumed, here and elsewhere."""
        request = run.request
        if run.start is not None:
            run.start.is_uncertain = True
        _LOGGER.info(
            'stream_origin_uncertain',
            extra={
                'request_id': request.request_id,
                'upstream': upstream_id,
                'software': str(request.software or ''),
            },
        )
        if request.software is None:
            return
        unknown = stream_origins.StreamOrigin(
            request.make_stream_key(
                request.caller_request.resumed_request_id or request.request_id
            ),
            fleet.Software(request.software.service, f'?{upstream_id}'),
            request.record_count + 1,
        )
        request.record_count += 1
        request.software = unknown.software
        self._table.add_own(unknown)
        self._recorder.submit(unknown)

    def start(
        self, request: _online_request.OnlineRequest, software: fleet.Software
    ) -> StreamStart:
        """Has a run recorded if need be; called before the run is sent."""
        origin = stream_origins.StreamOrigin(
            request.make_stream_key(request.request_id),
            software,
            request.record_count,
        )
        # Without a record, it could be taken for another run of the request.
        has_other_run = bool(
            request.record_count
            or self._table.list_of_request(origin.key) - {software}
        )
        if (
            not has_other_run
            and len(request.route.shares) == 1
            and not self._versions.needs_record(software)
        ):
            return StreamStart(origin, None)
        request.record_count += 1
        return StreamStart(origin, self._recorder.submit(origin))

    async def confirm(
        self, request: _online_request.OnlineRequest, start: StreamStart
    ) -> bool:
        """Returns whether the events of a run may be sent to the caller.

        They may not if the run could be taken for one of the assumed version
        after the loss of this member. Where that version serves nothing, no
        stream can be continued there by mistake.
        """
        outcome = 'not_needed'
        waiting_since_s = trio.current_time()
        if start.record is not None:
            outcome = 'recorded'
            wait_s = LAST_RECORD_WAIT_S
            if request.may_retry_after_current():
                wait_s = RECORD_WAIT_S
            with trio.move_on_after(wait_s):
                await start.record.recorded.wait()
            if not start.record.recorded.is_set():
                # The recorder goes on trying for a while.
                outcome = 'unrecorded'
                if self.serves_assumed(start.origin.software.service):
                    outcome = 'given_up'
                    if self._recorder.withdraw(start.record):
                        request.record_count -= 1
        self._metrics.streams_started.increment(outcome)
        if start.record is not None:
            _LOGGER.info(
                'stream_started',
                extra={
                    'request_id': request.request_id,
                    'software': str(start.origin.software),
                    'ordinal': start.origin.ordinal,
                    'held_ms': int(
                        (trio.current_time() - waiting_since_s) * 1000
                    ),
                    'outcome': outcome,
                },
            )
        if outcome == 'given_up' or start.is_uncertain:
            return False
        self.note(request, start.origin)
        return True

    def note(
        self,
        request: _online_request.OnlineRequest,
        origin: stream_origins.StreamOrigin,
    ) -> None:
        """Binds a request to the software whose events its caller gets."""
        request.software = origin.software
        self._table.add_own(origin)

    def choose_software(
        self, service: str, must_need_no_record: bool
    ) -> fleet.Software | None:
        """Returns what a new stream keeps to; None for any software.

        While nothing can be recorded, that is the version that needs no record,
        if it serves.
        """
        if self._recorder.is_available() and not must_need_no_record:
            return None
        if not self.serves_assumed(service):
            return None
        return self._versions.get_assumed(service)

    def serves_assumed(self, service: str) -> bool:
        """Returns whether an upstream of the assumed version takes requests."""
        assumed = self._versions.get_assumed(service)
        if assumed is None:
            return False
        for upstream in self._view.list_ready(service):
            if upstream.software == assumed:
                return True
        return False


def create_origin_registrar(
    table: stream_origins.OriginTable,
    versions: stream_origins.VersionTable,
    recorder: stream_origins.OriginRecorder,
    view: fleet.FleetView,
    metrics: _gateway_metrics.GatewayMetrics,
) -> OriginRegistrar:
    """Creates a registrar.

    Args:
        table: Remembers the streams that start here.
        versions: Says which streams need a record.
        recorder: Writes records.
        view: Upstreams that take requests.
        metrics: Counts started streams by what became of their record.
    """
    return OriginRegistrar(table, versions, recorder, view, metrics)
