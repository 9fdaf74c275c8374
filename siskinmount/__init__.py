"""Serves online and batch model inference on one fleet."""

from siskinmount import _process_guard

VERSION = '0.1.0'

# Must come before the first import of trio.
_process_guard.avoid_library_search()
