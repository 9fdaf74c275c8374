"""Streams one request, and goes on elsewhere when its connection breaks."""

import time

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools.chaos import _entry_client
from tools.chaos import _observations

RESEND_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0
_FINAL_CODES = frozenset((results.ResultCode.REQUEST_CONVICTED,))


class OnlineCaller:
    """Sends one request until it is answered.

    Attributes:
        request: What the caller has seen.
    """

    __slots__ = ('request', '_client', '_service', '_resends')

    def __init__(
        self,
        client: _entry_client.EntryClient,
        service: str,
        request: _observations.OnlineObservation,
        resends: bool,
    ) -> None:
        self.request = request
        self._client = client
        self._service = service
        self._resends = resends

    async def run(self) -> None:
        """Returns once the request was answered or refused for good."""
        while True:
            entry_vm = self._client.choose_entry()
            outcome = await self._send(entry_vm)
            if self.request.ended:
                return
            if outcome is None:
                await trio.sleep(RESEND_PAUSE_S)
                continue
            self.request.failures.append(outcome)
            if outcome.code in _FINAL_CODES:
                return
            not_run = outcome.run_state is results.RunState.NOT_RUN
            if not_run and not self._resends and not self.request.texts:
                self.request.is_given_up = True
                return
            pause_s = (outcome.retry_after_ms or 0) / 1000
            await trio.sleep(min(MAX_PAUSE_S, max(RESEND_PAUSE_S, pause_s)))

    async def _send(self, entry_vm: str) -> results.Failure | None:
        """Sends once; returns what the system gave in place of an answer."""
        request = self.request
        body = {
            'model': self._service,
            'prompt': request.prompt,
            'max_tokens': request.max_tokens,
            'stream': True,
        }
        headers = [(b'idempotency-key', request.name.encode('ascii'))]
        if request.texts:
            last_id = len(request.texts) - 1
            headers.append((b'last-event-id', b'%d' % last_id))
            if _was_lost(request):
                body['answer_so_far'] = request.texts
        exchange = await self._client.send(
            entry_vm, 'POST', '/v1/completions', orjson.dumps(body), headers
        )
        if isinstance(exchange, results.Failure):
            if exchange.run_state is not results.RunState.NOT_RUN:
                request.lost_count += 1
            return None
        with exchange:
            if exchange.status != 200:
                return await self._read_refusal(exchange)
            return await self._read_stream(entry_vm, exchange)

    async def _read_stream(
        self, entry_vm: str, exchange: transport.ClientExchange
    ) -> results.Failure | None:
        """Reads tokens until the answer or the connection ends."""
        reader = _entry_client.create_answer_reader()
        while True:
            chunk = await exchange.receive_chunk()
            if isinstance(chunk, results.Failure) or not chunk:
                self.request.lost_count += 1
                self.request.breaks.append(
                    _observations.BrokenConnection(entry_vm, time.monotonic())
                )
                return None
            item = reader.feed(chunk)
            self.request.texts.extend(item.texts)
            if item.failure is not None:
                return item.failure
            if item.ended:
                self.request.ended = True
                return None

    async def _read_refusal(
        self, exchange: transport.ClientExchange
    ) -> results.Failure | None:
        """Returns the failure that came in place of a stream."""
        body = await exchange.read_body(_entry_client.MAX_BODY_BYTES)
        if isinstance(body, results.Failure):
            self.request.lost_count += 1
            return None
        return _entry_client.read_failure(body)


def _was_lost(request: _observations.OnlineObservation) -> bool:
    """Returns whether the last refusal said that the run is lost."""
    if not request.failures:
        return False
    code = request.failures[-1].code
    return code is results.ResultCode.NO_SUCH_REQUEST
