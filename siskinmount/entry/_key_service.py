"""Idempotency keys, wherever the owner of their stream is."""

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
    """Asks the owner of a key's stream.

    Attributes:
        holder: Names this process in intents.
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
        """Records the intent to run a request, unless it is known already."""
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
                # The intent may have been recorded, and nothing will be sent.
                self._defer(_key_messages.create_abandon_request(request))
        if isinstance(response, results.Failure):
            # Whether or not the intent was recorded, nothing was sent.
            response.run_state = results.RunState.NOT_RUN
            if response.retry_after_ms is None:
                response.retry_after_ms = 1000
            return response
        return _key_messages.decode_begin_outcome(response)

    async def finish(
        self, caller: str, key: str, attempt: str, outcome: bytes
    ) -> None:
        """Records the outcome of a request.

        An outcome that could not be recorded now is brought to the owner
        later; until then a resend is told that the request is running.
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
        """Brings outcomes that could not be recorded to the owners, for ever."""
        while True:
            while not self._deferred:
                self._deferred_added = trio.Event()
                await self._deferred_added.wait()
            response = await self._send(self._deferred[0])
            if isinstance(response, results.Failure):
                # Another stream may have an owner, so the next one goes first.
                self._deferred.rotate(-1)
                await trio.sleep(FLUSH_RETRY_DELAY_S)
                continue
            self._deferred.popleft()

    async def wait_flushed(self) -> None:
        """Returns once no outcome is left to be recorded."""
        while self._deferred:  # noqa: ASYNC110
            await trio.sleep(FLUSH_POLL_INTERVAL_S)

    async def serve(self, exchange: transport.ServerExchange) -> None:
        """Answers a call of another entry."""
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
        """Executes a call now, or keeps it for later."""
        response = await self._send(request)
        if not isinstance(response, results.Failure):
            return
        _LOGGER.warning(
            'key_settled_later',
            extra={'code': int(response.code), 'reason': response.reason},
        )
        self._defer(request)

    def _defer(self, request: _key_messages.KeyRequest) -> None:
        """Keeps a call that must reach the owner."""
        self._deferred.append(request)
        self._deferred_added.set()

    async def _send(
        self, request: _key_messages.KeyRequest
    ) -> bytes | results.Failure:
        """Executes a call here or at the owner."""
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
        """Executes a call on a stream that this entry should own."""
        shard = await _stream_owner_client.wait_for_shard(
            self._owner_client, request.stream
        )
        if isinstance(shard, results.Failure):
            return shard
        if request.operation is _key_messages.KeyOperation.BEGIN:
            begun = await shard.keys.begin(
                request.key,
                request.caller,
                request.fingerprint,
                request.holder,
                request.attempt,
            )
            if isinstance(begun, results.Failure):
                return begun
            return _key_messages.encode_begin_outcome(begun)
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
        """Returns the stream of a caller's key."""
        return self._owner_client.find_stream(f'{caller}\n{key}')


async def send_peer_failure(
    exchange: transport.ServerExchange, failure: results.Failure
) -> None:
    """Answers another daemon with a failure."""
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
