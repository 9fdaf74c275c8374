"""Typed frames of a running request."""

from siskinmount import results


class TokenFrame:
    """One generated token.

    Attributes:
        index: Position in the whole answer, from 0, resumed tokens included.
        text: The token's text.
    """

    __slots__ = ('index', 'text')

    def __init__(self, index: int, text: str) -> None:
        self.index = index
        self.text = text


class HeadFrame:
    """Status and headers of a plain service's answer.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value.
    """

    __slots__ = ('status', 'headers')

    def __init__(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status
        self.headers = headers


class BodyFrame:
    """A part of the body of a plain service's answer.

    Attributes:
        data: The bytes.
    """

    __slots__ = ('data',)

    def __init__(self, data: bytes) -> None:
        self.data = data


class KeepAliveFrame:
    """Shows that the sender lives while there is nothing to send."""

    __slots__ = ()


class EndFrame:
    """The answer is whole.

    Attributes:
        finish_reason: Why generation ended: `stop` or `length`; empty for
            plain services.
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens of the whole answer.
    """

    __slots__ = ('finish_reason', 'prompt_tokens', 'completion_tokens')

    def __init__(
        self,
        finish_reason: str = '',
        prompt_tokens: int = 0,
        completion_tokens: int = 0,
    ) -> None:
        self.finish_reason = finish_reason
        self.prompt_tokens = prompt_tokens
        self.completion_tokens = completion_tokens


class FailureFrame:
    """The answer will not become whole here.

    Attributes:
        failure: Why, and whether the request was executed.
        upstream_generation: Number of the upstream's process that ended while
            it ran the request, counted by the sidecar from 1; 0 if none did.
        was_alone: Whether no other request ran at that process meanwhile.
    """

    __slots__ = ('failure', 'upstream_generation', 'was_alone')

    def __init__(
        self,
        failure: results.Failure,
        upstream_generation: int = 0,
        was_alone: bool = False,
    ) -> None:
        self.failure = failure
        self.upstream_generation = upstream_generation
        self.was_alone = was_alone


Frame = (
    TokenFrame
    | HeadFrame
    | BodyFrame
    | KeepAliveFrame
    | EndFrame
    | FailureFrame
)
