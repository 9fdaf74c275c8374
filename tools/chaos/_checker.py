"""Compares what was seen in a run with what was promised."""

from tools.chaos import _check_configuration
from tools.chaos import _check_jobs
from tools.chaos import _check_leaving
from tools.chaos import _check_online
from tools.chaos import _check_plain
from tools.chaos import _check_processes
from tools.chaos import _observations
from tools.chaos import _violation


def find_violations(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns all promises that were not kept."""
    return [
        *_check_online.check_online(seen),
        *_check_plain.check_plain(seen),
        *_check_jobs.check_jobs(seen),
        *_check_leaving.check_leaving(seen),
        *_check_configuration.check_configuration(seen),
        *_check_processes.check_processes(seen),
    ]
