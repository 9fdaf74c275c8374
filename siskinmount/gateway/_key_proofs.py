"""Proofs that the keys in force are the newest, from the store and from peers.

A proof says that a version of the document was the newest at the store at a
time. The store gives one with each read that reaches the end of the log of
documents, a peer with its own document and the age of its own proof. Where
strict revocation is on, requests under a key run only while the newest proof is
younger than a bound.
"""

import collections
import logging
import math

import trio

from siskinmount import customers
from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount.gateway import _gateway_metrics

_LOGGER = logging.getLogger(__name__)

#: Wait of the follower's reads, as a share of the bound. Reads that follow each
#: other keep the proof younger than twice this share; what is left up to
#: `READ_SHARE` is for the answers to arrive, so that a calm store gets no
#: further reads.
FOLLOWER_WAIT_SHARE = 0.18
#: Age of the proof from which further reads are sent, and from which a peer is
#: asked, as shares of the bound.
READ_SHARE = 0.4
PEER_SHARE = 0.5
#: Most further reads at a time, and the least time between two of them.
MAX_READS = 4
MIN_READ_INTERVAL_S = 0.4
#: Least time between two further reads after one that failed, as a share of the
#: bound: a busy store refuses them, and the follower tries again often enough.
FAILED_INTERVAL_SHARE = 0.2
#: Longest time of one further read, as a share of the bound. An answer that
#: comes later would prove the keys for less than a tenth of the bound.
READ_TIMEOUT_SHARE = 0.9
#: Number of further reads from whose times those of the next are expected.
REMEMBERED_READS = 8
CHECK_INTERVAL_S = 0.1


class KeyProofs:
    """Records proofs, and asks the store for more when they grow old."""

    __slots__ = (
        '_key_age',
        '_view',
        '_log',
        '_follower',
        '_metrics',
        '_source',
        '_running',
        '_last_sent_at_s',
        '_times_s',
        '_is_failing',
    )

    def __init__(
        self,
        key_age: customers.KeyAge,
        view: fleet.FleetView,
        log: keyed_log.EndReadableLog,
        follower: keyed_log.LogFollower,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._key_age = key_age
        self._view = view
        self._log = log
        self._follower = follower
        self._metrics = metrics
        self._source = ''
        self._running = 0
        self._last_sent_at_s = float('-inf')
        self._times_s: collections.deque[float] = collections.deque(
            maxlen=REMEMBERED_READS
        )
        self._is_failing = False

    def record_store_read(self, read_at_s: float) -> None:
        """Records a read that reached the end of the log of documents.

        It proves nothing while the newest document of the log is not in force:
        a document that this member refuses as invalid may have revoked keys.

        Args:
            read_at_s: Time by the boot clock before the read was sent.
        """
        version = self._view.logged_version
        if version is not None:
            self._record('store', read_at_s, version)

    def record_peer(
        self, peer: str, asked_at_s: float, version: object, age_ms: object
    ) -> None:
        """Records the proof of a peer.

        Args:
            peer: Name or address of the peer.
            asked_at_s: Time by the clock of `get_time_s` before it was asked.
            version: Version that it holds.
            age_ms: Age of its proof; None if it has none, or is of an earlier
                release.
        """
        is_number = isinstance(age_ms, int) and not isinstance(age_ms, bool)
        # A negative age would make a proof of the future.
        if not is_number or age_ms < 0 or not isinstance(version, int):
            return
        self._record(peer, asked_at_s - age_ms / 1000, version)

    def get_time_s(self) -> float:
        """Returns the time by which the times of proofs are given."""
        return self._key_age.get_time_s()

    def get_document_age_ms(self) -> int | None:
        """Returns the age of the newest proof, rounded up; None without one."""
        age_s = self._key_age.get_age_s()
        if self._view.document is None or math.isinf(age_s):
            return None
        return math.ceil(age_s * 1000)

    def needs_peer(self) -> bool:
        """Returns whether a peer is to be asked for a proof."""
        return self._key_age.is_older_than(PEER_SHARE)

    def may_serve(self) -> bool:
        """Returns whether requests under a key may run, if there are any."""
        document = self._view.document
        if document is None or document.customers is None:
            return True
        return self._key_age.is_current()

    async def run(self) -> None:
        """Sends further reads while the proof is old, forever.

        Returns at once where no proof is needed: calls to the store cost.
        """
        if self._key_age.max_age_s is None:
            return
        self._key_age.watch(self._log_change)
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                # An expiry is noticed here also while there are no requests.
                self._key_age.is_current()
                self._report_age()
                if self._is_read_due(self._key_age.max_age_s):
                    self._running += 1
                    self._last_sent_at_s = trio.current_time()
                    nursery.start_soon(self._read, self._key_age.max_age_s)

    def _is_read_due(self, max_age_s: float) -> bool:
        """Returns whether to send a further read now.

        Reads of a slow store are spread over the time that its answers take:
        sent in one burst, their answers would all come at about the same time,
        and the proof would grow old until the next burst is answered. They
        begin earlier, as an answer may come too late otherwise.
        """
        if not self._follower.is_loaded or self._running >= MAX_READS:
            return False
        slowest_s = max(self._times_s, default=0.0)
        spread_s = slowest_s / MAX_READS
        due_age_s = min(
            READ_SHARE * max_age_s,
            max_age_s - slowest_s - spread_s - CHECK_INTERVAL_S,
        )
        if self._key_age.get_age_s() < due_age_s:
            return False
        interval_s = max(MIN_READ_INTERVAL_S, spread_s)
        if self._is_failing:
            interval_s = max(interval_s, FAILED_INTERVAL_SHARE * max_age_s)
        return trio.current_time() - self._last_sent_at_s >= interval_s

    async def _read(self, max_age_s: float) -> None:
        """Sends one further read, of bounded time."""
        began_at_s = trio.current_time()
        failure: results.Failure | None = _TIMED_OUT
        try:
            with trio.move_on_after(READ_TIMEOUT_SHARE * max_age_s):
                failure = await self._follower.read_end(self._log)
        finally:
            self._running -= 1
        took_s = trio.current_time() - began_at_s
        self._times_s.append(took_s)
        self._log_read(failure, took_s)

    def _log_read(self, failure: results.Failure | None, took_s: float) -> None:
        """Logs the first of further reads that fail, one after the other."""
        outcome = 'answered' if failure is None else 'failed'
        self._metrics.key_reads.increment(outcome)
        if failure is not None and not self._is_failing:
            _LOGGER.warning(
                'key_read_failed',
                extra={
                    'code': int(failure.code),
                    'reason': failure.reason,
                    'took_ms': int(took_s * 1000),
                    'age_ms': self.get_document_age_ms(),
                },
            )
        self._is_failing = failure is not None

    def _record(self, source: str, read_at_s: float, version: int) -> None:
        if not self._key_age.record_proof(read_at_s, version):
            return
        kind = 'store' if source == 'store' else 'peer'
        self._metrics.key_proofs.increment(kind)
        if self._key_age.max_age_s is not None and kind != self._source:
            _LOGGER.info(
                'key_proof_source',
                extra={
                    'source': source,
                    'document_version': version,
                    'age_ms': self.get_document_age_ms(),
                },
            )
        self._source = kind

    def _report_age(self) -> None:
        age_s = self._key_age.get_age_s()
        self._metrics.key_proof_age.set(-1 if math.isinf(age_s) else age_s)

    def _log_change(self, is_current: bool) -> None:
        """Logs that requests under a key may run again, or not any more."""
        document = self._view.document
        fields = {
            'age_ms': self.get_document_age_ms(),
            'document_version': document.version if document else None,
            'logged_version': self._view.logged_version,
            'store_reachable': self._follower.is_reachable,
            'source': self._source,
        }
        if is_current:
            _LOGGER.info('keys_current', extra=fields)
            return
        self._metrics.keys_outdated.increment()
        _LOGGER.warning(
            'keys_outdated',
            extra={'code': int(results.ResultCode.KEYS_OUTDATED), **fields},
        )


_TIMED_OUT = results.Failure(
    results.ResultCode.LOG_UNAVAILABLE,
    'read_end: the store did not answer in time',
    results.RunState.NOT_RUN,
)


def compute_read_wait_ms(max_age_s: float | None) -> int:
    """Returns the wait of the follower's reads that suffices in calm.

    Args:
        max_age_s: Greatest age of a proof; None if none is needed.
    """
    if max_age_s is None:
        return keyed_log.LONGEST_READ_WAIT_MS
    wait_ms = round(FOLLOWER_WAIT_SHARE * max_age_s * 1000)
    return min(keyed_log.LONGEST_READ_WAIT_MS, wait_ms)


def create_key_proofs(
    key_age: customers.KeyAge,
    view: fleet.FleetView,
    log: keyed_log.EndReadableLog,
    follower: keyed_log.LogFollower,
    metrics: _gateway_metrics.GatewayMetrics,
) -> KeyProofs:
    """Creates proofs that are fed by the reads of a follower.

    Args:
        key_age: Receives the proofs.
        view: The document in force.
        log: The log of documents.
        follower: Follows that log.
        metrics: Counters of the process.
    """
    proofs = KeyProofs(key_age, view, log, follower, metrics)
    follower.watch_end(proofs.record_store_read)
    return proofs
