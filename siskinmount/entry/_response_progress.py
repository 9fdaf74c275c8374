"""What there is of one answer, whichever upstreams it came from."""

from collections.abc import Sequence

from siskinmount import relay
from siskinmount import results


class ResponseProgress:
    """Lets each part of an answer through once and in order.

    A run that is attached to again, or that goes on elsewhere, sends parts
    that have been received before.

    Attributes:
        token_texts: Texts of all tokens so far, those that the caller has had
            from another entry included.
        head_received: Whether a plain service's answer has begun.
    """

    __slots__ = (
        'token_texts',
        'head_received',
        '_first_token',
        '_body_bytes_received',
        '_body_bytes_to_skip',
    )

    def __init__(
        self, first_token: int, answer_so_far: Sequence[str] = ()
    ) -> None:
        self.token_texts: list[str] = list(answer_so_far)
        self.head_received = False
        self._first_token = first_token
        self._body_bytes_received = 0
        self._body_bytes_to_skip = 0

    def begin_stream(self) -> None:
        """Prepares for a stream that sends a plain body from its start."""
        self._body_bytes_to_skip = self._body_bytes_received

    def accept(
        self, frame: relay.Frame
    ) -> relay.Frame | results.Failure | None:
        """Returns what of a frame is new to the caller, or None.

        A failure says that a part is missing before this one.
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
        """Takes the token that follows the last one."""
        expected = len(self.token_texts)
        if frame.index < expected:
            return None
        if frame.index > expected:
            return results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                f'token {frame.index} came in place of {expected}',
                results.RunState.RAN,
            )
        self.token_texts.append(frame.text)
        # The caller has the tokens before; the run itself needs them to go on
        # at another upstream.
        return None if frame.index < self._first_token else frame

    def _accept_body(self, frame: relay.BodyFrame) -> relay.Frame | None:
        """Takes the bytes that follow the last ones."""
        skipped = min(self._body_bytes_to_skip, len(frame.data))
        self._body_bytes_to_skip -= skipped
        data = frame.data[skipped:]
        self._body_bytes_received += len(data)
        return relay.BodyFrame(data) if data else None
