"""Makes one call that may run at most once."""

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools.chaos import _entry_client
from tools.chaos import _observations

RESEND_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0


class PlainCallerBehavior:
    """Behavior of one caller of a plain service.

    Attributes:
        sends_key: Whether the call carries an idempotency key.
        resends: Whether the call is sent again if it had no answer.
        repeats_after_answer: Whether the call is sent again after its answer.
        delay_ms: Duration of the call at the service.
    """

    __slots__ = ('sends_key', 'resends', 'repeats_after_answer', 'delay_ms')

    def __init__(
        self,
        *,
        sends_key: bool,
        resends: bool,
        repeats_after_answer: bool,
        delay_ms: int,
    ) -> None:
        self.sends_key = sends_key
        self.resends = resends
        self.repeats_after_answer = repeats_after_answer
        self.delay_ms = delay_ms


class PlainCaller:
    """Sends one call until its outcome is known.

    Attributes:
        call: Observations of the caller.
    """

    __slots__ = ('call', '_client', '_service', '_behavior')

    def __init__(
        self,
        client: _entry_client.EntryClient,
        service: str,
        call: _observations.PlainObservation,
        behavior: PlainCallerBehavior,
    ) -> None:
        self.call = call
        self._client = client
        self._service = service
        self._behavior = behavior

    async def run(self) -> None:
        """Returns when the outcome is known or no further send is allowed."""
        await self._send_until_settled()
        self.call.is_settled = True

    async def _send_until_settled(self) -> None:
        """Sends the call until it has all its answers or must not be resent."""
        wanted_answer_count = 2 if self._behavior.repeats_after_answer else 1
        while len(self.call.answers) < wanted_answer_count:
            failure = await self._send()
            if failure is None:
                continue
            if failure.code is results.ResultCode.OUTCOME_UNKNOWN:
                return
            if not self._behavior.resends:
                return
            pause_s = (failure.retry_after_ms or 0) / 1000
            await trio.sleep(min(MAX_PAUSE_S, max(RESEND_PAUSE_S, pause_s)))

    async def _send(self) -> results.Failure | None:
        """Sends the call once; returns the failure if there is no answer."""
        headers: transport.Headers = []
        if self._behavior.sends_key:
            headers.append((b'idempotency-key', self.call.name.encode('ascii')))
        body = {'key': self.call.name, 'delay_ms': self._behavior.delay_ms}
        exchange = await self._client.send(
            self._client.choose_entry(),
            'POST',
            f'/{self._service}/booking',
            orjson.dumps(body),
            headers,
        )
        if isinstance(exchange, results.Failure):
            return self._record_lost_answer(exchange)
        with exchange:
            answer = await exchange.read_body(_entry_client.MAX_BODY_BYTES)
        if isinstance(answer, results.Failure):
            return self._record_lost_answer(answer)
        failure = _entry_client.read_failure(answer)
        if failure is not None:
            self.call.failures.append(failure)
            return failure
        self.call.answers.append(
            _observations.PlainAnswer(exchange.status, answer)
        )
        return None

    def _record_lost_answer(self, failure: results.Failure) -> results.Failure:
        """Counts a lost answer if the call may have reached the system."""
        if failure.run_state is not results.RunState.NOT_RUN:
            self.call.lost_answer_count += 1
        return failure
