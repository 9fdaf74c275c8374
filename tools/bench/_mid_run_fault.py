"""Injects a fault in the middle of an arm's measurement."""

import trio

from tools.bench import _deployment
from tools.bench import _plan

START_FRACTION = 0.3
DURATION_FRACTION = 0.3


async def inject_fault(
    kind: _plan.FaultKind, deployment: _deployment.Deployment, measured_s: float
) -> None:
    """Waits for the middle of the measurement and injects the fault.

    Args:
        kind: The fault; nothing is done for `NONE`.
        deployment: The fleet in which the fault is injected.
        measured_s: Duration of the measurement, which begins now.
    """
    if kind is _plan.FaultKind.NONE:
        return
    await trio.sleep(START_FRACTION * measured_s)
    duration_s = DURATION_FRACTION * measured_s
    if kind is _plan.FaultKind.LOG_OUTAGE:
        await deployment.fleet.send_control(
            deployment.fleet.plan.log_address,
            'POST',
            '/control/outage',
            {'duration_ms': int(duration_s * 1000)},
        )
        return
    target = deployment.list_model_sidecars()[0]
    if kind is _plan.FaultKind.SIDECAR_PAUSE:
        process = deployment.fleet.group.processes[target.vm]
        process.pause()
        await trio.sleep(duration_s)
        process.unpause()
        return
    await deployment.kill_engine(target)
    await trio.sleep(duration_s)
    await deployment.fleet.start_upstream(target)
