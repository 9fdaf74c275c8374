"""Operations on idempotency keys, executed at the owner of their stream."""

import collections
import logging
import uuid

import trio

from siskinmount import results
from siskinmount import state
from siskinmount import transport
from siskinmount.entry import _key_messages
from siskinmount.entry import _stream_owner_client

_LOGGER = logging.getLogger(__name__)

KEYS_PATH = '/keys'
MAX_DEFERRED = 10_000
FLUSH_RETRY_DELAY_S = 0.5
FLUSH_POLL_INTERVAL_S = 0.05


class KeyService:
    """Executes key operations, locally or at the remote owner of the stream.

    Attributes:
        holder: Name of this process in intents.
    """

    __slots__ = ('holder', '_owner_client', '_deferred', '_deferred_added')

    def __init__(
        self, owner_client: _stream_owner_client.StreamOwnerClient, holder: str
    ) -> None:
        self.holder = holder
        self._owner_client = owner_client
        self._deferred: collections.deque[_key_messages.KeyRequest] = (
            collections.deque(maxlen=MAX_DEFERRED)
        )
        self._deferred_added = trio.Event()

    async def begin(
        self, caller: str, key: str, fingerprint: str
    ) -> state.BeginOutcome:
        """Records the intent to run a request, unless its key is known."""
        request = _key_messages.KeyRequest(
            operation=_key_messages.KeyOperation.BEGIN,
            stream=self._find_stream(caller, key),
            caller=caller,
            key=key,
            attempt=uuid.uuid4().hex,
            fingerprint=fingerprint,
            holder=self.holder,
        )
        response: bytes | results.Failure | None = None
        try:
            response = await self._send(request)
        finally:
            if not isinstance(response, bytes):
                # The intent may have been recorded, but the request will not
                # be sent, so the key must be freed.
                self._defer(_key_messages.create_abandon_request(request))
        if isinstance(response, results.Failure):
            # The request was not sent, whether or not the intent was recorded.
            response.run_state = results.RunState.NOT_RUN
            if response.retry_after_ms is None:
                response.retry_after_ms = 1000
            return response
        return _key_messages.decode_begin_outcome(response)

    async def finish(
        self, caller: str, key: str, attempt: str, outcome: bytes
    ) -> None:
        """Records the outcome of a request.

        An outcome that cannot be recorded now is sent to the owner later.
        Until then a resend gets the response that the request is in progress.
        """
        await self._send_or_defer(
            _key_messages.KeyRequest(
                operation=_key_messages.KeyOperation.FINISH,
                stream=self._find_stream(caller, key),
                caller=caller,
                key=key,
                attempt=attempt,
                outcome=outcome,
            )
        )

    async def abandon(self, caller: str, key: str, attempt: str) -> None:
        """Frees the key of a request that was certainly not sent."""
        await self._send_or_defer(
            _key_messages.KeyRequest(
                operation=_key_messages.KeyOperation.ABANDON,
                stream=self._find_stream(caller, key),
                caller=caller,
                key=key,
                attempt=attempt,
            )
        )

    async def run(self) -> None:
        """Retries deferred requests until cancelled."""
        while True:
            while not self._deferred:
                self._deferred_added = trio.Event()
                await self._deferred_added.wait()
            response = await self._send(self._deferred[0])
            if isinstance(response, results.Failure):
                # The next request may be for a stream that has an owner.
                self._deferred.rotate(-1)
                await trio.sleep(FLUSH_RETRY_DELAY_S)
                continue
            self._deferred.popleft()

    async def wait_flushed(self) -> None:
        """Waits until no deferred request is left."""
        while self._deferred:  # noqa: ASYNC110
            await trio.sleep(FLUSH_POLL_INTERVAL_S)

    async def serve(self, exchange: transport.ServerExchange) -> None:
        """Serves a request from another entry."""
        data = await exchange.read_body()
        if isinstance(data, results.Failure):
            await send_peer_failure(exchange, data)
            return
        request = _key_messages.decode_key_request(data)
        if isinstance(request, results.Failure):
            await send_peer_failure(exchange, request)
            return
        response = await self._execute(request)
        if isinstance(response, results.Failure):
            await send_peer_failure(exchange, response)
            return
        await exchange.send_whole(200, [], response)

    async def _send_or_defer(self, request: _key_messages.KeyRequest) -> None:
        """Sends a request, or defers it if that fails."""
        response = await self._send(request)
        if not isinstance(response, results.Failure):
            return
        _LOGGER.warning(
            'key_request_deferred',
            extra={'code': int(response.code), 'reason': response.reason},
        )
        self._defer(request)

    def _defer(self, request: _key_messages.KeyRequest) -> None:
        """Queues a request that must reach the owner for a retry."""
        self._deferred.append(request)
        self._deferred_added.set()

    async def _send(
        self, request: _key_messages.KeyRequest
    ) -> bytes | results.Failure:
        """Executes a request locally or at the remote owner."""
        shard = self._owner_client.find_local_shard(request.stream)
        if not isinstance(shard, results.Failure):
            return await self._execute(request)
        return await self._owner_client.send(
            request.stream,
            transport.ClientRequest(
                'POST', KEYS_PATH, [], _key_messages.encode_key_request(request)
            ),
        )

    async def _execute(
        self, request: _key_messages.KeyRequest
    ) -> bytes | results.Failure:
        """Executes a request locally, waiting for ownership of its stream."""
        shard = await _stream_owner_client.wait_for_shard(
            self._owner_client, request.stream
        )
        if isinstance(shard, results.Failure):
            return shard
        if request.operation is _key_messages.KeyOperation.BEGIN:
            begin_outcome = await shard.keys.begin(
                request.key,
                request.caller,
                request.fingerprint,
                request.holder,
                request.attempt,
            )
            if isinstance(begin_outcome, results.Failure):
                return begin_outcome
            return _key_messages.encode_begin_outcome(begin_outcome)
        if request.operation is _key_messages.KeyOperation.FINISH:
            failure = await shard.keys.finish(
                request.key, request.caller, request.attempt, request.outcome
            )
        else:
            failure = await shard.keys.abandon(
                request.key, request.caller, request.attempt
            )
        return b'{}' if failure is None else failure

    def _find_stream(self, caller: str, key: str) -> str:
        """Returns the stream that holds a caller's key."""
        return self._owner_client.find_stream(f'{caller}\n{key}')


async def send_peer_failure(
    exchange: transport.ServerExchange, failure: results.Failure
) -> None:
    """Sends an error response to another daemon."""
    await exchange.send_json(
        503,
        {
            'error': {
                'code': int(failure.code),
                'name': failure.code.name,
                'reason': failure.reason,
                'run_state': failure.run_state.value,
                'retry_after_ms': failure.retry_after_ms,
            }
        },
    )
