"""Sends requests at their intended times and verifies every answer."""

import math

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools.load import _load_report
from tools.load import _wires
from tools.load import _workload

MAX_CONNECTIONS = 4096
SILENCE_TIMEOUT_MS = 30_000
MAX_ERROR_BYTES = 64 * 1024
MAX_WRONG_EXAMPLES = 5


class LoadGenerator:
    """Sends requests in an open loop to servers in round-robin order.

    Attributes:
        report: Measurements so far, without the warm-up.
        warm_up_report: Measurements of the warm-up.
    """

    __slots__ = (
        'report',
        'warm_up_report',
        '_window_start_s',
        '_window_end_s',
        '_clients',
        '_wire',
        '_label',
        '_next_client',
    )

    def __init__(
        self, targets: list[transport.Address], wire: _wires.Wire, label: str
    ) -> None:
        limits = transport.ClientLimits(
            max_connections=MAX_CONNECTIONS,
            silence_timeout_ms=SILENCE_TIMEOUT_MS,
        )
        self.report = _load_report.LoadReport()
        self.warm_up_report = _load_report.LoadReport()
        self._window_start_s = 0.0
        self._window_end_s = math.inf
        self._clients = [
            transport.create_http_client(target, limits) for target in targets
        ]
        self._wire = wire
        self._label = label
        self._next_client = 0

    async def run(
        self,
        requests: list[_workload.LoadRequest],
        warm_up_s: float = 0.0,
        duration_s: float = math.inf,
    ) -> None:
        """Sends all requests and returns once each has ended.

        Args:
            requests: Requests in the order of their intended times.
            warm_up_s: Length of the warm-up from the start of the run;
                requests intended for it are left out of `report`.
            duration_s: Length of the run; tokens that arrive later are left
                out of the report's `window_token_count`.
        """
        start_s = trio.current_time()
        self._window_start_s = start_s + warm_up_s
        self._window_end_s = start_s + duration_s
        async with trio.open_nursery() as nursery:
            for number, request in enumerate(requests):
                intended_s = start_s + request.intended_s
                await trio.sleep_until(intended_s)
                is_measured = request.intended_s >= warm_up_s
                nursery.start_soon(
                    self._run_request,
                    request,
                    f'{self._label}-{number}',
                    intended_s,
                    self.report if is_measured else self.warm_up_report,
                )
        self.report.duration_s += trio.current_time() - start_s - warm_up_s
        for client in self._clients:
            client.close()

    async def _run_request(
        self,
        request: _workload.LoadRequest,
        request_id: str,
        intended_s: float,
        report: _load_report.LoadReport,
    ) -> None:
        """Sends one request and records its outcome."""
        report.send_lag.record(trio.current_time() - intended_s)
        client = self._clients[self._next_client % len(self._clients)]
        self._next_client += 1
        exchange = await client.send(
            self._wire.write_request(request, request_id)
        )
        if isinstance(exchange, results.Failure):
            _count_failure(report, _load_report.Outcome.LOST, exchange)
            return
        with exchange:
            if exchange.status != 200:
                failure = await _read_refusal(exchange)
                _count_failure(report, _load_report.Outcome.REFUSED, failure)
                return
            texts = await self._read_answer(exchange, intended_s, report)
        if isinstance(texts, results.Failure):
            not_run = texts.run_state is results.RunState.NOT_RUN
            outcome = (
                _load_report.Outcome.REFUSED
                if not_run
                else _load_report.Outcome.LOST
            )
            _count_failure(report, outcome, texts)
            return
        if texts == request.find_answer():
            report.outcomes[_load_report.Outcome.RIGHT] += 1
            return
        report.outcomes[_load_report.Outcome.WRONG] += 1
        if len(report.wrong_examples) < MAX_WRONG_EXAMPLES:
            report.wrong_examples.append(request_id)

    async def _read_answer(
        self,
        exchange: transport.ClientExchange,
        intended_s: float,
        report: _load_report.LoadReport,
    ) -> list[str] | results.Failure:
        """Reads the tokens of an answer and records their times of arrival."""
        reader = self._wire.create_reader()
        texts: list[str] = []
        last_token_s = 0.0
        ended = False
        while True:
            chunk = await exchange.receive_chunk()
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                break
            now_s = trio.current_time()
            item = reader.feed(chunk)
            if self._window_start_s <= now_s < self._window_end_s:
                self.report.window_token_count += len(item.texts)
            for text in item.texts:
                if texts:
                    report.between_tokens.record(now_s - last_token_s)
                else:
                    report.first_token.record(now_s - intended_s)
                last_token_s = now_s
                texts.append(text)
            if item.failure is not None:
                return item.failure
            if item.ended:
                ended = True
                report.whole_answer.record(now_s - intended_s)
        report.token_count += len(texts)
        if ended:
            return texts
        return results.Failure(
            results.ResultCode.UPSTREAM_LOST,
            'the answer ended without its end marker',
            results.RunState.RAN,
        )


def _count_failure(
    report: _load_report.LoadReport,
    outcome: _load_report.Outcome,
    failure: results.Failure,
) -> None:
    report.outcomes[outcome] += 1
    report.refusal_codes[failure.code.name] += 1


async def _read_refusal(
    exchange: transport.ClientExchange,
) -> results.Failure:
    """Reads the error document of a refusal."""
    body = await exchange.read_body(MAX_ERROR_BYTES)
    if isinstance(body, results.Failure):
        return body
    try:
        return _wires.read_error(orjson.loads(body))
    except (ValueError, KeyError, AttributeError):
        return results.Failure(
            results.ResultCode.UPSTREAM_ERROR, f'status {exchange.status}'
        )


def create_load_generator(
    targets: list[transport.Address], wire: _wires.Wire, label: str = 'load'
) -> LoadGenerator:
    """Creates a generator.

    Args:
        targets: Servers, used in round-robin order.
        wire: Protocol for requests and answers.
        label: Prefix of each request id.
    """
    return LoadGenerator(targets, wire, label)
