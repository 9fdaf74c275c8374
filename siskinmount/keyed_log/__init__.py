"""A durable log with keys: what is needed of it, and following it.

Public API:
    KeyedLog: Protocol of one partition.
    KeyedRecord, LogPage, HistoryGone, AppendRefusal: What it takes and gives.
    LogFollower, create_log_follower(name, log, take_record): A local view.
"""

from siskinmount.keyed_log._keyed_log import AppendRefusal
from siskinmount.keyed_log._keyed_log import HistoryGone
from siskinmount.keyed_log._keyed_log import KeyedLog
from siskinmount.keyed_log._keyed_log import KeyedRecord
from siskinmount.keyed_log._keyed_log import LogPage
from siskinmount.keyed_log._log_follower import create_log_follower
from siskinmount.keyed_log._log_follower import LogFollower
from siskinmount.keyed_log._log_follower import LONGEST_READ_WAIT_MS
