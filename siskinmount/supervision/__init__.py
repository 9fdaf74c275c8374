"""Supervision tree: restarts failed children, escalates repeated failures."""

from siskinmount.supervision._stop_signal import watch_stop_signal
from siskinmount.supervision._supervisor import Child
from siskinmount.supervision._supervisor import RestartLimitError
from siskinmount.supervision._supervisor import run_supervisor
