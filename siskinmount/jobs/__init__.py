"""Batch jobs of opaque requests, stored in the durable log.

Public API:
    Job, JobItem, ItemResult, ItemState: A job, its items and results.
    JobTable, create_job_table(): All jobs in the log.
    JobLedger, create_job_ledger(...): Appends operations to the log.
    AcceptJob, AppendResult, EndJob, DropJob: Operations on jobs.
    WriteOutcome: The outcome of an operation.
    find_id_conflict(job, customer): Whether the id belongs to another customer.
    ItemScheduler, create_item_scheduler(...): Selects the items to run next.
    choose_member(tag, members): The member responsible for an item.
    encode_operations, decode_operations, encode_outcomes, decode_outcomes:
        Operations that one member has another write, and their outcomes.
"""

from siskinmount.jobs._item_scheduler import choose_member
from siskinmount.jobs._item_scheduler import create_item_scheduler
from siskinmount.jobs._item_scheduler import HandoverOutcome
from siskinmount.jobs._item_scheduler import ItemProgress
from siskinmount.jobs._item_scheduler import ItemScheduler
from siskinmount.jobs._item_scheduler import make_tag
from siskinmount.jobs._item_scheduler import NextItem
from siskinmount.jobs._item_scheduler import PeerItems
from siskinmount.jobs._job import ItemResult
from siskinmount.jobs._job import ItemState
from siskinmount.jobs._job import Job
from siskinmount.jobs._job import JobItem
from siskinmount.jobs._job_ledger import create_job_ledger
from siskinmount.jobs._job_ledger import JobLedger
from siskinmount.jobs._job_ledger import Outcomes
from siskinmount.jobs._job_table import create_job_table
from siskinmount.jobs._job_table import JobTable
from siskinmount.jobs._operation_codec import decode_operations
from siskinmount.jobs._operation_codec import decode_outcomes
from siskinmount.jobs._operation_codec import encode_operations
from siskinmount.jobs._operation_codec import encode_outcomes
from siskinmount.jobs._operations import AcceptJob
from siskinmount.jobs._operations import AppendResult
from siskinmount.jobs._operations import DropJob
from siskinmount.jobs._operations import EndJob
from siskinmount.jobs._operations import find_id_conflict
from siskinmount.jobs._operations import Operation
from siskinmount.jobs._operations import WriteOutcome
