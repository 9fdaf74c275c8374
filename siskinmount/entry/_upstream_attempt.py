"""One attempt to run a request at one upstream."""

import trio

from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _response_progress
from siskinmount.entry import _run_request
from siskinmount.entry import _upstream_access

MAX_REATTACHES = 2
REATTACH_DELAY_S = 0.05
MAX_ERROR_BYTES = 64 * 1024

_CONNECTION_LOST_CODES = (
    results.ResultCode.UPSTREAM_SILENT,
    results.ResultCode.UPSTREAM_LOST,
)


class UpstreamAttempt:
    """Communicates with the sidecar of the chosen upstream.

    Attributes:
        member: The sidecar.
        number: Number of the attempt, from 1.
        solo: Whether the request must run alone on the upstream.
        may_have_arrived: Whether any byte may have reached the upstream.
        failure_frame: The failure that the sidecar sent instead of the rest
            of the response, or None. Failures of the connection to the
            sidecar are not included.
    """

    __slots__ = (
        'member',
        'number',
        'solo',
        'may_have_arrived',
        'failure_frame',
        '_access',
        '_request',
        '_progress',
        '_exchange',
        '_reader',
        '_reattaches',
    )

    def __init__(
        self,
        access: _upstream_access.UpstreamAccess,
        request: _run_request.RunRequest,
        progress: _response_progress.ResponseProgress,
        member: membership.Member,
        number: int,
        solo: bool,
    ) -> None:
        self.member = member
        self.number = number
        self.solo = solo
        self.may_have_arrived = False
        self.failure_frame: relay.FailureFrame | None = None
        self._access = access
        self._request = request
        self._progress = progress
        self._exchange: transport.ClientExchange | None = None
        self._reader = relay.FrameReader()
        self._reattaches = 0

    @property
    def is_open(self) -> bool:
        """Whether frames can be received."""
        return self._exchange is not None

    async def start(self) -> results.Failure | None:
        """Starts the request, or attaches if the sidecar already runs it."""
        return await self._send(attach_only=False)

    async def attach(self) -> results.Failure | None:
        """Attaches to an existing run; fails if there is none."""
        return await self._send(attach_only=True)

    async def receive(self) -> list[relay.Frame] | results.Failure:
        """Reads from the connection once and returns the new frames."""
        if self.failure_frame is not None:
            return self.failure_frame.failure
        if self._exchange is None:
            raise RuntimeError('no exchange is open')
        chunk = await self._exchange.receive_chunk()
        if isinstance(chunk, results.Failure):
            return chunk
        if not chunk:
            return results.Failure(
                results.ResultCode.UPSTREAM_SILENT,
                'the stream ended before the response was complete',
                results.RunState.UNKNOWN,
            )
        frames = self._reader.feed(chunk)
        if isinstance(frames, results.Failure):
            return frames
        return self._accept_frames(frames)

    async def reattach(self, failure: results.Failure) -> bool:
        """Tries to attach to the same run over a new connection.

        A connection can fall silent while the process behind it still works.
        """
        self.close()
        unknown = failure.run_state is results.RunState.UNKNOWN
        if failure.code not in _CONNECTION_LOST_CODES or not unknown:
            return False
        while self._reattaches < MAX_REATTACHES:
            self._reattaches += 1
            next_failure = await self.attach()
            if next_failure is None:
                return True
            if next_failure.code is results.ResultCode.NO_SUCH_REQUEST:
                return False
            await trio.sleep(REATTACH_DELAY_S)
        return False

    async def withdraw(self, failure: results.Failure) -> bool:
        """Ensures that a request that may still be in transit never runs.

        This is needed only for requests that must not run twice.

        Returns:
            Whether the sidecar has not received the request and will refuse
            it from now on.
        """
        unknown = failure.run_state is results.RunState.UNKNOWN
        if self._request.idempotent or not unknown:
            return False
        exchange = await self._send_cancel()
        if isinstance(exchange, results.Failure):
            return False
        incarnation = exchange.find_header(relay.RelayHeader.INCARNATION)
        if exchange.status == 200:
            exchange.close()
            return False
        refusal = await _read_refusal(exchange)
        if refusal.failure.code is not results.ResultCode.NO_SUCH_REQUEST:
            return False
        # A restarted sidecar may have lost its record of the request, so its
        # refusal does not prove that the request never ran.
        if incarnation != str(self.member.incarnation):
            return False
        self.may_have_arrived = False
        return True

    async def cancel(self) -> None:
        """Asks the sidecar to cancel the request or to refuse it on arrival."""
        exchange = await self._send_cancel()
        if isinstance(exchange, transport.ClientExchange):
            exchange.close()

    def close(self) -> None:
        """Closes the connection; the sidecar ends the run after a time-out."""
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None

    async def _send(self, attach_only: bool) -> results.Failure | None:
        """Sends the run to the sidecar."""
        exchange = await self._access.find_client(self.member).send(
            transport.ClientRequest(
                'POST',
                f'/run/{self._request.service.name}',
                self._create_headers(attach_only),
                self._request.encode_body(
                    self._progress.token_texts,
                    self._progress.software_version,
                ),
            )
        )
        if isinstance(exchange, results.Failure):
            if exchange.run_state is not results.RunState.NOT_RUN:
                self.may_have_arrived = True
            return exchange
        self._access.record_load(self.member, exchange)
        if exchange.status != 200:
            refusal = await _read_refusal(exchange)
            self._access.record_crash(
                self._request.fingerprint, self.member, refusal
            )
            return refusal.failure
        self.may_have_arrived = True
        self._exchange = exchange
        self._reader = relay.FrameReader()
        self._progress.begin_stream()
        return None

    async def _send_cancel(
        self,
    ) -> transport.ClientExchange | results.Failure:
        """Sends the cancellation to the sidecar."""
        return await self._access.find_client(self.member).send(
            transport.ClientRequest(
                'POST', f'/cancel/{self._request.request_id}'
            )
        )

    def _create_headers(self, attach_only: bool) -> transport.Headers:
        """Returns the headers of the request to `/run`."""
        request = self._request
        names = relay.RelayHeader
        remaining_ms = max(
            1, int((request.deadline_s - trio.current_time()) * 1000)
        )
        next_token = len(self._progress.token_texts)
        headers = [
            (names.REQUEST_ID, request.request_id.encode('ascii')),
            (names.ATTEMPT, b'%d' % self.number),
            (names.DEADLINE_MS, b'%d' % remaining_ms),
            (names.CLASS, request.request_class.value.encode('ascii')),
            (names.FINGERPRINT, request.fingerprint.encode('ascii')),
            (names.FROM_TOKEN, b'%d' % next_token),
            (names.CALLER, request.caller.encode('utf-8')),
        ]
        if self.solo:
            headers.append((names.SOLO, b'1'))
        if attach_only:
            headers.append((names.ATTACH_ONLY, b'1'))
        return headers

    def _accept_frames(
        self, frames: list[relay.Frame]
    ) -> list[relay.Frame] | results.Failure:
        """Returns the frames that are new to the caller."""
        kept: list[relay.Frame] = []
        for frame in frames:
            if isinstance(frame, relay.FailureFrame):
                self.failure_frame = frame
                # Tokens received before the failure are returned first.
                return kept if kept else frame.failure
            accepted = self._progress.accept(frame)
            if isinstance(accepted, results.Failure):
                return accepted
            if accepted is not None:
                kept.append(accepted)
        return kept


async def _read_refusal(
    exchange: transport.ClientExchange,
) -> relay.FailureFrame:
    """Reads the error response of a sidecar."""
    with exchange:
        body = await exchange.read_body(MAX_ERROR_BYTES)
    if isinstance(body, results.Failure):
        return relay.FailureFrame(body)
    return _upstream_access.parse_error_body(body)
