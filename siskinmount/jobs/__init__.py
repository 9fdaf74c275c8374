"""Batch jobs of opaque requests, kept in the durable log.

Public API:
    Job, JobItem, ItemResult, ItemState: A job and what is listed of it.
    JobTable, create_job_table(): All jobs that the log holds.
    JobLedger, create_job_ledger(...): Writes operations into the log.
    AcceptJob, ListResult, EndJob, DropJob, Written: The operations and their outcome.
    ItemScheduler, create_item_scheduler(...): Which items run here next.
    choose_member(tag, members): Who is responsible for an item.
"""

from siskinmount.jobs._item_scheduler import choose_member
from siskinmount.jobs._item_scheduler import create_item_scheduler
from siskinmount.jobs._item_scheduler import ItemProgress
from siskinmount.jobs._item_scheduler import ItemScheduler
from siskinmount.jobs._item_scheduler import ItemsElsewhere
from siskinmount.jobs._item_scheduler import make_tag
from siskinmount.jobs._item_scheduler import NextItem
from siskinmount.jobs._job import ItemResult
from siskinmount.jobs._job import ItemState
from siskinmount.jobs._job import Job
from siskinmount.jobs._job import JobItem
from siskinmount.jobs._job_ledger import create_job_ledger
from siskinmount.jobs._job_ledger import JobLedger
from siskinmount.jobs._job_table import create_job_table
from siskinmount.jobs._job_table import JobTable
from siskinmount.jobs._operations import AcceptJob
from siskinmount.jobs._operations import DropJob
from siskinmount.jobs._operations import EndJob
from siskinmount.jobs._operations import ListResult
from siskinmount.jobs._operations import Written
