"""A fault in the middle of the measured time of every arm."""

import trio

from tools.bench import _deployment
from tools.bench import _plan

START_SHARE = 0.3
LENGTH_SHARE = 0.3


async def cause_fault(
    kind: _plan.FaultKind, deployment: _deployment.Deployment, measured_s: float
) -> None:
    """Waits for the middle of the measured time and causes the fault.

    Args:
        kind: What goes wrong.
        deployment: Where it does.
        measured_s: Length of the measured time, which begins now.
    """
    if kind is _plan.FaultKind.NONE:
        return
    await trio.sleep(START_SHARE * measured_s)
    length_s = LENGTH_SHARE * measured_s
    if kind is _plan.FaultKind.LOG_OUTAGE:
        await deployment.fleet.send_control(
            deployment.fleet.plan.log_address,
            'POST',
            '/control/outage',
            {'duration_ms': int(length_s * 1000)},
        )
        return
    victim = deployment.list_models()[0]
    if kind is _plan.FaultKind.SIDECAR_PAUSE:
        process = deployment.fleet.group.processes[victim.vm]
        process.pause()
        await trio.sleep(length_s)
        process.unpause()
        return
    await deployment.kill_engine(victim)
    await trio.sleep(length_s)
    await deployment.fleet.start_upstream(victim)
