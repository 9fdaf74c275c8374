"""Finds out which software began a stream that a caller resumes."""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import logging
import time

import trio

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import results
from siskinmount import stream_origins
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _online_request

_LOGGER = logging.getLogger(__name__)

#: Longest wait for the log of origins, and for peers if it cannot be read. A
#: calm store answers in 10 ms, a slow one in 300 ms.
READ_TIMEOUT_S = 0.5
#: Retry-after where the store could not be read.
UNREADABLE_RETRY_MS = 400
#: An upstream that started later than this ago may be younger than a stream.
YOUNG_UPSTREAM_S = 10.0


class OriginSource(enum.Enum):
    """How the origin of a stream was found, or why it was not."""

    #: The stream began at this member.
    OWN = 'own'

    #: A record in the log names it.
    RECORD = 'record'

    #: A peer knows it.
    PEER = 'peer'

    #: There is no record of the stream, so it began at the assumed version.
    NO_RECORD = 'no_record'

    #: No other version has been listed for longer than a stream lasts.
    ONLY_VERSION = 'only_version'

    #: The attempt that the caller names belongs to another request.
    OTHER_REQUEST = 'other_request'

    #: Several versions come into question.
    AMBIGUOUS = 'ambiguous'

    #: Neither the log nor a peer could be asked.
    UNREADABLE = 'unreadable'

    def is_found(self) -> bool:
        """Returns whether the origin is known."""
        return self in (
            OriginSource.OWN,
            OriginSource.RECORD,
            OriginSource.PEER,
            OriginSource.NO_RECORD,
            OriginSource.ONLY_VERSION,
        )


class FoundOrigin:
    """The result of a search.

    Attributes:
        source: How the origin was found, or why it was not.
        software: The software that began the stream; None if not found.
    """

    __slots__ = ('source', 'software')

    def __init__(
        self, source: OriginSource, software: fleet.Software | None = None
    ) -> None:
        self.source = source
        self.software = software


class PeerOrigin:
    """What a peer says of a stream.

    Attributes:
        software: What began it; None if the peer does not know it.
        is_unrecorded: Whether the peer has read the log to its end and found
            no record.
        is_log_lost: Whether the peer cannot read the log.
    """

    __slots__ = ('software', 'is_unrecorded', 'is_log_lost')

    def __init__(
        self,
        software: fleet.Software | None,
        is_unrecorded: bool,
        is_log_lost: bool = False,
    ) -> None:
        self.software = software
        self.is_unrecorded = is_unrecorded
        self.is_log_lost = is_log_lost


def combine_answers(asked_count: int, answers: list[PeerOrigin]) -> PeerOrigin:
    """Returns what several peers say together.

    One that knows the stream counts, else one that has read the log. The log is
    lost if most of all that were asked say so: those that do not answer may be
    able to read it.

    Args:
        asked_count: Number of peers that were asked.
        answers: What those that have answered say.
    """
    for answer in answers:
        if answer.software is not None:
            return answer
    for answer in answers:
        if answer.is_unrecorded:
            return answer
    lost_count = sum(answer.is_log_lost for answer in answers)
    return PeerOrigin(
        None, False, not asked_count or 2 * lost_count > asked_count
    )


#: Asks peers which software began a stream.
AskPeers = Callable[[stream_origins.StreamKey], Awaitable[PeerOrigin]]


class OriginFinder:
    """Finds origins in memory, in the log, at peers, or by what is not there."""

    __slots__ = (
        '_table',
        '_versions',
        '_follower',
        '_view',
        '_directory',
        '_metrics',
        '_get_outage_s',
        '_ask_peers',
        '_sync',
    )

    def __init__(
        self,
        table: stream_origins.OriginTable,
        versions: stream_origins.VersionTable,
        log: keyed_log.KeyedLog,
        view: fleet.FleetView,
        directory: peering.PeerDirectory,
        metrics: _gateway_metrics.GatewayMetrics,
        get_outage_s: Callable[[], float],
    ) -> None:
        self._table = table
        self._versions = versions
        self._follower = keyed_log.create_log_follower(
            'stream_origins', log, self._apply_record
        )
        self._view = view
        self._directory = directory
        self._metrics = metrics
        self._get_outage_s = get_outage_s
        self._ask_peers: AskPeers = _ask_nobody
        self._sync = keyed_log.create_shared_sync(self._follower)

    def set_peers(self, ask_peers: AskPeers) -> None:
        """Sets the function that asks peers when the log cannot be read."""
        self._ask_peers = ask_peers

    async def find(
        self, request: _online_request.OnlineRequest
    ) -> fleet.Software | results.Failure:
        """Returns what began the stream that a request resumes.

        Fails with `STREAM_ORIGIN_UNKNOWN`.
        """
        caller = request.caller_request
        key = request.make_stream_key(caller.resumed_request_id)
        found = await self._find(key, request.route)
        source = found.source
        self._metrics.stream_origins.increment(source.value)
        extra = {
            'request_id': request.request_id,
            'route': request.route.name,
            'resumes': caller.resumed_request_id,
            'last_event_id': caller.last_event_id,
            'source': source.value,
            'software': str(found.software or ''),
            'log_age_ms': self._get_log_age_ms(),
            'waited_ms': request.get_elapsed_ms(),
        }
        if source.is_found() and found.software is not None:
            _LOGGER.info('stream_origin_found', extra=extra)
            return found.software
        _LOGGER.info('stream_origin_not_found', extra=extra)
        is_unreadable = source is OriginSource.UNREADABLE
        return results.Failure(
            results.ResultCode.STREAM_ORIGIN_UNKNOWN,
            'it is not known which software version began the stream',
            results.RunState.NOT_RUN,
            retry_after_ms=UNREADABLE_RETRY_MS if is_unreadable else None,
        )

    async def find_for_peer(self, key: stream_origins.StreamKey) -> PeerOrigin:
        """Returns what this member knows of a stream."""
        software = self._table.find_own(key)
        if software is not None:
            return PeerOrigin(software, False)
        is_read = await self._sync.read(READ_TIMEOUT_S)
        software = self._table.find(key)
        is_foreign = self._table.has_foreign(key)
        return PeerOrigin(
            software, is_read and not is_foreign, is_log_lost=not is_read
        )

    def expire(self) -> None:
        """Forgets streams that cannot be resumed any more."""
        self._table.expire()

    async def _find(
        self, key: stream_origins.StreamKey, route: fleet.FleetRoute
    ) -> FoundOrigin:
        own = self._table.find_own(key)
        if own is not None:
            return FoundOrigin(OriginSource.OWN, own)
        is_read = await self._sync.read(READ_TIMEOUT_S)
        recorded = self._table.find(key)
        if recorded is not None:
            return FoundOrigin(OriginSource.RECORD, recorded)
        if self._table.has_foreign(key):
            return FoundOrigin(OriginSource.OTHER_REQUEST)
        is_outage = False
        if not is_read:
            told = PeerOrigin(None, False)
            with trio.move_on_after(READ_TIMEOUT_S):
                told = await self._ask_peers(key)
            if told.software is not None:
                return FoundOrigin(OriginSource.PEER, told.software)
            is_read = told.is_unrecorded
            is_outage = told.is_log_lost and self._is_store_lost()
        return self._assume(key, route, is_read, is_outage)

    def _assume(
        self,
        key: stream_origins.StreamKey,
        route: fleet.FleetRoute,
        is_unrecorded: bool,
        is_outage: bool,
    ) -> FoundOrigin:
        """Returns the origin of a stream of which no record was found.

        Args:
            key: The stream.
            route: The route of the request.
            is_unrecorded: Whether the log was read to its end.
            is_outage: Whether it is lost to all members.
        """
        if len(route.shares) != 1:
            return FoundOrigin(OriginSource.AMBIGUOUS)
        service = route.shares[0].service
        life_s = max(stream_origins.STREAM_LIFE_S, route.timeout_ms / 1000)
        only = self._versions.find_only_version(service, life_s)
        if only is not None and (is_unrecorded or is_outage):
            return FoundOrigin(OriginSource.ONLY_VERSION, only)
        assumed = self._versions.get_assumed(service)
        if is_outage:
            # Nothing can have been recorded, and members have kept to the
            # assumed version.
            is_unrecorded = self._get_outage_s() > stream_origins.STREAM_LIFE_S
        if not is_unrecorded:
            return FoundOrigin(OriginSource.UNREADABLE)
        if assumed is None or not self._may_have_started(assumed):
            return FoundOrigin(OriginSource.AMBIGUOUS)
        if life_s > stream_origins.STREAM_LIFE_S:
            # A record may have been dropped before the stream has ended.
            return FoundOrigin(OriginSource.AMBIGUOUS)
        older_age_s = self._directory.get_older_release_age_s()
        if older_age_s < stream_origins.STREAM_LIFE_S:
            # Members of an earlier release record nothing.
            return FoundOrigin(OriginSource.AMBIGUOUS)
        if self._table.list_of_request(key) - {assumed}:
            # The caller may name a wrong attempt of this request.
            return FoundOrigin(OriginSource.AMBIGUOUS)
        return FoundOrigin(OriginSource.NO_RECORD, assumed)

    def _is_store_lost(self) -> bool:
        """Returns whether this member, among most others, has lost the store."""
        if self._get_outage_s() <= 0:
            return False
        return self._directory.get_reachable_share() > 0.5

    def _may_have_started(self, software: fleet.Software) -> bool:
        """Returns whether a software did not come back after a stream began.

        If all its upstreams are young, and another version has older ones, a
        stream may have started at that one while this one was away.
        """
        limit_ms = (time.time() - YOUNG_UPSTREAM_S) * 1000
        is_listed = False
        has_older_other = False
        for upstream in self._view.upstreams.values():
            if upstream.service != software.service:
                continue
            is_young = upstream.started_at_ms > limit_ms
            if upstream.software != software:
                has_older_other = has_older_other or not is_young
                continue
            if not is_young:
                return True
            is_listed = True
        return not (is_listed and has_older_other)

    def _apply_record(self, record: keyed_log.KeyedRecord) -> None:
        if record.value is None:
            self._table.apply_record(record.key, [])
            return
        origins = stream_origins.decode_origins(record.value)
        if isinstance(origins, results.Failure):
            _LOGGER.warning(
                'stream_origins_invalid',
                extra={
                    'code': int(origins.code),
                    'key': record.key,
                    'reason': origins.reason,
                },
            )
            origins = []
        self._table.apply_record(record.key, origins)

    def _get_log_age_ms(self) -> int | None:
        """Returns the age of what is known of the log; None if never read."""
        end = self._follower.get_end()
        if end is None:
            return None
        return int((trio.current_time() - end.seen_at_s) * 1000)


async def _ask_nobody(key: stream_origins.StreamKey) -> PeerOrigin:
    return PeerOrigin(None, False)


def create_origin_finder(
    *,
    table: stream_origins.OriginTable,
    versions: stream_origins.VersionTable,
    log: keyed_log.KeyedLog,
    view: fleet.FleetView,
    directory: peering.PeerDirectory,
    metrics: _gateway_metrics.GatewayMetrics,
    get_outage_s: Callable[[], float],
) -> OriginFinder:
    """Creates a finder; the log is read when a stream is resumed.

    Args:
        table: Origins that are known here.
        versions: At what streams without a record began.
        log: Log of the origins of streams.
        view: Listed upstreams.
        directory: Members, some of which may record nothing.
        metrics: Counts how origins were found.
        get_outage_s: Returns for how long the store has been out of reach; 0 if
            it is not.
    """
    return OriginFinder(
        table, versions, log, view, directory, metrics, get_outage_s
    )
