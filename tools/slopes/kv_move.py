"""Compares two ways of moving a session to another engine.

The next engine either computes the prompt again, or imports the KV cache that
the last engine exports. Prints one JSON line per figure: the time to the first
token at the next engine, and the longest gap that another stream there sees
meanwhile.
"""

import random
import statistics
import time

from absl import app
from absl import flags
import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import processes

_ROUNDS = flags.DEFINE_integer('rounds', 5, 'Moves of each kind and size.')
_SIZES = flags.DEFINE_list(
    'prompt_tokens', ['256', '1024', '4096'], 'Lengths of prompts.'
)

MAX_BODY_BYTES = 1 << 24
BESIDE_TOKENS = 100_000
MS_PER_S = 1000


def _report(figure: str, tokens: int, value: float) -> None:
    """Prints one figure."""
    document = {
        'figure': figure,
        'prompt_tokens': tokens,
        'value': round(value, 1),
        'unit': 'ms',
    }
    print(orjson.dumps(document).decode('ascii'), flush=True)


class _Engine:
    """Calls one engine."""

    __slots__ = ('_client',)

    def __init__(self, address: transport.Address) -> None:
        self._client = transport.create_http_client(address)

    async def post(self, path: str, document: dict[str, object]) -> dict:
        """Posts a document and returns the answer's."""
        with await self._open(path, document) as exchange:
            return orjson.loads(await exchange.read_body(MAX_BODY_BYTES))

    async def wait_first_token(self, prompt: str) -> None:
        """Returns once a request has its first token, and gives it up."""
        document = {'request_id': '', 'prompt': prompt, 'max_tokens': 2}
        with await self._open('/v1/completions', document) as exchange:
            await exchange.receive_chunk()

    async def watch_gaps(self, gaps_s: list[float]) -> None:
        """Decodes indefinitely and records the time between tokens."""
        document = {
            'request_id': 'beside',
            'prompt': 'a stream beside',
            'max_tokens': BESIDE_TOKENS,
        }
        with await self._open('/v1/completions', document) as exchange:
            last_s = time.monotonic()
            while True:
                await exchange.receive_chunk()
                now_s = time.monotonic()
                gaps_s.append(now_s - last_s)
                last_s = now_s

    async def _open(
        self, path: str, document: dict[str, object]
    ) -> transport.ClientExchange:
        """Sends a request.

        Raises:
            RuntimeError: The engine cannot be reached.
        """
        exchange = await self._client.send(
            transport.ClientRequest('POST', path, [], orjson.dumps(document))
        )
        if isinstance(exchange, results.Failure):
            raise RuntimeError(repr(exchange))
        return exchange


async def _move(last: _Engine, following: _Engine, prompt: str) -> None:
    """Moves the KV cache of a prompt."""
    exported = await last.post('/v1/kv/export', {'prompt': prompt})
    await following.post('/v1/kv/import', {'handle': exported['handle']})


async def _measure_size(
    last: _Engine, following: _Engine, gaps_s: list[float], tokens: int
) -> None:
    """Measures both ways for one length, taking turns."""
    for moves_cache in (False, True):
        first_token_ms: list[float] = []
        longest_gap_ms: list[float] = []
        for _ in range(_ROUNDS.value):
            prompt = _create_prompt(tokens)
            await last.wait_first_token(prompt)
            gaps_s.clear()
            started_s = time.monotonic()
            if moves_cache:
                await _move(last, following, prompt)
            await following.wait_first_token(prompt)
            elapsed_s = time.monotonic() - started_s
            first_token_ms.append(elapsed_s * MS_PER_S)
            longest_gap_ms.append(max(gaps_s, default=0.0) * MS_PER_S)
        name = 'moved' if moves_cache else 'computed'
        _report(
            f'first_token_{name}', tokens, statistics.median(first_token_ms)
        )
        _report(f'gap_beside_{name}', tokens, statistics.median(longest_gap_ms))


def _create_prompt(tokens: int) -> str:
    """Returns a prompt that no cache holds."""
    return ' '.join(f'w{random.getrandbits(48):x}' for _ in range(tokens))


async def _measure() -> None:
    """Starts two engines and measures all lengths."""
    async with processes.open_process_group() as group:
        engines: list[_Engine] = []
        for name in ('last', 'following'):
            process = await group.start_module(name, 'standins.engine', [])
            if process.listening is None:
                raise RuntimeError('the engine named no address')
            engines.append(_Engine(process.listening))
        gaps_s: list[float] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engines[1].watch_gaps, gaps_s)
            for size in _SIZES.value:
                await _measure_size(engines[0], engines[1], gaps_s, int(size))
            nursery.cancel_scope.cancel()


def main(unused_argv: list[str]) -> None:
    """Runs all measurements."""
    trio.run(_measure)


if __name__ == '__main__':
    app.run(main)
