"""A gRPC server whose worker threads run each call as a trio task."""

from collections.abc import Awaitable
from collections.abc import Callable
import concurrent.futures
import logging
import threading
from typing import TypeVar

import grpc
import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.rpc import _control_handlers
from siskinmount.rpc import _failure_metadata
from siskinmount.rpc import control_pb2
from siskinmount.rpc import control_pb2_grpc

_LOGGER = logging.getLogger(__name__)

MAX_WORKERS = 4
MAX_CONCURRENT_CALLS = 64
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
HANDLER_TIMEOUT_S = 5.0
STOP_GRACE_S = 2.0
HANDSHAKE_TIMEOUT_MS = 10_000

_SERVER_OPTIONS = (
    ('grpc.so_reuseport', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.server_handshake_timeout_ms', HANDSHAKE_TIMEOUT_MS),
)

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')
_Handler = Callable[[_Request], Awaitable[_Reply | results.Failure]]


class ControlServer:
    """Serves one listening address.

    A call occupies one of `MAX_WORKERS` threads while its handler runs as a
    task in this server's nursery; calls beyond `MAX_CONCURRENT_CALLS` are
    rejected by gRPC.
    """

    __slots__ = ('_handlers', '_stop_requested')

    def __init__(self, handlers: _control_handlers.ControlHandlers) -> None:
        self._handlers = handlers
        self._stop_requested = trio.Event()

    async def run(
        self,
        address: transport.Address,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until `stop` is called and the calls in progress have ended.

        Args:
            address: Address to listen on; port 0 selects a free port.
            task_status: Receives the address that the server listens on.

        Raises:
            OSError: The server cannot listen on the address.
        """
        executor = concurrent.futures.ThreadPoolExecutor(
            MAX_WORKERS, thread_name_prefix='control'
        )
        server = grpc.server(
            executor,
            options=_SERVER_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
        )
        port = _bind(server, address)
        async with trio.open_nursery() as nursery:
            servicer = _ControlServicer(nursery, self._handlers)
            control_pb2_grpc.add_ControlServicer_to_server(servicer, server)
            server.start()
            task_status.started(transport.Address(address.host, port))
            try:
                await self._stop_requested.wait()
            except trio.Cancelled:
                servicer.cancel()
                raise
            finally:
                stopped = server.stop(STOP_GRACE_S)
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(stopped.wait)
                executor.shutdown(wait=False)

    def stop(self) -> None:
        """Rejects new calls; calls in progress get `STOP_GRACE_S` to end."""
        self._stop_requested.set()


class _ControlServicer:
    """Implements the generated service; runs in gRPC's worker threads."""

    __slots__ = ('_nursery', '_handlers', '_token', '_futures', '_lock')

    def __init__(
        self,
        nursery: trio.Nursery,
        handlers: _control_handlers.ControlHandlers,
    ) -> None:
        self._nursery = nursery
        self._handlers = handlers
        self._token = trio.lowlevel.current_trio_token()
        self._lock = threading.Lock()
        self._futures: set[concurrent.futures.Future] | None = set()

    def cancel(self) -> None:
        """Fails all current and later calls, so that no worker thread waits."""
        with self._lock:
            futures = self._futures or set()
            self._futures = None
        for future in futures:
            future.cancel()

    def Heartbeat(  # noqa: N802
        self,
        request: control_pb2.HeartbeatRequest,
        context: grpc.ServicerContext,
    ) -> control_pb2.HeartbeatReply:
        """Serves the RPC of this name."""
        return self._call(self._handlers.heartbeat, request, context)

    def GetConfiguration(  # noqa: N802
        self,
        request: control_pb2.ConfigurationRequest,
        context: grpc.ServicerContext,
    ) -> control_pb2.ConfigurationReply:
        """Serves the RPC of this name."""
        return self._call(self._handlers.get_configuration, request, context)

    def GetStatus(  # noqa: N802
        self,
        request: control_pb2.StatusRequest,
        context: grpc.ServicerContext,
    ) -> control_pb2.StatusReply:
        """Serves the RPC of this name."""
        return self._call(self._handlers.get_status, request, context)

    def GetHistograms(  # noqa: N802
        self,
        request: control_pb2.HistogramsRequest,
        context: grpc.ServicerContext,
    ) -> control_pb2.HistogramsReply:
        """Serves the RPC of this name."""
        return self._call(self._handlers.get_histograms, request, context)

    def _call(
        self,
        handler: _Handler,
        request: _Request,
        context: grpc.ServicerContext,
    ) -> _Reply:
        """Runs the handler in trio's thread and waits for the outcome."""
        timeout_s = min(
            context.time_remaining() or HANDLER_TIMEOUT_S, HANDLER_TIMEOUT_S
        )
        call = _Call(handler, request, timeout_s)
        context.add_callback(lambda: self._cancel_call(call))
        outcome = self._wait(call)
        if not isinstance(outcome, results.Failure):
            return outcome
        context.set_trailing_metadata(_failure_metadata.encode_failure(outcome))
        context.abort(grpc.StatusCode.UNAVAILABLE, outcome.reason)
        raise AssertionError('abort always raises')

    def _wait(self, call: '_Call') -> _Reply | results.Failure:
        """Waits for the handler's outcome or a failure of the call itself."""
        with self._lock:
            if self._futures is None:
                return _server_stopping()
            self._futures.add(call.future)
        try:
            self._token.run_sync_soon(self._start, call)
            return call.future.result(call.timeout_s)
        except (trio.RunFinishedError, concurrent.futures.CancelledError):
            return _server_stopping()
        except TimeoutError:
            return _deadline_exceeded()
        finally:
            with self._lock:
                if self._futures is not None:
                    self._futures.discard(call.future)

    def _start(self, call: '_Call') -> None:
        """Starts the call's task; must run in trio's thread."""
        with self._lock:
            if self._futures is None:
                return
        self._nursery.start_soon(call.run)

    def _cancel_call(self, call: '_Call') -> None:
        """Cancels the call's task when gRPC has ended the call."""
        try:
            self._token.run_sync_soon(call.scope.cancel)
        except trio.RunFinishedError:
            return


class _Call:
    """A call that a gRPC worker thread passes to trio's thread.

    Attributes:
        future: Set to the outcome.
        scope: Cancel scope of the handler.
        timeout_s: Maximum duration of the handler.
    """

    __slots__ = ('future', 'scope', 'timeout_s', '_handler', '_request')

    def __init__(
        self, handler: _Handler, request: _Request, timeout_s: float
    ) -> None:
        self.future: concurrent.futures.Future = concurrent.futures.Future()
        self.scope = trio.CancelScope()
        self.timeout_s = timeout_s
        self._handler = handler
        self._request = request

    async def run(self) -> None:
        """Runs the handler and maps an exception in it to a failure."""
        outcome: _Reply | results.Failure = _deadline_exceeded()
        self.scope.deadline = trio.current_time() + self.timeout_s
        try:
            with self.scope:
                outcome = await self._handler(self._request)
        except Exception:
            _LOGGER.exception(
                'control_handler_failed',
                extra={'code': int(results.ResultCode.INTERNAL)},
            )
            outcome = results.Failure(
                results.ResultCode.INTERNAL,
                'internal error',
                results.RunState.UNKNOWN,
            )
        finally:
            if self.future.set_running_or_notify_cancel():
                self.future.set_result(outcome)


def _deadline_exceeded() -> results.Failure:
    return results.Failure(
        results.ResultCode.DEADLINE_EXCEEDED,
        'the call exceeded its deadline',
        results.RunState.UNKNOWN,
    )


def _server_stopping() -> results.Failure:
    return results.Failure(results.ResultCode.LEAVING, 'the daemon is stopping')


def _bind(server: grpc.Server, address: transport.Address) -> int:
    """Binds the server to an address and returns its port."""
    try:
        port = server.add_insecure_port(str(address))
    except RuntimeError as error:
        raise OSError(f'cannot listen on {address}: {error}') from error
    if not port:
        raise OSError(f'cannot listen on {address}')
    return port


def create_control_server(
    handlers: _control_handlers.ControlHandlers,
) -> ControlServer:
    """Creates a server that passes each call to the handlers."""
    return ControlServer(handlers)
