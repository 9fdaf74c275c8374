"""Admission control: limits per caller, and load shedding per service."""

from siskinmount.admission._admission import Admission
from siskinmount.admission._admission import CapacitySource
from siskinmount.admission._admission import create_admission
from siskinmount.admission._ticket import Ticket
