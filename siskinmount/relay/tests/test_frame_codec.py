"""Tests of the frame codec."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import relay
from siskinmount import results

_FRAMES = (
    relay.TokenFrame(3, 'naïve\n'),
    relay.KeepAliveFrame(),
    relay.HeadFrame(201, [('a', 'b'), ('a', 'c')]),
    relay.BodyFrame(bytes(range(256))),
    relay.EndFrame('stop', 4, 5),
    relay.FailureFrame(
        results.Failure(
            results.ResultCode.UPSTREAM_LOST,
            'gone',
            results.RunState.UNKNOWN,
            250,
        ),
        upstream_generation=2,
        was_alone=True,
    ),
)


def _describe(value):
    """Returns the fields of a frame, including nested ones."""
    if not hasattr(value, '__slots__'):
        return value
    return type(value).__name__, [
        _describe(getattr(value, name)) for name in value.__slots__
    ]


class FrameCodecTest(testtools.TestCase):

    def test_encoded_frames_decode_unchanged(self):
        for frame in _FRAMES:
            decoded = relay.decode_frame(relay.encode_frame(frame))
            self.assertEqual(_describe(frame), _describe(decoded))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(1, 40)))
    def test_frames_survive_any_division_into_reads(self, sizes):
        data = b''.join(relay.encode_frame(frame) for frame in _FRAMES)
        reader = relay.FrameReader()
        received = []
        for size in [*sizes, len(data)]:
            received.extend(reader.feed(data[:size]))
            data = data[size:]
        self.assertEqual(
            [_describe(frame) for frame in _FRAMES],
            [_describe(frame) for frame in received],
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=80))
    def test_no_line_raises(self, line):
        relay.decode_frame(line)
