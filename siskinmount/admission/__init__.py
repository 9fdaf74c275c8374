"""Admission control: limits per caller, and load shedding per service."""

from siskinmount.admission._admission import Admission
from siskinmount.admission._admission import CapacitySource
from siskinmount.admission._admission import create_admission
from siskinmount.admission._customer_quotas import create_customer_quotas
from siskinmount.admission._customer_quotas import CustomerQuotas
from siskinmount.admission._customer_quotas import FillClock
from siskinmount.admission._customer_quotas import QuotaTicket
from siskinmount.admission._customer_shares import create_customer_shares
from siskinmount.admission._customer_shares import CustomerShares
from siskinmount.admission._customer_use import CustomerUse
from siskinmount.admission._quota_use import QuotaUse
from siskinmount.admission._ticket import Ticket
