"""The entry daemon: caller API, streaming, idempotency keys, batch API."""

from siskinmount.entry._entry import Entry
from siskinmount.entry._entry import run_entry
