"""Tracks the received parts of one response across upstreams."""

from collections.abc import Sequence

from siskinmount import relay
from siskinmount import results


class ResponseProgress:
    """Passes each part of a response on once and in order.

    A run that is reattached to, or that continues at another upstream, sends
    parts that have been received before; these are dropped.

    Attributes:
        token_texts: Texts of all tokens so far, including those that the
            caller received through another entry.
        software_version: Version of the engine that wrote them; empty if there
            are none or the engine names none.
        head_received: Whether the response head of a plain service has been
            received.
    """

    __slots__ = (
        'token_texts',
        'software_version',
        'head_received',
        '_first_token',
        '_body_bytes_received',
        '_body_bytes_to_skip',
    )

    def __init__(
        self,
        first_token: int,
        answer_so_far: Sequence[str] = (),
        software_version: str = '',
    ) -> None:
        self.token_texts: list[str] = list(answer_so_far)
        self.software_version = software_version
        self.head_received = False
        self._first_token = first_token
        self._body_bytes_received = 0
        self._body_bytes_to_skip = 0

    def begin_stream(self) -> None:
        """Prepares for a new stream, which repeats a plain body from byte 0."""
        self._body_bytes_to_skip = self._body_bytes_received

    def accept(
        self, frame: relay.Frame
    ) -> relay.Frame | results.Failure | None:
        """Returns the part of a frame that is new to the caller, or None.

        Returns a failure if a part before this frame is missing.
        """
        if isinstance(frame, relay.TokenFrame):
            return self._accept_token(frame)
        if isinstance(frame, relay.BodyFrame):
            return self._accept_body(frame)
        if isinstance(frame, relay.HeadFrame):
            if self.head_received:
                return None
            self.head_received = True
        return frame

    def _accept_token(
        self, frame: relay.TokenFrame
    ) -> relay.Frame | results.Failure | None:
        """Accepts a token if it directly follows the last one."""
        expected = len(self.token_texts)
        if frame.index < expected:
            return None
        if frame.index > expected:
            return results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                f'received token {frame.index}, expected {expected}',
                results.RunState.RAN,
            )
        if not self.token_texts:
            self.software_version = frame.software_version
        self.token_texts.append(frame.text)
        # The caller already has the tokens before `_first_token`; they are
        # kept because another upstream needs them to resume.
        return None if frame.index < self._first_token else frame

    def _accept_body(self, frame: relay.BodyFrame) -> relay.Frame | None:
        """Accepts the bytes that have not been received before."""
        skipped = min(self._body_bytes_to_skip, len(frame.data))
        self._body_bytes_to_skip -= skipped
        data = frame.data[skipped:]
        self._body_bytes_received += len(data)
        return relay.BodyFrame(data) if data else None
