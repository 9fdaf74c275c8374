"""Tests of the engine's batching, cache and tokens, without sockets."""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from standins import engine
from standins import faults as faults_module
from standins.engine import _batch_loop
from standins.engine import _cache_events
from standins.engine import _prefix_cache
from standins.engine import _running_request

_PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=50
)


def _create_loop(**settings):
    cache = _prefix_cache.PrefixCache(
        settings.get('cache_blocks', 2048), lambda kind, block_hash: None
    )
    return _batch_loop.BatchLoop(
        engine.EngineSettings(**settings), cache, faults_module.Faults()
    )


def _create_request(content, max_tokens, resume_tokens=()):
    return _running_request.RunningRequest(
        _running_request.CompletionRequest(
            'r', content, max_tokens, list(resume_tokens)
        )
    )


def _run_loop(loop, check):
    """Runs `check()` concurrently with the loop on a mock clock."""

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loop.run)
            await check()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _finish(request):
    while request.finish_reason is None:
        await request.wait_for_more_output(len(request.output))


class EngineLoopTest(testtools.TestCase):

    @_PROPERTY
    @hypothesis.given(
        strategies.text(max_size=200),
        strategies.integers(1, 40),
        strategies.integers(0, 40),
        strategies.integers(0, 50),
    )
    def test_resumed_answer_is_the_same(
        self, prompt, max_tokens, cut, stop_after
    ):
        content = f'{prompt} stop_after={stop_after}'
        expected = engine.expected_tokens(content, None, max_tokens)
        done = expected[: min(cut, len(expected))]
        loop = _create_loop()
        request = _create_request(content, max_tokens, done)

        async def check():
            loop.submit(request)
            await _finish(request)

        _run_loop(loop, check)
        self.assertEqual(expected, done + request.output)
        self.assertEqual(len(expected), request.next_index)

    def test_answer_depends_on_content_only(self):
        chat = [{'role': 'user', 'content': 'hello'}]
        first = engine.expected_tokens(None, chat, 20)
        self.assertEqual(first, engine.expected_tokens(None, chat, 20))
        self.assertEqual(first[:5], engine.expected_tokens(None, chat, 5))
        self.assertNotEqual(first, engine.expected_tokens('hello', None, 20))

    def test_stop_marker_ends_answer(self):
        for max_tokens, expected in ((10, 'stop'), (4, 'length')):
            loop = _create_loop()
            request = _create_request('a stop_after=4', max_tokens)

            async def check(loop=loop, request=request):
                loop.submit(request)
                await _finish(request)

            _run_loop(loop, check)
            self.assertEqual(4, len(request.output))
            self.assertEqual(expected, request.finish_reason.value)

    def test_step_time_grows_with_prefill_and_decodes(self):
        settings = engine.EngineSettings()
        for prefill_tokens, decoding, expected_ms in (
            (0, 0, 12.0),
            (0, 5, 16.0),
            (100, 5, 28.0),
            (512, 1, 74.24),
        ):
            work = engine.StepWork(prefill_tokens, [None] * decoding)
            self.assertAlmostEqual(
                expected_ms, engine.compute_step_ms(settings, work)
            )

    def test_long_prompt_is_prefilled_in_chunks_beside_decodes(self):
        loop = _create_loop(prefill_chunk_tokens=100)
        decoding = _create_request('short', 1000)
        long = _create_request('word ' * 1000, 1)
        gaps_ms = []

        async def check():
            loop.submit(decoding)
            await decoding.wait_for_more_output(5)
            loop.submit(long)
            while long.finish_reason is None:
                await decoding.wait_for_more_output(len(decoding.output))
                gaps_ms.append(loop.last_step_ms)

        _run_loop(loop, check)
        self.assertEqual(1000, long.prompt_token_count)
        # The step of the last chunk also decodes a token of the long request.
        self.assertEqual([24.8] * 8 + [25.6], gaps_ms[1:10])

    def test_batch_is_bounded_and_queue_is_first_in_first_out(self):
        loop = _create_loop(max_running=2)
        requests = [_create_request(f'p{i}', 10) for i in range(4)]

        async def check():
            for request in requests:
                loop.submit(request)
            await requests[0].wait_for_more_output(0)
            self.assertEqual(requests[:2], loop.running)
            self.assertEqual(requests[2:], list(loop.waiting))
            await _finish(requests[3])

        _run_loop(loop, check)

    def test_cancelled_request_leaves_batch(self):
        loop = _create_loop(max_running=1)
        cancelled = _create_request('a', 1000)
        waiting = _create_request('b', 3)

        async def check():
            loop.submit(cancelled)
            loop.submit(waiting)
            await cancelled.wait_for_more_output(2)
            cancelled.end(_running_request.FinishReason.CANCELLED)
            await _finish(waiting)

        _run_loop(loop, check)
        self.assertLess(len(cancelled.output), 6)
        self.assertEqual(3, len(waiting.output))

    def test_cached_prefix_shortens_prefill(self):
        loop = _create_loop()
        first = _create_request('word ' * 64 + 'one', 1)
        second = _create_request('word ' * 64 + 'two', 1)

        async def check():
            for request in (first, second):
                loop.submit(request)
                await _finish(request)

        _run_loop(loop, check)
        self.assertEqual(0, first.cached_token_count)
        self.assertEqual(64, second.cached_token_count)
        self.assertEqual(65 + 1, loop.prefilled_count)

    def test_least_recently_used_blocks_are_evicted(self):
        changes = []
        cache = _prefix_cache.PrefixCache(
            4, lambda kind, block_hash: changes.append((kind, block_hash))
        )
        old = _prefix_cache.hash_blocks(['a'] * 32)
        kept = _prefix_cache.hash_blocks(['b'] * 32)
        new = _prefix_cache.hash_blocks(['c'] * 16)
        cache.store(old)
        cache.store(kept)
        cache.store(new)
        # The last block of a chain is evicted before its first.
        self.assertEqual(('evicted', old[1]), changes[-1])
        self.assertEqual(16, cache.count_cached_tokens(old))
        self.assertEqual(32, cache.count_cached_tokens(kept))
        self.assertEqual(16, cache.count_cached_tokens(new))

    @_PROPERTY
    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.sampled_from('ab'), max_size=80),
            max_size=20,
        )
    )
    def test_cache_is_bounded_and_holds_only_whole_prefixes(self, prompts):
        cache = _prefix_cache.PrefixCache(3, lambda kind, block_hash: None)
        for prompt in prompts:
            hashes = _prefix_cache.hash_blocks(prompt)
            cache.store(hashes)
            self.assertLessEqual(len(cache), 3)
            expected = min(3, len(hashes)) * _prefix_cache.BLOCK_TOKENS
            self.assertEqual(expected, cache.count_cached_tokens(hashes))

    def test_cache_events_are_delayed_and_have_gaps(self):
        async def main():
            events = _cache_events.CacheEventLog(100, 0.3, 7)
            for block_hash in range(100):
                events.add('stored', block_hash)
            self.assertEqual([], events.read(0))
            await trio.sleep(0.2)
            seen = [event.sequence for event in events.read(0)]
            self.assertEqual(sorted(seen), seen)
            self.assertLess(len(seen), 90)
            self.assertGreater(len(seen), 50)
            self.assertEqual([], events.read(seen[-1]))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_frozen_engine_makes_no_step(self):
        faults = faults_module.Faults()
        loop = _batch_loop.BatchLoop(
            engine.EngineSettings(),
            _prefix_cache.PrefixCache(10, lambda kind, block_hash: None),
            faults,
        )
        request = _create_request('a', 1000)

        async def check():
            loop.submit(request)
            await request.wait_for_more_output(3)
            faults.freeze(10_000)
            count = loop.step_count
            await trio.sleep(9)
            self.assertEqual(count, loop.step_count)
            await request.wait_for_more_output(len(request.output) + 3)

        _run_loop(loop, check)
