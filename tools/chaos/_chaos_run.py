"""Runs a fleet and its callers under faults and records observations."""

import pathlib

import trio

from tools import fleet
from tools.chaos import _chaos_fleet
from tools.chaos import _entry_client
from tools.chaos import _fault_injector
from tools.chaos import _fault_schedule
from tools.chaos import _observations
from tools.chaos import _process_supervisor
from tools.chaos import _publisher
from tools.chaos import _version_poller
from tools.chaos import _workload

MODEL_SERVICE = 'wordsmith'
PLAIN_SERVICE = 'swapdesk'
ENTRY_COUNT = 3
ENGINE_COUNT = 4
PLAIN_COUNT = 2
PLAIN_DEADLINE_MS = 15_000
#: Time for callers to get their answers after the last request started.
SETTLE_S = 60.0
READ_ATTEMPTS = 20
READ_RETRY_PAUSE_S = 0.5


async def run_chaos(
    seed: int,
    run_duration_s: float,
    disabled_mechanism: _workload.DisabledMechanism,
    log_dir: pathlib.Path | None,
) -> _observations.Observations:
    """Runs a fleet under faults and returns the observations.

    Args:
        seed: Seed of the faults and requests.
        run_duration_s: Duration in which callers start requests.
        disabled_mechanism: The mechanism that callers do not use.
        log_dir: Where the processes' logs are written.
    """
    plan = fleet.plan_fleet(
        entry_count=ENTRY_COUNT,
        model_services={MODEL_SERVICE: ENGINE_COUNT},
        plain_services={PLAIN_SERVICE: PLAIN_COUNT},
    )
    observations = _observations.Observations()
    events = _fault_schedule.create_fault_schedule(
        seed, run_duration_s, _describe_shape(plan)
    )
    async with fleet.open_fleet(plan, log_dir) as running:
        chaos_fleet = _chaos_fleet.ChaosFleet(running, observations)
        await chaos_fleet.start_all()
        caller = fleet.create_callers(['chaos'])[0]
        text = fleet.format_document(
            model_services=[MODEL_SERVICE],
            plain_services=[PLAIN_SERVICE],
            callers=[caller],
        )
        # Items of the plain service are calls that may run at most once. The
        # deadline ends its calls well before the run ends, also those on
        # connections that have gone silent.
        text = text.replace(
            f'[service {PLAIN_SERVICE}]\n',
            f'[service {PLAIN_SERVICE}]\n'
            f'batch_idempotent = false\n'
            f'deadline_ms = {PLAIN_DEADLINE_MS}\n',
        )
        version = await fleet.publish_document(plan.log_address, text, 0)
        await running.wait_ready()
        client = _entry_client.EntryClient(plan.entries, caller)
        workload = _workload.Workload(
            client,
            observations,
            seed,
            disabled_mechanism,
            MODEL_SERVICE,
            PLAIN_SERVICE,
        )
        publisher = _publisher.Publisher(
            plan.log_address, text, version, observations
        )
        injector = _fault_injector.FaultInjector(
            chaos_fleet, publisher.publish_race, workload.send_poison
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _process_supervisor.ProcessSupervisor(chaos_fleet).run
            )
            nursery.start_soon(
                _version_poller.VersionPoller(plan, observations).run
            )
            with trio.move_on_after(run_duration_s + SETTLE_S):
                async with trio.open_nursery() as work:
                    work.start_soon(workload.run, run_duration_s)
                    work.start_soon(injector.run, events)
            await _read_results_everywhere(workload, client)
            nursery.cancel_scope.cancel()
        client.close()
        chaos_fleet.collect_logs()
    return observations


def _describe_shape(plan: fleet.FleetPlan) -> _fault_schedule.FleetShape:
    """Returns the VMs that faults can target."""
    return _fault_schedule.FleetShape(
        [entry.vm for entry in plan.entries],
        [sidecar.vm for sidecar in plan.sidecars if sidecar.is_model],
        [sidecar.vm for sidecar in plan.sidecars if not sidecar.is_model],
    )


async def _read_results_everywhere(
    workload: _workload.Workload, client: _entry_client.EntryClient
) -> None:
    """Reads the results of finished jobs through every entry.

    A failed read is tried again.
    """
    for caller in workload.batch_callers:
        if not caller.job.is_finished:
            continue
        for entry_vm in client.entry_vms:
            for _ in range(READ_ATTEMPTS):
                if await caller.read_results(entry_vm):
                    break
                await trio.sleep(READ_RETRY_PAUSE_S)
