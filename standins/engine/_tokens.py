"""Deterministic answers: a pure function of the request's content."""

import re

import orjson
import xxhash

_STOP_AFTER = re.compile(r'stop_after=(\d+)')
# Include characters that need escapes in JSON, non-ASCII characters and an
# end-of-sequence marker.
_TOKEN_SUFFIXES = ('', '', '', '', '"', '\\', 'é', '雀', '</s>', ',', '.', "'")


def canonicalize(prompt: str | None, messages: list | None) -> str:
    """Returns a request's content as one text."""
    if prompt is not None:
        return prompt
    lines: list[str] = []
    for message in messages or []:
        content = message.get('content', '')
        if not isinstance(content, str):
            content = orjson.dumps(content).decode('utf-8')
        lines.append(f'<{message.get("role", "")}> {content}')
    return '\n'.join(lines)


def split_prompt(content: str) -> list[str]:
    """Returns the tokens of a request's content."""
    return content.split()


def fingerprint_content(content: str) -> str:
    """Returns a short hash of a request's content, as hex digits."""
    return xxhash.xxh64_hexdigest(content.encode('utf-8'))


def count_answer_tokens(content: str, max_tokens: int) -> int:
    """Returns the length of the answer to a request in tokens."""
    match = _STOP_AFTER.search(content)
    if match is None:
        return max_tokens
    return min(max_tokens, int(match.group(1)))


def generate_token(content_seed: int, index: int) -> str:
    """Returns the text of one token of an answer.

    Args:
        content_seed: Result of `seed_content`.
        index: Position in the answer, from 0.
    """
    digest = xxhash.xxh64_intdigest(b'%d' % index, content_seed)
    suffix = _TOKEN_SUFFIXES[(digest >> 20) % len(_TOKEN_SUFFIXES)]
    return f' {digest & 0xFFFFF:05x}{suffix}'


def seed_content(content: str) -> int:
    """Returns the seed of `generate_token` for a request's content."""
    return xxhash.xxh64_intdigest(content.encode('utf-8'))


def expected_tokens(
    prompt: str | None, messages: list | None, max_tokens: int
) -> list[str]:
    """Returns the complete answer to a request as a list of tokens.

    Args:
        prompt: The prompt, or None for a chat.
        messages: The messages of a chat; ignored if there is a prompt.
        max_tokens: Maximum length of the answer.
    """
    content = canonicalize(prompt, messages)
    content_seed = seed_content(content)
    count = count_answer_tokens(content, max_tokens)
    return [generate_token(content_seed, index) for index in range(count)]
