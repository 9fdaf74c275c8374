"""A completion request and its progress inside the engine."""

import enum

import trio

from standins.engine import _prefix_cache
from standins.engine import _tokens


class FinishReason(enum.Enum):
    """Why an answer ended."""

    #: The answer ended before the request's bound.
    STOP = 'stop'

    #: The answer reached the request's bound.
    LENGTH = 'length'

    #: The request was cancelled.
    CANCELLED = 'cancelled'

    #: An order replaced the model; the connection is closed without an end
    #: event.
    ABORTED = 'aborted'


class CompletionRequest:
    """Parsed body of a completion request.

    Attributes:
        request_id: Id chosen by the caller; may be empty.
        content: The prompt or the chat as one text.
        max_tokens: Maximum length of the answer, resumed tokens included.
        resume_tokens: Tokens of the answer that were generated before.
    """

    __slots__ = ('request_id', 'content', 'max_tokens', 'resume_tokens')

    def __init__(
        self,
        request_id: str,
        content: str,
        max_tokens: int,
        resume_tokens: list[str],
    ) -> None:
        self.request_id = request_id
        self.content = content
        self.max_tokens = max_tokens
        self.resume_tokens = resume_tokens


class RunningRequest:
    """A request that is queued, in prefill or decoding.

    Attributes:
        request: The parsed request.
        prompt_token_count: Tokens of the prompt alone.
        first_index: Index of the first token generated here.
        answer_token_count: Tokens of the whole answer.
        prefill_left: Tokens still to be computed before the first token;
            None until the request is admitted.
        cached_token_count: Tokens that the prefix cache held on admission.
        output: Tokens generated here.
        finish_reason: Why the request ended, or None while it runs.
    """

    __slots__ = (
        'request',
        'prompt_token_count',
        'first_index',
        'answer_token_count',
        'prefill_left',
        'cached_token_count',
        'output',
        'finish_reason',
        '_prefix_tokens',
        '_content_seed',
        '_changed',
    )

    def __init__(self, request: CompletionRequest) -> None:
        self.request = request
        prompt_tokens = _tokens.split_prompt(request.content)
        self.prompt_token_count = len(prompt_tokens)
        self.first_index = len(request.resume_tokens)
        self.answer_token_count = _tokens.count_answer_tokens(
            request.content, request.max_tokens
        )
        self.prefill_left: int | None = None
        self.cached_token_count = 0
        self.output: list[str] = []
        self.finish_reason: FinishReason | None = None
        self._prefix_tokens = prompt_tokens + [
            token.strip() for token in request.resume_tokens
        ]
        self._content_seed = _tokens.seed_content(request.content)
        self._changed = trio.Event()

    @property
    def next_index(self) -> int:
        """Index of the next token to generate."""
        return self.first_index + len(self.output)

    def admit(self, cache: _prefix_cache.PrefixCache) -> None:
        """Computes the tokens to prefill, from the prefix cache.

        The last prefix token is always computed, also if it is cached.
        """
        prefix_count = max(1, len(self._prefix_tokens))
        cached = cache.count_cached_tokens(
            _prefix_cache.hash_blocks(self._prefix_tokens)
        )
        self.cached_token_count = min(cached, prefix_count - 1)
        self.prefill_left = prefix_count - self.cached_token_count

    def hash_prefix(self) -> list[int]:
        """Returns the block hashes of the prompt and the resumed tokens."""
        return _prefix_cache.hash_blocks(self._prefix_tokens)

    def hash_all(self) -> list[int]:
        """Returns the block hashes of everything computed so far."""
        return _prefix_cache.hash_blocks(
            self._prefix_tokens + [token.strip() for token in self.output]
        )

    def decode(self) -> None:
        """Generates the next token; ends the request after the last one."""
        if self.next_index < self.answer_token_count:
            self.output.append(
                _tokens.generate_token(self._content_seed, self.next_index)
            )
        if self.next_index >= self.answer_token_count:
            stopped = self.answer_token_count < self.request.max_tokens
            self.end(FinishReason.STOP if stopped else FinishReason.LENGTH)
            return
        self._notify()

    def end(self, reason: FinishReason) -> None:
        """Ends the request; an earlier reason is kept."""
        if self.finish_reason is None:
            self.finish_reason = reason
        self._notify()

    async def wait_for_more_output(self, output_count: int) -> None:
        """Waits for more than `output_count` tokens, or for the end."""
        while len(self.output) <= output_count and self.finish_reason is None:
            await self._changed.wait()

    def _notify(self) -> None:
        """Wakes all tasks in `wait_for_more_output`."""
        self._changed.set()
        self._changed = trio.Event()
