"""Serves online and batch model inference on one fleet."""

from siskinmount import _process_guard

VERSION = '0.1.0'

# Must run before trio is first imported, as trio searches for a library on
# import.
_process_guard.disable_library_search()
