"""The entry daemon: callers' API, streams, idempotency, batch API."""

from siskinmount.entry._entry import Entry
from siskinmount.entry._entry import run_entry
