"""Ends what runs here, within the time that a planned stop leaves."""

import logging

import trio

from siskinmount import jobs
from siskinmount import transport
from siskinmount.gateway import _item_runner

_LOGGER = logging.getLogger(__name__)

#: How long after the signal to stop the balancer may still send callers: it
#: asks once a second and takes a daemon out after two refusals.
BALANCER_NOTICE_S = 3.2
#: Time kept for the end of what still runs before the end by force.
FORCED_END_MARGIN_S = 1.0
#: Part of it for giving the output of batch items to peers.
HAND_OVER_S = 0.4
STOP_STEP_S = 0.05


async def end_what_runs(
    callers_server: transport.HttpServer,
    runner: _item_runner.ItemRunner,
    ledger: jobs.JobLedger,
    grace_s: float,
) -> None:
    """Returns when nothing runs any more, or when the time is over.

    Args:
        callers_server: Lets its connections end with their next answer.
        runner: Its items end, or are handed over.
        ledger: Its operations end.
        grace_s: Time from the signal to the end by force.
    """
    began_at_s = trio.current_time()
    callers_server.begin_draining()
    end_at_s = began_at_s + max(0.0, grace_s - FORCED_END_MARGIN_S)
    while trio.current_time() < end_at_s:
        await trio.sleep(STOP_STEP_S)
        if trio.current_time() - began_at_s < BALANCER_NOTICE_S:
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
        runner.cut_all()
        await trio.sleep(HAND_OVER_S)
    _LOGGER.info(
        'stop_done',
        extra={
            'took_ms': int((trio.current_time() - began_at_s) * 1000),
            'connections_cut': callers_server.connection_count,
            'items_cut': runner.held_count,
            'operations_open': ledger.open_count,
        },
    )
