"""Watches whether the upstream can be reached and when its process ends."""

import logging

import trio

from siskinmount import results
from siskinmount.sidecar import _upstreams

_LOGGER = logging.getLogger(__name__)

PROBE_INTERVAL_S = 1.0
PROBE_DEADLINE_S = 3.0
MAX_SILENT_PROBES = 2
WITNESS_AGE_S = 20.0
WITNESS_SETTLE_S = 0.02


class UpstreamMonitor:
    """Probes the upstream and counts the processes that it has seen there.

    Attributes:
        became_reachable: Set while the last probe or request reached it.
        generation: Number of the process that answers, from 1.
        death_count: Processes that were seen to end.
    """

    __slots__ = (
        'became_reachable',
        'generation',
        'death_count',
        '_upstream',
        '_witness',
        '_lock',
        '_silent_probes',
    )

    def __init__(self, upstream: _upstreams.WatchedUpstream) -> None:
        self.became_reachable = trio.Event()
        self.generation = 0
        self.death_count = 0
        self._upstream = upstream
        self._witness: _upstreams.Witness | None = None
        self._lock = trio.Lock()
        self._silent_probes = 0

    @property
    def reachable(self) -> bool:
        """Whether the last probe or request reached the upstream."""
        return self.became_reachable.is_set()

    @property
    def is_answering(self) -> bool:
        """Whether the last probe was answered."""
        return self.reachable and self._silent_probes == 0

    def watch(self, upstream: _upstreams.WatchedUpstream) -> None:
        """Probes in another way from now on, once the upstream's kind is known.

        A connection alone does not show that a frozen process has stopped.
        """
        self._upstream = upstream

    async def run(self) -> None:
        """Probes for ever."""
        while True:
            await self.check()
            await trio.sleep(PROBE_INTERVAL_S)

    async def check_after_loss(self) -> results.Failure | None:
        """Probes after a connection was lost."""
        await trio.sleep(WITNESS_SETTLE_S)
        return await self.check()

    async def check(self) -> results.Failure | None:
        """Probes once; returns why the upstream cannot be used, or None."""
        async with self._lock:
            failure = await self._check()
        if failure is not None:
            self._note_failed_probe(failure)
            return failure
        self._silent_probes = 0
        if not self.reachable:
            _LOGGER.info(
                'upstream_reachable', extra={'generation': self.generation}
            )
            self.became_reachable.set()
        return None

    def _note_failed_probe(self, failure: results.Failure) -> None:
        """Gives the upstream up, but not for one slow answer."""
        if failure.code is not results.ResultCode.UPSTREAM_UNREACHABLE:
            self._silent_probes += 1
            if self._silent_probes < MAX_SILENT_PROBES:
                return
        self.note_unreachable(failure)

    def note_unreachable(self, failure: results.Failure) -> None:
        """Notes that the upstream could not be reached."""
        if not self.reachable:
            return
        _LOGGER.warning(
            'upstream_unreachable',
            extra={'code': int(failure.code), 'reason': failure.reason},
        )
        self.became_reachable = trio.Event()

    async def _check(self) -> results.Failure | None:
        """Looks at the witness, replaces it if needed, and probes."""
        self._bury_closed_witness()
        failure: results.Failure | None = results.Failure(
            results.ResultCode.UPSTREAM_SILENT,
            'the upstream does not answer a probe',
        )
        with trio.move_on_after(PROBE_DEADLINE_S):
            failure = await self._renew_witness()
            if failure is None:
                failure = await self._upstream.probe()
        return failure

    def _bury_closed_witness(self) -> None:
        """Notes the end of a process."""
        if self._witness is None or not self._witness.has_closed():
            return
        self._witness.close()
        self._witness = None
        self.death_count += 1

    async def _renew_witness(self) -> results.Failure | None:
        """Opens a witness if there is none or an old one.

        Servers close connections that stay unused, so a witness is replaced
        long before.
        """
        old = self._witness
        now_s = trio.current_time()
        if old is not None and now_s - old.opened_at_s < WITNESS_AGE_S:
            return None
        fresh = await self._upstream.open_witness()
        if isinstance(fresh, results.Failure):
            return fresh
        if old is None:
            self.generation += 1
        else:
            old.close()
        self._witness = fresh
        return None
