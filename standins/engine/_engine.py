"""The engine's HTTP interface."""

import collections
import os

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import faults as faults_module
from standins.engine import _batch_loop
from standins.engine import _cache_events
from standins.engine import _kv_transfer
from standins.engine import _orders
from standins.engine import _prefix_cache
from standins.engine import _running_request
from standins.engine import _settings
from standins.engine import _started_requests
from standins.engine import _tokens

CRASH_EXIT_STATUS = 139
LOAD_SAMPLES = 20
_EVENT_STREAM = [(b'content-type', b'text/event-stream')]


class Engine:
    """A simulated model engine with continuous batching.

    Attributes:
        loop: Runs the requests in steps.
        orders: Accepts and executes orders.
        started: History of the started requests.
    """

    __slots__ = (
        'loop',
        'orders',
        'started',
        '_settings',
        '_events',
        '_load_samples',
    )

    def __init__(
        self,
        settings: _settings.EngineSettings,
        faults: faults_module.Faults,
        model: str,
        version: str,
        weight_store: transport.HttpClient | None,
    ) -> None:
        self._settings = settings
        self._events = _cache_events.CacheEventLog(
            settings.cache_event_lag_ms * settings.time_scale,
            settings.cache_event_loss,
            settings.seed,
        )
        self.loop = _batch_loop.BatchLoop(
            settings,
            _prefix_cache.PrefixCache(settings.cache_blocks, self._events.add),
            faults,
        )
        self.orders = _orders.OrderExecutor(
            settings, self.loop, model, version, weight_store
        )
        self.started = _started_requests.StartedRequests()
        self._load_samples: collections.deque[dict[str, object]] = (
            collections.deque(maxlen=LOAD_SAMPLES)
        )

    async def sample_load(self) -> None:
        """Samples the load until cancelled, for the delayed load report."""
        interval_s = (
            self._settings.load_lag_ms
            * self._settings.time_scale
            / 1000
            / LOAD_SAMPLES
        )
        while True:
            self._load_samples.append(self._describe_load())
            await trio.sleep(max(interval_s, 0.001))

    async def handle(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Answers one request."""
        method = exchange.head.method
        path = exchange.head.path
        if method == 'GET':
            document = self._build_get_response(exchange.head)
            if document is None:
                await exchange.send_json(404, {'error': 'no such path'})
                return
            await exchange.send_json(200, document)
            return
        handlers = {
            '/v1/completions': self._handle_completion,
            '/v1/cancel': self._handle_cancel,
            '/v1/orders': self._handle_order,
            '/v1/kv/export': self._export_kv,
            '/v1/kv/import': self._import_kv,
        }
        handler = handlers.get(path)
        if handler is None:
            await exchange.send_json(404, {'error': 'no such path'})
            return
        document = await exchange.read_json()
        if isinstance(document, results.Failure):
            await exchange.refuse(400, document)
            return
        await handler(exchange, document)

    def _build_get_response(
        self, head: transport.RequestHead
    ) -> dict[str, object] | None:
        """Returns the response to a GET, or None for an unknown path."""
        if head.path == '/v1/load':
            return self._load_samples[0]
        if head.path == '/v1/state':
            return self._describe_state()
        if head.path == '/v1/cache_events':
            after = int(head.query.get('after', '0'))
            return {'events': self._describe_events(after)}
        if head.path == '/control/started':
            after = int(head.query.get('after', '0'))
            return {'started': self.started.describe(after)}
        if head.path == '/control/orders':
            return {'orders': self._describe_orders()}
        if head.path == '/control/counts':
            return {
                'steps': self.loop.step_count,
                'generated_tokens': self.loop.generated_count,
                'prefilled_tokens': self.loop.prefilled_count,
            }
        return None

    def _describe_load(self) -> dict[str, object]:
        return {
            'running': len(self.loop.running),
            'waiting': len(self.loop.waiting),
            'max_running': self._settings.max_running,
            'cached_blocks': len(self.loop.cache),
            'cache_blocks': self._settings.cache_blocks,
            'step_ms': self.loop.last_step_ms * self._settings.time_scale,
        }

    def _describe_state(self) -> dict[str, object]:
        return {
            'state': 'loading' if self.orders.loading else 'ready',
            'model': self.orders.model,
            'version': self.orders.version,
            'adapters': self.orders.adapters,
            'role': self.orders.role,
            'newest_fence': self.orders.newest_fence,
        }

    def _describe_events(self, after: int) -> list[dict[str, object]]:
        return [
            {
                'seq': event.sequence,
                'kind': event.kind,
                'block': event.block_hash,
            }
            for event in self._events.read(after)
        ]

    def _describe_orders(self) -> list[dict[str, object]]:
        return [
            {
                'fence': order.fence,
                'order': order.kind.value,
                'model': order.model,
                'version': order.version,
                'accepted': order.accepted,
            }
            for order in self.orders.history
        ]

    async def _handle_completion(
        self, exchange: faults_module.FaultInjectingExchange, document: dict
    ) -> None:
        """Runs a request and streams its tokens."""
        parsed = _parse_completion(document)
        if isinstance(parsed, results.Failure):
            await exchange.refuse(400, parsed)
            return
        if self.orders.loading:
            await exchange.send_json(503, {'error': 'loading'})
            return
        if self._settings.crash_marker in parsed.content:
            os._exit(CRASH_EXIT_STATUS)
        request = _running_request.RunningRequest(parsed)
        self.started.add(request)
        self.loop.submit(request)
        broken: trio.BrokenResourceError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, exchange, request)
            try:
                await _stream_answer(exchange, request)
            except trio.BrokenResourceError as error:
                broken = error
            finally:
                request.end(_running_request.FinishReason.CANCELLED)
            nursery.cancel_scope.cancel()
        if broken is not None:
            raise broken

    async def _handle_cancel(
        self, exchange: faults_module.FaultInjectingExchange, document: dict
    ) -> None:
        """Cancels all running requests with the given id."""
        found = self.started.find_running(str(document.get('request_id', '')))
        for request in found:
            request.end(_running_request.FinishReason.CANCELLED)
        await exchange.send_json(
            200,
            {
                'cancelled': bool(found),
                'completion_tokens': max(
                    (request.next_index for request in found), default=0
                ),
            },
        )

    async def _handle_order(
        self, exchange: faults_module.FaultInjectingExchange, document: dict
    ) -> None:
        """Accepts or refuses an order."""
        try:
            order = _orders.Order(
                int(document['fence']),
                _orders.OrderKind(document['order']),
                str(document['model']),
                str(document.get('version', '')),
            )
        except (KeyError, TypeError, ValueError) as error:
            await exchange.send_json(400, {'error': f'invalid order: {error}'})
            return
        failure = self.orders.accept(order)
        if failure is not None:
            await exchange.send_json(
                409,
                {
                    'error': failure.reason,
                    'newest_fence': self.orders.newest_fence,
                },
            )
            return
        await exchange.send_json(200, self._describe_state())

    async def _export_kv(
        self, exchange: faults_module.FaultInjectingExchange, document: dict
    ) -> None:
        """Exports the cached blocks of a request's prefix."""
        parsed = _parse_completion(document)
        if isinstance(parsed, results.Failure):
            await exchange.refuse(400, parsed)
            return
        hashes = _running_request.RunningRequest(parsed).hash_prefix()
        cached_tokens = self.loop.cache.count_cached_tokens(hashes)
        cached_blocks = cached_tokens // _prefix_cache.BLOCK_TOKENS
        handle = _kv_transfer.create_handle(
            hashes[:cached_blocks], self._settings
        )
        await _kv_transfer.simulate_transfer(handle.size_bytes, self._settings)
        await exchange.send_json(
            200,
            {
                'handle': handle.encode(),
                'tokens': cached_tokens,
                'size_bytes': handle.size_bytes,
            },
        )

    async def _import_kv(
        self, exchange: faults_module.FaultInjectingExchange, document: dict
    ) -> None:
        """Adds exported blocks to the cache."""
        handle = _kv_transfer.decode_handle(str(document.get('handle', '')))
        if isinstance(handle, results.Failure):
            await exchange.refuse(400, handle)
            return
        await _kv_transfer.simulate_transfer(handle.size_bytes, self._settings)
        self.loop.cache.store(handle.block_hashes)
        token_count = len(handle.block_hashes) * _prefix_cache.BLOCK_TOKENS
        await exchange.send_json(200, {'tokens': token_count})


def _parse_completion(
    document: dict,
) -> _running_request.CompletionRequest | results.Failure:
    """Validates the body of a completion request."""
    prompt = document.get('prompt')
    messages = document.get('messages')
    max_tokens = document.get('max_tokens', 16)
    resume_tokens = document.get('resume_tokens') or []
    if not isinstance(prompt, str) and not isinstance(messages, list):
        return _invalid_field('prompt or messages is required')
    if not isinstance(max_tokens, int) or max_tokens < 1:
        return _invalid_field('max_tokens must be a positive integer')
    if not all(isinstance(token, str) for token in resume_tokens):
        return _invalid_field('resume_tokens must be a list of strings')
    return _running_request.CompletionRequest(
        str(document.get('request_id', '')),
        _tokens.canonicalize(prompt, messages),
        max_tokens,
        resume_tokens,
    )


def _invalid_field(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.INVALID_FIELD, reason)


async def _cancel_on_disconnect(
    exchange: faults_module.FaultInjectingExchange,
    request: _running_request.RunningRequest,
) -> None:
    """Cancels a request when its client disconnects."""
    await exchange.wait_disconnected()
    request.end(_running_request.FinishReason.CANCELLED)


async def _stream_answer(
    exchange: faults_module.FaultInjectingExchange,
    request: _running_request.RunningRequest,
) -> None:
    """Streams tokens; all tokens that are ready go into one chunk."""
    await exchange.start_stream(200, _EVENT_STREAM)
    sent = 0
    while True:
        await request.wait_for_more_output(sent)
        lines: list[bytes] = []
        for text in request.output[sent:]:
            event = {'index': request.first_index + sent, 'text': text}
            lines.append(_encode_event(event))
            sent += 1
        if lines:
            await exchange.send_chunk(b''.join(lines))
        if request.finish_reason is not None and sent == len(request.output):
            break
    if request.finish_reason is _running_request.FinishReason.ABORTED:
        raise trio.BrokenResourceError('request aborted by an order')
    end = {
        'finish_reason': request.finish_reason.value,
        'prompt_tokens': request.prompt_token_count,
        'completion_tokens': request.next_index,
    }
    await exchange.send_chunk(_encode_event(end) + b'data: [DONE]\n\n')
    await exchange.finish()


def _encode_event(document: dict[str, object]) -> bytes:
    """Encodes a server-sent event."""
    return b'data: ' + orjson.dumps(document) + b'\n\n'


def create_engine(
    settings: _settings.EngineSettings,
    faults: faults_module.Faults,
    *,
    model: str = 'model',
    version: str = '1',
    weight_store: transport.HttpClient | None = None,
) -> Engine:
    """Creates an engine with a loaded model."""
    return Engine(settings, faults, model, version, weight_store)
