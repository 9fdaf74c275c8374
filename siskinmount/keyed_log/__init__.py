"""A durable log of records with keys: its protocol and a follower.

Public API:
    KeyedLog: Protocol of one partition.
    EndReadableLog: Protocol of one that can be asked for its end alone.
    KeyedRecord, LogPage, OffsetExpired, AppendRefusal: Arguments and results.
    LogFollower, create_log_follower(name, log, on_record): Follows a partition.
    LogEnd: Where a log ended when it was read.
"""

from siskinmount.keyed_log._keyed_log import AppendRefusal
from siskinmount.keyed_log._keyed_log import EndReadableLog
from siskinmount.keyed_log._keyed_log import KeyedLog
from siskinmount.keyed_log._keyed_log import KeyedRecord
from siskinmount.keyed_log._keyed_log import LogPage
from siskinmount.keyed_log._keyed_log import OffsetExpired
from siskinmount.keyed_log._log_follower import create_log_follower
from siskinmount.keyed_log._log_follower import LogEnd
from siskinmount.keyed_log._log_follower import LogFollower
from siskinmount.keyed_log._log_follower import LONGEST_READ_WAIT_MS
from siskinmount.keyed_log._shared_sync import create_shared_sync
from siskinmount.keyed_log._shared_sync import SharedSync
