"""The software that began a stream, which alone may go on with it.

A stream that was broken off may be resumed at any member, also after all
members were lost together. Each service has a version that streams without a
record began at; streams of other versions are recorded before their first event
reaches the caller.
"""

from siskinmount.stream_origins._origin_recorder import create_origin_recorder
from siskinmount.stream_origins._origin_recorder import OriginRecorder
from siskinmount.stream_origins._origin_recorder import PendingRecord
from siskinmount.stream_origins._origin_table import create_origin_table
from siskinmount.stream_origins._origin_table import make_stream_key
from siskinmount.stream_origins._origin_table import OriginTable
from siskinmount.stream_origins._origin_table import STREAM_LIFE_S
from siskinmount.stream_origins._origin_table import StreamKey
from siskinmount.stream_origins._origin_table import StreamOrigin
from siskinmount.stream_origins._record_codec import decode_origins
from siskinmount.stream_origins._record_codec import encode_origins
from siskinmount.stream_origins._version_policy import FleetSnapshot
from siskinmount.stream_origins._version_policy import plan_next_row
from siskinmount.stream_origins._version_table import create_version_table
from siskinmount.stream_origins._version_table import VersionRow
from siskinmount.stream_origins._version_table import VersionTable
