"""Frames that stream the response to a request from a sidecar to an entry."""

from siskinmount.relay._fingerprint import create_fingerprint
from siskinmount.relay._frame_codec import decode_failure
from siskinmount.relay._frame_codec import decode_frame
from siskinmount.relay._frame_codec import encode_failure
from siskinmount.relay._frame_codec import encode_frame
from siskinmount.relay._frame_codec import FrameReader
from siskinmount.relay._frames import BodyFrame
from siskinmount.relay._frames import EndFrame
from siskinmount.relay._frames import FailureFrame
from siskinmount.relay._frames import Frame
from siskinmount.relay._frames import HeadFrame
from siskinmount.relay._frames import KeepAliveFrame
from siskinmount.relay._frames import TokenFrame
from siskinmount.relay._header_names import RelayHeader
