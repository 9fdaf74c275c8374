"""Customers of the fleet, their keys, and how fresh these must be."""

from siskinmount.customers._customer import Customer
from siskinmount.customers._key_age import create_key_age
from siskinmount.customers._key_age import KeyAge
from siskinmount.customers._key_age import read_boot_clock

__all__ = ['Customer', 'KeyAge', 'create_key_age', 'read_boot_clock']
