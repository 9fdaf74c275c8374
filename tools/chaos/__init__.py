"""Runs a fleet under a seeded fault schedule and checks its guarantees."""

from tools.chaos._checker import find_violations
from tools.chaos._fault_schedule import create_fault_schedule
from tools.chaos._fault_schedule import FaultEvent
from tools.chaos._fault_schedule import FaultKind
from tools.chaos._fault_schedule import FleetShape
from tools.chaos._observations import Observations
from tools.chaos._violation import Violation
from tools.chaos._violation import ViolationKind
