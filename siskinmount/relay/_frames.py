"""Frame types of a streamed response."""

from siskinmount import results


class TokenFrame:
    """One generated token.

    Attributes:
        index: Position in the whole answer, from 0, including resumed tokens.
        text: Text of the token.
        software_version: Version of the engine that wrote it, on the first
            token that a reader gets; empty if the engine names none.
    """

    __slots__ = ('index', 'text', 'software_version')

    def __init__(
        self, index: int, text: str, software_version: str = ''
    ) -> None:
        self.index = index
        self.text = text
        self.software_version = software_version


class HeadFrame:
    """Status and headers of a plain service's response.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value.
    """

    __slots__ = ('status', 'headers')

    def __init__(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status
        self.headers = headers


class BodyFrame:
    """A part of the body of a plain service's response.

    Attributes:
        data: The bytes.
    """

    __slots__ = ('data',)

    def __init__(self, data: bytes) -> None:
        self.data = data


class KeepAliveFrame:
    """Sent while there is no output, to show that the sender is alive."""

    __slots__ = ()


class EndFrame:
    """Marks the end of a complete answer.

    Attributes:
        finish_reason: Why generation ended: `stop` or `length`; empty for
            plain services.
        prompt_tokens: Number of tokens in the prompt.
        completion_tokens: Number of tokens in the whole answer.
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
    """Marks the end of an answer that the sender cannot complete.

    Attributes:
        failure: The cause, and whether the request was executed.
        upstream_generation: Number of the upstream process that ended while it
            ran the request, counted by the sidecar from 1; 0 if none ended.
        was_alone: Whether that process ran no other request at the time.
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
