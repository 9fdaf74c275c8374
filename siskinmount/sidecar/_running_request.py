"""A running or ended request with its output."""

import enum
import math

import trio

from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _invariant
from siskinmount.sidecar import _run_request

TOKEN_FRAME_BYTES = 120
FRAME_OVERHEAD_BYTES = 64


class StopReason(enum.Enum):
    """Why a request is stopped before its answer is complete."""

    #: The caller or the owner of the job cancelled the request.
    CANCELLED = 'cancelled'

    #: A batch request was preempted by an online one, or waited too long.
    PREEMPTED = 'preempted'

    #: No reader attached again in time.
    ORPHANED = 'orphaned'

    #: The sidecar is stopping and returns batch items.
    LEAVING = 'leaving'


class RunningRequest:
    """Buffers the output of a request and wakes its readers.

    The first frame of a model's answer carries the token after the resumed
    ones. The last frame is an `EndFrame` or a `FailureFrame`.

    Attributes:
        request: The request.
        frames: The output so far.
        scope: Cancelling it stops the request.
        stop_reason: Why the request is stopped, or None.
        sent_to_upstream: Whether a byte can have reached the upstream.
        stopped_at_upstream: Whether the upstream has confirmed that it no
            longer runs the request.
        upstream_generation: Number of the upstream process to which the
            request was sent; 0 before.
        was_alone: Whether no other request ran in that process meanwhile.
        ended: Whether the last frame has been appended.
        ended_at_s: Monotonic time of the last frame.
        reader_count: Number of attached readers.
        reader_generation: Incremented with each reader that attaches.
        fully_read: Whether a reader has received the last frame.
        size_bytes: Estimated memory of the output.
        software_version: Version that wrote the tokens, resumed ones included;
            empty if there are none or the upstream names none.
    """

    __slots__ = (
        'request',
        'frames',
        'scope',
        'stop_reason',
        'sent_to_upstream',
        'stopped_at_upstream',
        'upstream_generation',
        'was_alone',
        'ended',
        'ended_at_s',
        'reader_count',
        'reader_generation',
        'fully_read',
        'size_bytes',
        'software_version',
        '_changed',
    )

    def __init__(self, request: _run_request.RunRequest) -> None:
        self.request = request
        self.frames: list[relay.Frame] = []
        self.scope = trio.CancelScope()
        self.stop_reason: StopReason | None = None
        self.sent_to_upstream = False
        self.stopped_at_upstream = False
        self.upstream_generation = 0
        self.was_alone = False
        self.ended = False
        self.ended_at_s = math.inf
        self.reader_count = 0
        self.reader_generation = 0
        self.fully_read = False
        self.size_bytes = 0
        self.software_version = ''
        if isinstance(request.body, _run_request.ModelBody):
            self.software_version = request.body.resume_version
        self._changed: trio.Event | None = None

    @property
    def last_frame(self) -> relay.Frame | None:
        """The newest frame, or None before the first."""
        return self.frames[-1] if self.frames else None

    @property
    def failure(self) -> results.Failure | None:
        """Why the request failed, or None if it has not."""
        last = self.last_frame
        if isinstance(last, relay.FailureFrame):
            return last.failure
        return None

    def append(self, frame: relay.Frame) -> None:
        """Adds a frame to the output."""
        _invariant.require(
            not self.ended,
            'one_terminal_frame',
            request_id=self.request.request_id,
        )
        self.frames.append(frame)
        if isinstance(frame, relay.TokenFrame):
            self.size_bytes += TOKEN_FRAME_BYTES + len(frame.text)
        elif isinstance(frame, relay.BodyFrame):
            self.size_bytes += FRAME_OVERHEAD_BYTES + len(frame.data)
        else:
            self.size_bytes += FRAME_OVERHEAD_BYTES
            self.ended = isinstance(frame, relay.EndFrame | relay.FailureFrame)
        if self.ended:
            self.ended_at_s = trio.current_time()
        self.wake()

    def wake(self) -> None:
        """Wakes all tasks that wait for a change."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def stop(self, reason: StopReason) -> None:
        """Stops the request unless it has ended."""
        if self.ended or self.stop_reason is not None:
            return
        self.stop_reason = reason
        self.scope.cancel()

    async def wait_change(self) -> None:
        """Returns after the next call of `append` or `wake`."""
        if self._changed is None:
            self._changed = trio.Event()
        await self._changed.wait()

    async def wait_ended(self) -> None:
        """Returns once the last frame has been appended."""
        while not self.ended:
            await self.wait_change()

    def collect_tokens(self) -> list[str]:
        """Returns all tokens so far, including resumed ones."""
        body = self.request.body
        tokens: list[str] = []
        if isinstance(body, _run_request.ModelBody):
            tokens.extend(body.resume_tokens)
        for frame in self.frames:
            if isinstance(frame, relay.TokenFrame):
                tokens.append(frame.text)
        return tokens

    def list_frames_before_start(self, from_token: int) -> list[relay.Frame]:
        """Returns the resumed tokens from `from_token` on, as frames."""
        body = self.request.body
        if not isinstance(body, _run_request.ModelBody):
            return []
        frames: list[relay.Frame] = []
        for index in range(from_token, len(body.resume_tokens)):
            frames.append(relay.TokenFrame(index, body.resume_tokens[index]))
        return frames

    def find_position(self, from_token: int) -> int:
        """Returns the position in `frames` of the token `from_token`.

        Each frame of a plain service's answer counts as one token.
        """
        body = self.request.body
        base = 0
        if isinstance(body, _run_request.ModelBody):
            base = len(body.resume_tokens)
        return max(0, from_token - base)
