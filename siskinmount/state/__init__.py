"""Replicated state, kept as streams of records in the platform's log.

Public API:
    create_state_stream(name, log, writer, limits, is_live, clock_ms): A
        `StateStream` for one term as owner. `await stream.run()` replays and
        claims the stream and returns a `TermEnd`; `await
        stream.commit(record)` returns `Committed(position)` once the record
        has been read back, or a Failure; `stream.enqueue(record)` queues a
        record even while the log is unavailable; `stream.resign()` releases
        the stream; `stream.is_owned`, `epoch`, `is_log_failing`,
        `is_buffer_full`.
    create_ownership_manager(stream_names, own_vm, live_entries,
        create_shard): Runs a term for each stream that this entry should
        own. `find_shard(stream) -> Shard | Failure(NOT_OWNER |
        OWNER_UNKNOWN)`, `owner_vm(stream)`, `owned_shards()`, `run()`,
        `stop()` (releases all streams, after which `run` returns).
    stream_of(key, stream_count), state_stream_names(stream_count),
        owner_of(stream, live_entries): Which stream a key belongs to, and
        which entry should own it.
    create_key_table(stream): Idempotency keys. `begin(key, caller,
        fingerprint, holder) -> Started(attempt) | KnownOutcome(outcome) |
        UnknownOutcome | InProgress | Failure`, `finish(key, caller, attempt,
        outcome)`, `abandon(key, caller, attempt)` if nothing was sent,
        `drop_holder(holder)` when the process that sends the request is lost.
    create_configuration_stream(log, parse, ...): `publish(text,
        base_version, publisher) -> Accepted(version) |
        VersionConflict(winner) | Failure`, `follow()`, `wait_newer(version)`,
        `in_force`, `version`,
        `adopt(version, text)` for a version pulled from a peer, `run()`.
    create_crash_report_stream(log, ...): Tracks requests that crash upstreams.
        `record_crash(fingerprint, vm, incarnation, alone=...)`, `is_suspect`,
        `is_quarantined`, `read_offset`, `run()`.
    Writer(vm, incarnation): Identity of the process, shared by all its
        streams.
    StreamLimits: Size limits and intervals of a stream.
"""

from siskinmount.state._commit_queue import Committed
from siskinmount.state._commit_queue import PendingRecord
from siskinmount.state._configuration_stream import Accepted
from siskinmount.state._configuration_stream import ConfigurationStream
from siskinmount.state._configuration_stream import create_configuration_stream
from siskinmount.state._configuration_stream import VersionConflict
from siskinmount.state._configuration_versions import ConfigurationVersion
from siskinmount.state._crash_report_stream import CrashReportStream
from siskinmount.state._crash_report_stream import create_crash_report_stream
from siskinmount.state._key_table import BeginOutcome
from siskinmount.state._key_table import create_key_table
from siskinmount.state._key_table import InProgress
from siskinmount.state._key_table import KeyTable
from siskinmount.state._key_table import KnownOutcome
from siskinmount.state._key_table import Started
from siskinmount.state._key_table import UnknownOutcome
from siskinmount.state._ownership_manager import create_ownership_manager
from siskinmount.state._ownership_manager import OwnershipManager
from siskinmount.state._ownership_manager import Shard
from siskinmount.state._record_reader import RecordReader
from siskinmount.state._state_machine import Position
from siskinmount.state._state_machine import StateMachine
from siskinmount.state._state_stream import create_state_stream
from siskinmount.state._state_stream import StateStream
from siskinmount.state._state_stream import TermEnd
from siskinmount.state._state_stream import wall_clock_ms
from siskinmount.state._stream_limits import StreamLimits
from siskinmount.state._stream_names import CONFIGURATION_STREAM
from siskinmount.state._stream_names import CRASH_REPORTS_STREAM
from siskinmount.state._stream_names import owner_of
from siskinmount.state._stream_names import state_stream_name
from siskinmount.state._stream_names import state_stream_names
from siskinmount.state._stream_names import stream_of
from siskinmount.state._writer import Writer
