"""Limits per caller, and what is refused first under overload."""

from siskinmount.admission._admission import Admission
from siskinmount.admission._admission import CapacitySource
from siskinmount.admission._admission import create_admission
from siskinmount.admission._ticket import Ticket
