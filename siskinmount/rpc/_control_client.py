"""An asynchronous client for the control calls of one daemon."""

from collections.abc import Callable
from typing import TypeVar

import grpc
import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.rpc import _deadlines
from siskinmount.rpc import _failure_metadata
from siskinmount.rpc import control_pb2
from siskinmount.rpc import control_pb2_grpc

MIN_RECONNECT_BACKOFF_MS = 100
MAX_RECONNECT_BACKOFF_MS = 1000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

# Without a local pool, a new channel would share the connection of the channel
# that it replaces, which may be dead.
_CHANNEL_OPTIONS = (
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.min_reconnect_backoff_ms', MIN_RECONNECT_BACKOFF_MS),
    ('grpc.initial_reconnect_backoff_ms', MIN_RECONNECT_BACKOFF_MS),
    ('grpc.max_reconnect_backoff_ms', MAX_RECONNECT_BACKOFF_MS),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
)

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')


class ControlClient:
    """Calls one daemon over a connection that is opened on first use.

    A call that exceeds its deadline closes the connection, so that the next
    call opens a new one instead of waiting on a dead one.

    Attributes:
        address: The daemon's control address.
    """

    __slots__ = ('address', '_deadlines', '_channel', '_stub')

    def __init__(
        self,
        address: transport.Address,
        deadlines: _deadlines.ControlDeadlines,
    ) -> None:
        self.address = address
        self._deadlines = deadlines
        self._channel: grpc.Channel | None = None
        self._stub: control_pb2_grpc.ControlStub | None = None

    async def heartbeat(
        self, request: control_pb2.HeartbeatRequest
    ) -> control_pb2.HeartbeatReply | results.Failure:
        """Sends a heartbeat to the daemon."""
        return await self._call(
            self._connect().Heartbeat,
            request,
            self._deadlines.heartbeat_timeout_ms,
        )

    async def get_configuration(
        self, request: control_pb2.ConfigurationRequest
    ) -> control_pb2.ConfigurationReply | results.Failure:
        """Returns the configuration that the daemon currently uses."""
        return await self._call(
            self._connect().GetConfiguration,
            request,
            self._deadlines.configuration_timeout_ms,
        )

    async def get_status(self) -> control_pb2.StatusReply | results.Failure:
        """Returns the status of the daemon and its known members."""
        return await self._call(
            self._connect().GetStatus,
            control_pb2.StatusRequest(),
            self._deadlines.report_timeout_ms,
        )

    async def get_histograms(
        self,
    ) -> control_pb2.HistogramsReply | results.Failure:
        """Returns the daemon's histograms."""
        return await self._call(
            self._connect().GetHistograms,
            control_pb2.HistogramsRequest(),
            self._deadlines.report_timeout_ms,
        )

    def close(self) -> None:
        """Closes the connection; calls in progress fail."""
        if self._channel is None:
            return
        self._channel.close()
        self._channel = None
        self._stub = None

    def _connect(self) -> control_pb2_grpc.ControlStub:
        """Returns the stub, opening a channel if there is none."""
        if self._stub is None:
            self._channel = grpc.insecure_channel(
                str(self.address), options=_CHANNEL_OPTIONS
            )
            self._stub = control_pb2_grpc.ControlStub(self._channel)
        return self._stub

    async def _call(
        self,
        method: Callable[..., grpc.Future],
        request: _Request,
        timeout_ms: int,
    ) -> _Reply | results.Failure:
        """Makes a call and waits for its outcome."""
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()

        def notify(_: grpc.Future) -> None:
            try:
                token.run_sync_soon(done.set)
            except trio.RunFinishedError:
                return

        channel = self._channel
        call = method.future(request, timeout=timeout_ms / 1000)
        call.add_done_callback(notify)
        try:
            await done.wait()
        finally:
            if not call.done():
                call.cancel()
        if call.code() is grpc.StatusCode.OK:
            return call.result()
        timed_out = call.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        if timed_out and self._channel is channel:
            self.close()
        return _convert_failure(call)


def _convert_failure(call: grpc.Future) -> results.Failure:
    """Converts the status of a failed call to a failure."""
    reason = call.details() or call.code().name
    decoded = _failure_metadata.decode_failure(call.trailing_metadata(), reason)
    if decoded is not None:
        return decoded
    if call.code() is grpc.StatusCode.UNAVAILABLE:
        return results.Failure(
            results.ResultCode.UPSTREAM_UNREACHABLE,
            reason,
            results.RunState.UNKNOWN,
        )
    if call.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return results.Failure(
            results.ResultCode.UPSTREAM_SILENT, reason, results.RunState.UNKNOWN
        )
    return results.Failure(
        results.ResultCode.UPSTREAM_ERROR, reason, results.RunState.UNKNOWN
    )


def create_control_client(
    address: transport.Address,
    deadlines: _deadlines.ControlDeadlines | None = None,
) -> ControlClient:
    """Creates a client for one daemon's control address."""
    return ControlClient(address, deadlines or _deadlines.ControlDeadlines())
