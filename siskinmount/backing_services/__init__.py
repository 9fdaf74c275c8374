"""Clients of the platform's log service, weight store and VM list.

Public API:
    LogService: Protocol with `append(stream, data)`, `read(stream,
        from_offset, ...)` and `stream_range(stream)`.
    create_log_client(address): A `LogService` over HTTP.
    Appended, LogRecord, LogPage, LogExpired, StreamRange: Results of these
        methods.
    ageing_below(first_offset, next_offset): Offset at which the older half of
        a stream ends.
    VmList, create_vm_list_client(address), VmEntry, VmState: The VM list,
        which may lag behind.
    WeightStore, create_weight_store_client(address): Reads a model version.

Every method returns `results.Failure` if the platform is down, too slow or
rejects the call. An append whose response was lost has run state `UNKNOWN`.
"""

from siskinmount.backing_services._log_client import create_log_client
from siskinmount.backing_services._log_service import ageing_below
from siskinmount.backing_services._log_service import Appended
from siskinmount.backing_services._log_service import LogExpired
from siskinmount.backing_services._log_service import LogPage
from siskinmount.backing_services._log_service import LogRecord
from siskinmount.backing_services._log_service import LogService
from siskinmount.backing_services._log_service import StreamRange
from siskinmount.backing_services._vm_list import create_vm_list_client
from siskinmount.backing_services._vm_list import VmEntry
from siskinmount.backing_services._vm_list import VmList
from siskinmount.backing_services._vm_list import VmState
from siskinmount.backing_services._weight_store import (
    create_weight_store_client,
)
from siskinmount.backing_services._weight_store import WeightStore
