"""Checks the observations of a run against the fleet's guarantees."""

from tools.chaos import _check_configuration
from tools.chaos import _check_jobs
from tools.chaos import _check_leaving
from tools.chaos import _check_online
from tools.chaos import _check_plain
from tools.chaos import _check_processes
from tools.chaos import _observations
from tools.chaos import _violation


def find_violations(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns all violations of the guarantees."""
    return [
        *_check_online.check_online(observations),
        *_check_plain.check_plain(observations),
        *_check_jobs.check_jobs(observations),
        *_check_leaving.check_leaving(observations),
        *_check_configuration.check_configuration(observations),
        *_check_processes.check_processes(observations),
    ]
