"""Estimates the number of tokens in a prompt before it is sent."""

import orjson

from siskinmount.sidecar import _run_request

INITIAL_CHARACTERS_PER_TOKEN = 4.0
SMOOTHING_FACTOR = 0.1
MIN_CHARACTERS = 32
CACHED_PROMPT_TOKENS = 16


class PromptSizeEstimator:
    """Estimates prompt sizes from a running mean of characters per token.

    Attributes:
        characters_per_token: The running mean.
    """

    __slots__ = ('characters_per_token',)

    def __init__(self) -> None:
        self.characters_per_token = INITIAL_CHARACTERS_PER_TOKEN

    def estimate(self, request: _run_request.RunRequest) -> int:
        """Returns an estimate of the tokens that the engine must prefill."""
        body = request.body
        if isinstance(body, _run_request.PlainBody):
            return 0
        if request.prompt_cached:
            return CACHED_PROMPT_TOKENS + len(body.resume_tokens)
        prompt_tokens = _count_characters(body) / self.characters_per_token
        return int(prompt_tokens) + len(body.resume_tokens)

    def update(
        self, request: _run_request.RunRequest, prompt_tokens: int
    ) -> None:
        """Updates the ratio with the number of tokens the engine counted."""
        body = request.body
        if isinstance(body, _run_request.PlainBody) or prompt_tokens < 1:
            return
        characters = _count_characters(body)
        if characters < MIN_CHARACTERS:
            return
        ratio = characters / prompt_tokens
        self.characters_per_token += SMOOTHING_FACTOR * (
            ratio - self.characters_per_token
        )


def _count_characters(body: _run_request.ModelBody) -> int:
    """Returns the length of a prompt or a conversation."""
    if body.prompt is not None:
        return len(body.prompt)
    return len(orjson.dumps(body.messages))
