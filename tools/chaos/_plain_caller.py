"""Makes one call that may run at most once."""

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools.chaos import _entry_client
from tools.chaos import _observations

RESEND_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0


class PlainHabits:
    """How a caller behaves.

    Attributes:
        sends_key: Whether the call carries an idempotency key.
        resends: Whether it is sent again when it had no answer.
        asks_again: Whether it is sent again after its answer.
        delay_ms: How long the service takes.
    """

    __slots__ = ('sends_key', 'resends', 'asks_again', 'delay_ms')

    def __init__(
        self,
        *,
        sends_key: bool,
        resends: bool,
        asks_again: bool,
        delay_ms: int,
    ) -> None:
        self.sends_key = sends_key
        self.resends = resends
        self.asks_again = asks_again
        self.delay_ms = delay_ms


class PlainCaller:
    """Sends one call until its outcome is known.

    Attributes:
        call: What the caller has seen.
    """

    __slots__ = ('call', '_client', '_service', '_habits')

    def __init__(
        self,
        client: _entry_client.EntryClient,
        service: str,
        call: _observations.PlainObservation,
        habits: PlainHabits,
    ) -> None:
        self.call = call
        self._client = client
        self._service = service
        self._habits = habits

    async def run(self) -> None:
        """Returns once the outcome is known or asking has no sense."""
        await self._ask()
        self.call.is_settled = True

    async def _ask(self) -> None:
        """Sends the call until nothing more can be learned."""
        wanted = 2 if self._habits.asks_again else 1
        while len(self.call.answers) < wanted:
            failure = await self._send()
            if failure is None:
                continue
            if failure.code is results.ResultCode.OUTCOME_UNKNOWN:
                return
            if not self._habits.resends:
                return
            pause_s = (failure.retry_after_ms or 0) / 1000
            await trio.sleep(min(MAX_PAUSE_S, max(RESEND_PAUSE_S, pause_s)))

    async def _send(self) -> results.Failure | None:
        """Sends once; returns why there is no answer."""
        headers: transport.Headers = []
        if self._habits.sends_key:
            headers.append((b'idempotency-key', self.call.name.encode('ascii')))
        body = {'key': self.call.name, 'delay_ms': self._habits.delay_ms}
        exchange = await self._client.send(
            self._client.choose_entry(),
            'POST',
            f'/{self._service}/booking',
            orjson.dumps(body),
            headers,
        )
        if isinstance(exchange, results.Failure):
            return self._count_lost(exchange)
        with exchange:
            answer = await exchange.read_body(_entry_client.MAX_BODY_BYTES)
        if isinstance(answer, results.Failure):
            return self._count_lost(answer)
        failure = _entry_client.read_failure(answer)
        if failure is not None:
            self.call.failures.append(failure)
            return failure
        self.call.answers.append(
            _observations.PlainAnswer(exchange.status, answer)
        )
        return None

    def _count_lost(self, failure: results.Failure) -> results.Failure:
        """Counts a connection on which the call may have been taken."""
        if failure.run_state is not results.RunState.NOT_RUN:
            self.call.lost_count += 1
        return failure
