"""Idempotency keys, wherever the owner of their stream is."""

import collections
import logging
import uuid

import trio

from siskinmount import results
from siskinmount import state
from siskinmount import transport
from siskinmount.entry import _key_messages
from siskinmount.entry import _owner_calls

_LOGGER = logging.getLogger(__name__)

KEYS_PATH = '/keys'
MAX_UNSETTLED = 10_000
SETTLE_PAUSE_S = 0.5
SETTLED_POLL_S = 0.05


class KeyAccess:
    """Asks the owner of a key's stream.

    Attributes:
        holder: Names this process in intents.
    """

    __slots__ = ('holder', '_calls', '_unsettled', '_unsettled_added')

    def __init__(self, calls: _owner_calls.OwnerCalls, holder: str) -> None:
        self.holder = holder
        self._calls = calls
        self._unsettled: collections.deque[_key_messages.KeyCall] = (
            collections.deque(maxlen=MAX_UNSETTLED)
        )
        self._unsettled_added = trio.Event()

    async def begin(
        self, caller: str, key: str, fingerprint: str
    ) -> state.BeginOutcome:
        """Records the intent to run a request, unless it is known already."""
        call = _key_messages.KeyCall(
            operation=_key_messages.KeyOperation.BEGIN,
            stream=self._find_stream(caller, key),
            caller=caller,
            key=key,
            attempt=uuid.uuid4().hex,
            fingerprint=fingerprint,
            holder=self.holder,
        )
        answer: bytes | results.Failure | None = None
        try:
            answer = await self._send(call)
        finally:
            if not isinstance(answer, bytes):
                # The intent may have been recorded, and nothing will be sent.
                self._settle_later(_key_messages.create_abandon_call(call))
        if isinstance(answer, results.Failure):
            # Whether or not the intent was recorded, nothing was sent.
            answer.run_state = results.RunState.NOT_RUN
            if answer.retry_after_ms is None:
                answer.retry_after_ms = 1000
            return answer
        return _key_messages.decode_begun(answer)

    async def finish(
        self, caller: str, key: str, attempt: str, outcome: bytes
    ) -> None:
        """Records the outcome of a request.

        An outcome that could not be recorded now is brought to the owner
        later; until then a resend is told that the request is running.
        """
        await self._settle(
            _key_messages.KeyCall(
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
        await self._settle(
            _key_messages.KeyCall(
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
            while not self._unsettled:
                self._unsettled_added = trio.Event()
                await self._unsettled_added.wait()
            answer = await self._send(self._unsettled[0])
            if isinstance(answer, results.Failure):
                # Another stream may have an owner, so the next one goes first.
                self._unsettled.rotate(-1)
                await trio.sleep(SETTLE_PAUSE_S)
                continue
            self._unsettled.popleft()

    async def wait_settled(self) -> None:
        """Returns once no outcome is left to be recorded."""
        while self._unsettled:  # noqa: ASYNC110
            await trio.sleep(SETTLED_POLL_S)

    async def serve(self, exchange: transport.ServerExchange) -> None:
        """Answers a call of another entry."""
        data = await exchange.read_body()
        if isinstance(data, results.Failure):
            await send_peer_failure(exchange, data)
            return
        call = _key_messages.decode_key_call(data)
        if isinstance(call, results.Failure):
            await send_peer_failure(exchange, call)
            return
        answer = await self._execute(call)
        if isinstance(answer, results.Failure):
            await send_peer_failure(exchange, answer)
            return
        await exchange.send_whole(200, [], answer)

    async def _settle(self, call: _key_messages.KeyCall) -> None:
        """Executes a call now, or keeps it for later."""
        answer = await self._send(call)
        if not isinstance(answer, results.Failure):
            return
        _LOGGER.warning(
            'key_settled_later',
            extra={'code': int(answer.code), 'reason': answer.reason},
        )
        self._settle_later(call)

    def _settle_later(self, call: _key_messages.KeyCall) -> None:
        """Keeps a call that must reach the owner."""
        self._unsettled.append(call)
        self._unsettled_added.set()

    async def _send(
        self, call: _key_messages.KeyCall
    ) -> bytes | results.Failure:
        """Executes a call here or at the owner."""
        shard = self._calls.find_local(call.stream)
        if not isinstance(shard, results.Failure):
            return await self._execute(call)
        return await self._calls.send(
            call.stream,
            transport.ClientRequest(
                'POST', KEYS_PATH, [], _key_messages.encode_key_call(call)
            ),
        )

    async def _execute(
        self, call: _key_messages.KeyCall
    ) -> bytes | results.Failure:
        """Executes a call on a stream that this entry should own."""
        shard = await _owner_calls.wait_for_shard(self._calls, call.stream)
        if isinstance(shard, results.Failure):
            return shard
        if call.operation is _key_messages.KeyOperation.BEGIN:
            begun = await shard.keys.begin(
                call.key,
                call.caller,
                call.fingerprint,
                call.holder,
                call.attempt,
            )
            if isinstance(begun, results.Failure):
                return begun
            return _key_messages.encode_begun(begun)
        if call.operation is _key_messages.KeyOperation.FINISH:
            failure = await shard.keys.finish(
                call.key, call.caller, call.attempt, call.outcome
            )
        else:
            failure = await shard.keys.abandon(
                call.key, call.caller, call.attempt
            )
        return b'{}' if failure is None else failure

    def _find_stream(self, caller: str, key: str) -> str:
        """Returns the stream of a caller's key."""
        return self._calls.find_stream(f'{caller}\n{key}')


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
