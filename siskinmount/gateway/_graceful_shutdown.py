"""Graceful shutdown: drains the process within its grace period."""

import logging

import trio

from siskinmount import jobs
from siskinmount import transport
from siskinmount.gateway import _item_runner
from siskinmount.gateway import _shutdown_admission

_LOGGER = logging.getLogger(__name__)

#: Longest time after the stop signal during which the load balancer may still
#: send callers: it checks readiness once a second and removes a daemon after
#: two failed checks.
BALANCER_REMOVAL_S = 3.2
#: Part of the grace period reserved for cancelling what still runs.
FORCED_STOP_MARGIN_S = 1.0
#: Part of that margin for handing the output of batch items to peers.
HAND_OVER_WAIT_S = 0.4
POLL_INTERVAL_S = 0.05


async def drain(
    callers_server: transport.HttpServer,
    runner: _item_runner.ItemRunner,
    ledger: jobs.JobLedger,
    admission: _shutdown_admission.ShutdownAdmission,
    grace_s: float,
) -> None:
    """Returns when all work has ended, or when the grace period is nearly over.

    Args:
        callers_server: Its connections are closed after their next response.
        runner: Its items finish, or are cancelled and handed over.
        ledger: Its pending operations finish.
        admission: Refuses requests that may not end in time.
        grace_s: Time from the stop signal until the process is killed.
    """
    began_at_s = trio.current_time()
    callers_server.begin_draining()
    end_at_s = began_at_s + max(0.0, grace_s - FORCED_STOP_MARGIN_S)
    admission.begin(end_at_s)
    while trio.current_time() < end_at_s:
        await trio.sleep(POLL_INTERVAL_S)
        if trio.current_time() - began_at_s < BALANCER_REMOVAL_S:
            continue
        callers_server.stop()
        is_done = (
            not callers_server.connection_count
            and not runner.held_count
            and not ledger.open_count
        )
        if is_done:
            break
    if runner.held_count:
        runner.cancel_all()
        await trio.sleep(HAND_OVER_WAIT_S)
    ended_count = await admission.end()
    _LOGGER.info(
        'stop_done',
        extra={
            'took_ms': int((trio.current_time() - began_at_s) * 1000),
            'requests_ended': ended_count,
            'connections_open': callers_server.connection_count,
            'items_held': runner.held_count,
            'operations_open': ledger.open_count,
        },
    )
