"""Customers of the fleet, their keys, and how fresh these must be."""

from siskinmount.customers._customer import Customer
from siskinmount.customers._customer_table import create_customer_table
from siskinmount.customers._customer_table import CustomerTable
from siskinmount.customers._customer_table import Finding
from siskinmount.customers._customer_table import MAX_FINDINGS
from siskinmount.customers._key import find_key_fault
from siskinmount.customers._key import hash_key
from siskinmount.customers._key import KeyFault
from siskinmount.customers._key import MAX_KEY_LENGTH
from siskinmount.customers._key import read_key
from siskinmount.customers._key_age import create_key_age
from siskinmount.customers._key_age import KeyAge
from siskinmount.customers._key_age import read_boot_clock

__all__ = [
    'Customer',
    'CustomerTable',
    'Finding',
    'KeyAge',
    'KeyFault',
    'MAX_FINDINGS',
    'MAX_KEY_LENGTH',
    'create_customer_table',
    'create_key_age',
    'find_key_fault',
    'hash_key',
    'read_boot_clock',
    'read_key',
]
