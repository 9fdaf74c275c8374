"""Archive of objective counts in the log, which outlives the VMs.

Public API:
    create_archive_writer(log, histograms, vm, incarnation): An
        `ArchiveWriter` for one entry. `run()` appends each hour after its end;
        `append_rest()` appends the remaining windows before a planned stop.
    read_archive(log): An `Archive`, or a failure. `list_windows(live)` returns
        the windows of processes that can no longer be queried.
"""

from siskinmount.objectives._archive_reader import Archive
from siskinmount.objectives._archive_reader import read_archive
from siskinmount.objectives._archive_record import ARCHIVE_STREAM
from siskinmount.objectives._archive_writer import ArchiveWriter
from siskinmount.objectives._archive_writer import create_archive_writer
