"""Generates requests: prompts with shared prefixes, and chat sessions."""

import random

from standins import engine
from tools.load import _arrivals

_WORDS = (
    'lakeside cabin swap week family beach house garden dates host question'
    ' truck driver battery tyre road shoulder callout depot invoice sheet'
).split()


class WorkloadShape:
    """Sizes of requests; lengths are in tokens.

    Attributes:
        prefix_count: Number of different shared prefixes.
        prefix_tokens: Length of a shared prefix.
        prompt_tokens: Mean length of the text that follows the prefix.
        long_share: Share of requests with a long prompt.
        long_factor: Mean length of a long prompt, as a multiple of
            `prompt_tokens`.
        min_answer_tokens: Shortest answer.
        max_answer_tokens: Longest answer.
        session_share: Share of requests that are turns of a session.
        session_turns: Number of turns of a session.
    """

    __slots__ = (
        'prefix_count',
        'prefix_tokens',
        'prompt_tokens',
        'long_share',
        'long_factor',
        'min_answer_tokens',
        'max_answer_tokens',
        'session_share',
        'session_turns',
    )

    def __init__(
        self,
        *,
        prefix_count: int = 8,
        prefix_tokens: int = 128,
        prompt_tokens: int = 64,
        long_share: float = 0.05,
        long_factor: int = 10,
        min_answer_tokens: int = 16,
        max_answer_tokens: int = 96,
        session_share: float = 0.3,
        session_turns: int = 4,
    ) -> None:
        self.prefix_count = prefix_count
        self.prefix_tokens = prefix_tokens
        self.prompt_tokens = prompt_tokens
        self.long_share = long_share
        self.long_factor = long_factor
        self.min_answer_tokens = min_answer_tokens
        self.max_answer_tokens = max_answer_tokens
        self.session_share = session_share
        self.session_turns = session_turns


class LoadRequest:
    """One request to send.

    Attributes:
        intended_s: Time of sending, from the start of the run.
        prompt: The prompt, or None for a chat.
        messages: Messages of a chat, or None for a prompt.
        max_tokens: Largest length of the answer in tokens.
        session: Name of the session; empty for a request without one.
    """

    __slots__ = ('intended_s', 'prompt', 'messages', 'max_tokens', 'session')

    def __init__(
        self,
        *,
        intended_s: float,
        prompt: str | None,
        messages: list[dict[str, str]] | None,
        max_tokens: int,
        session: str = '',
    ) -> None:
        self.intended_s = intended_s
        self.prompt = prompt
        self.messages = messages
        self.max_tokens = max_tokens
        self.session = session

    def find_answer(self) -> list[str]:
        """Returns the tokens of the correct answer."""
        return engine.expected_tokens(
            self.prompt, self.messages, self.max_tokens
        )


class _Session:
    """A chat session in progress."""

    __slots__ = ('name', 'messages', 'turns_left')

    def __init__(self, name: str, system_prompt: str, turns_left: int) -> None:
        self.name = name
        self.messages = [{'role': 'system', 'content': system_prompt}]
        self.turns_left = turns_left


class Workload:
    """Generates requests, which the shape, seed and label determine."""

    __slots__ = (
        '_shape',
        '_rng',
        '_label',
        '_prefixes',
        '_sessions',
        '_count',
    )

    def __init__(self, shape: WorkloadShape, seed: int, label: str) -> None:
        self._shape = shape
        self._rng = random.Random(seed)
        self._label = label
        self._prefixes = [
            self._create_text(f'prefix {label} {number}', shape.prefix_tokens)
            for number in range(shape.prefix_count)
        ]
        self._sessions: list[_Session] = []
        self._count = 0

    def create_request(self, intended_s: float) -> LoadRequest:
        """Creates the next request."""
        self._count += 1
        max_tokens = self._rng.randint(
            self._shape.min_answer_tokens, self._shape.max_answer_tokens
        )
        question = self._create_question()
        if self._rng.random() < self._shape.session_share:
            return self._create_turn(intended_s, question, max_tokens)
        return LoadRequest(
            intended_s=intended_s,
            prompt=f'{self._choose_prefix()} {question}',
            messages=None,
            max_tokens=max_tokens,
        )

    def _create_turn(
        self, intended_s: float, question: str, max_tokens: int
    ) -> LoadRequest:
        """Creates the next turn of an open or a new session.

        The stand-in's answers to earlier turns can be computed, so a turn
        does not wait for them.
        """
        session = self._choose_session()
        session.messages.append({'role': 'user', 'content': question})
        request = LoadRequest(
            intended_s=intended_s,
            prompt=None,
            messages=list(session.messages),
            max_tokens=max_tokens,
            session=session.name,
        )
        answer = ''.join(request.find_answer())
        session.messages.append({'role': 'assistant', 'content': answer})
        session.turns_left -= 1
        if not session.turns_left:
            self._sessions.remove(session)
        return request

    def _choose_session(self) -> _Session:
        # While sessions are open, half of the turns still begin a new one.
        if self._sessions and self._rng.random() < 0.5:
            return self._rng.choice(self._sessions)
        session = _Session(
            f'{self._label}-{self._count}',
            self._choose_prefix(),
            self._shape.session_turns,
        )
        self._sessions.append(session)
        return session

    def _choose_prefix(self) -> str:
        """Draws a shared prefix; the first ones are the most frequent."""
        weights = [1 / (rank + 1) for rank in range(len(self._prefixes))]
        return self._rng.choices(self._prefixes, weights)[0]

    def _create_question(self) -> str:
        mean_tokens = self._shape.prompt_tokens
        if self._rng.random() < self._shape.long_share:
            mean_tokens *= self._shape.long_factor
        token_count = self._rng.randint(mean_tokens // 2, mean_tokens * 3 // 2)
        return self._create_text(f'{self._label} {self._count}', token_count)

    def _create_text(self, start: str, token_count: int) -> str:
        words = start.split()
        missing_count = max(0, token_count - len(words))
        return ' '.join(words + self._rng.choices(_WORDS, k=missing_count))


def create_workload(
    shape: WorkloadShape, seed: int, label: str = 'load'
) -> Workload:
    """Creates a workload.

    Args:
        shape: Sizes of requests.
        seed: Seed of the random choices.
        label: Part of each prompt, so that workloads with different labels
            share no prompt.
    """
    return Workload(shape, seed, label)


def create_requests(
    shape: WorkloadShape,
    pattern: _arrivals.ArrivalPattern,
    duration_s: float,
    seed: int,
    label: str = 'load',
) -> list[LoadRequest]:
    """Returns all requests of a run in the order of their intended times."""
    workload = create_workload(shape, seed, label)
    arrivals = _arrivals.choose_arrivals(pattern, duration_s, seed)
    return [workload.create_request(arrival_s) for arrival_s in arrivals]
