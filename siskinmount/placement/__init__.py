"""Load balancing: load and health of upstreams, and the choice of one.

Nothing in this package uses the network. It is designed for bursts of twice the
mean request rate for two seconds while batch items occupy all free slots.
"""

from siskinmount.placement._batch_slots import BatchSlots
from siskinmount.placement._batch_slots import create_batch_slots
from siskinmount.placement._crash_tracker import CrashReport
from siskinmount.placement._crash_tracker import CrashTracker
from siskinmount.placement._crash_tracker import create_crash_tracker
from siskinmount.placement._crash_tracker import make_fingerprint
from siskinmount.placement._crash_tracker import MIN_ADDED_EVENTS
from siskinmount.placement._failure_tally import FailureTally
from siskinmount.placement._load_table import create_load_table
from siskinmount.placement._load_table import LoadTable
from siskinmount.placement._load_table import UpstreamCounts
from siskinmount.placement._overdue_runs import create_overdue_runs
from siskinmount.placement._overdue_runs import OverdueRuns
from siskinmount.placement._overdue_runs import WaitingRun
from siskinmount.placement._part_quarantine import create_part_quarantine
from siskinmount.placement._part_quarantine import PartQuarantine
from siskinmount.placement._part_quarantine import PartRun
from siskinmount.placement._placer import create_placer
from siskinmount.placement._placer import DEFAULT_SLOTS
from siskinmount.placement._placer import NO_UPSTREAM_RETRY_MS
from siskinmount.placement._placer import Placement
from siskinmount.placement._placer import Placer
from siskinmount.placement._placer import Refusal
from siskinmount.placement._placer import RefusalReason
from siskinmount.placement._rate_limit import RateLimit
from siskinmount.placement._rate_limit import RateLimitReport
from siskinmount.placement._rate_limits import create_rate_limits
from siskinmount.placement._rate_limits import RateLimits
from siskinmount.placement._rate_limits import Urgency
from siskinmount.placement._rate_text import parse_rates
from siskinmount.placement._run_times import create_run_times
from siskinmount.placement._run_times import RunTimes
from siskinmount.placement._suspect_part import PartReport
from siskinmount.placement._upstream_health import create_upstream_health
from siskinmount.placement._upstream_health import UpstreamHealth
from siskinmount.placement._upstream_pace import PaceReport
from siskinmount.placement._upstream_paces import create_upstream_paces
from siskinmount.placement._upstream_paces import UpstreamPaces
