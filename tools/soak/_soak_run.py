"""Runs callers and faults together, then reads all results once more."""

import os
import pathlib

import trio

from standins import processes
from tools.soak import _callers
from tools.soak import _engine_exits
from tools.soak import _engine_limiter
from tools.soak import _fault_injector
from tools.soak import _isolated_gateway
from tools.soak import _job_callers
from tools.soak import _observations
from tools.soak import _odd_entries
from tools.soak import _repeated_refusals
from tools.soak import _schedule
from tools.soak import _soak_fleet

CALLERS = 6
JOB_CALLERS = 3
#: One in this number of seeds has requests that crash engines.
CRASHING_PART_SEEDS = 3
#: One in this number of seeds, from 2 on, has engines that name a request rate.
LIMIT_SEEDS = 4
FIRST_LIMIT_SEED = 2
#: One in this number of seeds, from 1 on, has engines of several versions.
VERSION_SEEDS = 3
FIRST_VERSION_SEED = 1
VERSIONS = 3
#: One in this number of seeds, from 1 on, has engines that exit.
EXIT_SEEDS = 4
FIRST_EXIT_SEED = 1
#: One in this number of seeds, from 3 on, has entries of another writer.
ODD_ENTRY_SEEDS = 4
FIRST_ODD_ENTRY_SEED = 3
#: One in this number of seeds, from 6 on, isolates gateways in a release.
ISOLATION_SEEDS = 12
FIRST_ISOLATION_SEED = 6
#: One in this number of seeds has engines that repeat refusals.
REFUSAL_SEEDS = 4
FIRST_REFUSAL_SEED = 0
#: Time in which jobs must end after the last request and fault.
COMPLETION_TIMEOUT_S = 25.0
#: Time in which a gateway that was stopped near the end is ready again.
READY_TIMEOUT_S = 60.0


async def run_soak(
    seed: int, seconds: float, directory: pathlib.Path
) -> _observations.Observations:
    """Returns the records of callers and engines.

    Args:
        seed: Seed of the faults and requests.
        seconds: Time in seconds for which requests are sent.
        directory: Directory for settings and for the logs of processes.
    """
    async with trio.open_nursery() as nursery:
        async with processes.open_process_group(directory / 'logs') as group:
            fleet = _soak_fleet.SoakFleet(
                nursery, group, directory, _choose_host_base()
            )
            if seed % VERSION_SEEDS == FIRST_VERSION_SEED:
                fleet.version_count = VERSIONS
            if seed % ISOLATION_SEEDS == FIRST_ISOLATION_SEED:
                fleet.release = 0
            await fleet.start()
            for gateway in fleet.gateways:
                nursery.start_soon(fleet.watch_gateway, gateway)
            await _run_workload(fleet, seed, seconds)
            await _wait_all_ready(fleet)
            await _read_all_again(fleet)
            for gateway in fleet.gateways:
                gateway.is_ended_on_purpose = True
                if gateway.process is not None:
                    fleet.check_log(gateway.process)
            nursery.cancel_scope.cancel()
    return fleet.observed


async def _run_workload(
    fleet: _soak_fleet.SoakFleet, seed: int, seconds: float
) -> None:
    """Runs callers and faults; returns when all ended or their time is over."""
    until_s = trio.current_time() + seconds
    injector = _fault_injector.FaultInjector(fleet, seed)
    with trio.move_on_after(seconds + COMPLETION_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                injector.inject, _schedule.create_schedule(seed, seconds)
            )
            for number in range(CALLERS):
                caller = _callers.Caller(fleet, seed, f'c{number}')
                nursery.start_soon(caller.run, until_s)
            if seed % CRASHING_PART_SEEDS == 0:
                caller = _callers.Caller(fleet, seed, 'crashing', True)
                nursery.start_soon(caller.run, until_s)
            if seed % LIMIT_SEEDS == FIRST_LIMIT_SEED:
                nursery.start_soon(
                    _engine_limiter.limit_engines, fleet, until_s, seconds
                )
            if seed % EXIT_SEEDS == FIRST_EXIT_SEED:
                nursery.start_soon(
                    _engine_exits.exit_engines, fleet, seed, until_s, seconds
                )
            if seed % ODD_ENTRY_SEEDS == FIRST_ODD_ENTRY_SEED:
                nursery.start_soon(
                    _odd_entries.write_odd_entries, fleet, seed, until_s
                )
            if seed % ISOLATION_SEEDS == FIRST_ISOLATION_SEED:
                nursery.start_soon(
                    _isolated_gateway.isolate_gateways,
                    fleet,
                    seed,
                    until_s,
                    seconds,
                )
            if seed % REFUSAL_SEEDS == FIRST_REFUSAL_SEED:
                nursery.start_soon(
                    _repeated_refusals.repeat_refusals, fleet, seed, until_s
                )
            for number in range(JOB_CALLERS):
                jobs = _job_callers.JobCaller(fleet, seed, f'j{number}')
                nursery.start_soon(jobs.run, until_s)


async def _wait_all_ready(fleet: _soak_fleet.SoakFleet) -> None:
    """Waits until all gateways are ready; one that stays away is a fault.

    The end of the workload's time may cut a stop short.
    """
    for gateway in fleet.gateways:
        with trio.move_on_after(READY_TIMEOUT_S) as scope:
            await fleet.wait_ready(gateway)
        if scope.cancelled_caught:
            fleet.observed.process_faults.append(
                f'gateway-{gateway.number} is not ready at the end'
            )


async def _read_all_again(fleet: _soak_fleet.SoakFleet) -> None:
    """Reads each accepted job from its start at each gateway."""
    for job in fleet.observed.jobs:
        if job.accepted_at_s is None:
            continue
        for gateway in fleet.gateways:
            found = await _job_callers.read_results(gateway, job, 0)
            if found is None:
                job.missing.append(
                    f'{job.job_id} cannot be read at {gateway.number}'
                )


def _choose_host_base() -> str:
    """Returns the first three parts of a loopback address, by process id.

    Soaks that run at the same time thus use different addresses.
    """
    process = os.getpid()
    return f'127.{221 + process // 250 % 30}.{process % 250}'
