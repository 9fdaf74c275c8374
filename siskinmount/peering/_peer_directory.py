"""The known members of the fleet, and which of them are live."""

from collections.abc import Callable
from collections.abc import Collection
import enum
import logging
from typing import Protocol

import orjson
import trio

from siskinmount import admission
from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount import results
from siskinmount import stream_origins
from siskinmount.peering import _item_claims
from siskinmount.peering import _peer_message

_LOGGER = logging.getLogger(__name__)

#: A member that was silent for this long counts as gone. A live member sends at
#: least a few times a second; a frozen or disconnected member must be replaced
#: within the time that a batch item takes.
SILENT_S = 1.5
#: How long the batch items of a silent member remain its own. Its engines may
#: still run them: it may be frozen, slow, or cut off from members alone. One
#: that was started again says so at once.
CLAIMS_KEPT_S = 2.5
#: Interval at which members are checked for silence.
SWEEP_INTERVAL_S = 0.05
#: How long a live member may be silent before it is sent a query, and the
#: interval of queries to it. Its messages may have been lost between relays.
QUERIED_AFTER_S = 0.7
QUERY_INTERVAL_S = 0.2
#: Largest number of queries at a time.
MAX_QUERIES = 32
#: Interval of messages to members that are not live. It is shorter than the time
#: after which a member counts as gone: of two groups of members that hear each
#: other in part, each then hears all relays of the other, and they plan the same
#: relays again.
PROBE_INTERVAL_S = 1.0
#: Interval for members that have not been heard for long: most are gone for good,
#: as records of members stay in the log.
RARE_PROBE_INTERVAL_S = 10.0
RARE_PROBES_AFTER_S = 900.0
#: Largest number of messages to members that are not live at a time.
MAX_PROBES = 32
#: How long after a member became known it is taken for live without a message.
START_GRACE_S = 1.5
#: Age of what members that send to each other directly tell, on average.
DIRECT_DELAY_S = 0.015


#: How long a silent member keeps its share of what all members may use
#: together, and how long if most members are silent: then it is rather this one
#: that is cut off.
SHARE_KEPT_S = 10.0
MINORITY_SHARE_KEPT_S = 60.0


class RowOutcome(enum.Enum):
    """What became of an encoded message."""

    #: It is not newer than what was known.
    STALE = 'stale'

    #: It is newer and tells the same.
    REPEATED = 'repeated'

    #: It is newer and tells something else.
    CHANGED = 'changed'


class Peer:
    """State of another member.

    Attributes:
        member: Name of the VM.
        address: IP address of the VM.
        failure_domain: Failure domain of the VM; empty if it is not known.
        link_mbps: Speed of its link; 0 if it is not known.
        incarnation: Start of the process as Unix time in ms.
        sequence: Sequence number of the last message; -1 before the first.
        heard_at_s: Monotonic time of the last message from the peer.
        known_since_s: Monotonic time at which the peer became known.
        sent_at_s: Monotonic time of the last message to the peer.
        queried_at_s: Monotonic time of the last query to the peer.
        message: The last message from the peer; None before the first.
        row: The last message as it was received; empty before the first.
        body: The body of that row.
    """

    __slots__ = (
        'member',
        'address',
        'failure_domain',
        'link_mbps',
        'incarnation',
        'sequence',
        'heard_at_s',
        'known_since_s',
        'sent_at_s',
        'queried_at_s',
        'message',
        'row',
        'body',
    )

    def __init__(self, member: str, address: str, incarnation: int) -> None:
        self.member = member
        self.address = address
        self.incarnation = incarnation
        self.sequence = -1
        self.heard_at_s = float('-inf')
        self.known_since_s = trio.current_time()
        self.sent_at_s = float('-inf')
        self.queried_at_s = float('-inf')
        self.message: _peer_message.PeerMessage | None = None
        self.failure_domain = ''
        self.link_mbps = 0
        self.row = b''
        self.body = b''

    def is_live(self) -> bool:
        """Returns whether a message of the peer came in the last `SILENT_S`."""
        return trio.current_time() - self.heard_at_s < SILENT_S

    def is_older_release(self) -> bool:
        """Returns whether the peer knows nothing of software versions."""
        message = self.message
        return message is not None and message.stream_versions is None

    def is_expected(self) -> bool:
        """Returns whether the peer is live, or may be as it is new."""
        now_s = trio.current_time()
        if now_s - self.heard_at_s < SILENT_S:
            return True
        is_new = now_s - self.known_since_s < START_GRACE_S
        return is_new and self.message is None


#: Takes the name of a peer and what it says of upstreams that leave.
RecordDepartures = Callable[[str, dict[str, fleet.DepartureNotice]], None]


#: Takes the name of a peer and the rows that it tells.
RecordVersions = Callable[[str, dict[str, stream_origins.VersionRow]], None]


def _ignore_versions(
    peer: str, rows: dict[str, stream_origins.VersionRow]
) -> None:
    """Ignores what a peer says."""


def _ignore_departures(
    peer: str, notices: dict[str, fleet.DepartureNotice]
) -> None:
    """Ignores what a peer says."""


class MessageListener(Protocol):
    """Receives the messages of members; see `QuotaMembers`."""

    def record_renewal(self, member: str) -> None:
        """Records that a member has written its record."""
        ...

    def record_message(
        self, peer: Peer, rows: dict[str, admission.QuotaUse]
    ) -> None:
        """Applies the rows of a message before its time is recorded."""
        ...


class PeerDirectory:
    """Members of the fleet other than this process.

    Attributes:
        member: Name of this VM.
        peers: Other members by name.
        claims: Batch items that peers run or hold output of.
        version: Incremented whenever the answers of `list_live` and
            `list_responsible` may have changed.
        message_delay_s: Age of what live peers have told of their load.
    """

    __slots__ = (
        'member',
        'peers',
        'claims',
        'version',
        'message_delay_s',
        '_load',
        '_crash_tracker',
        '_health',
        '_rate_limits',
        '_paces',
        '_live',
        '_live_list',
        '_swept_at_s',
        '_share',
        '_share_swept_at_s',
        '_responsible_key',
        '_responsible',
        '_record_departures',
        '_record_versions',
        '_message_listener',
    )

    def __init__(
        self,
        member: str,
        load: placement.LoadTable,
        crash_tracker: placement.CrashTracker,
        health: placement.UpstreamHealth,
        rate_limits: placement.RateLimits,
        paces: placement.UpstreamPaces | None,
    ) -> None:
        self.member = member
        self.peers: dict[str, Peer] = {}
        self.claims = _item_claims.create_item_claims()
        self.version = 0
        self.message_delay_s = DIRECT_DELAY_S
        self._load = load
        self._crash_tracker = crash_tracker
        self._health = health
        self._rate_limits = rate_limits
        self._paces = paces
        self._live: dict[str, Peer] = {}
        self._live_list: list[Peer] | None = []
        self._swept_at_s = float('-inf')
        self._share = 1.0
        self._share_swept_at_s = float('-inf')
        self._responsible_key: tuple[int, bool, bool] | None = None
        self._responsible: list[str] = []
        self._record_departures: RecordDepartures = _ignore_departures
        self._record_versions: RecordVersions = _ignore_versions
        self._message_listener: MessageListener | None = None

    def watch_messages(self, listener: MessageListener) -> None:
        """Sets who counts the members that share quotas."""
        self._message_listener = listener

    def watch_versions(self, record_versions: RecordVersions) -> None:
        """Sets the function that gets the rows of versions of peers."""
        self._record_versions = record_versions

    def watch_departures(self, record_departures: RecordDepartures) -> None:
        """Sets the function that gets the departures that peers tell of."""
        self._record_departures = record_departures

    def apply_record(self, record: keyed_log.KeyedRecord) -> None:
        """Applies a record of the log of members; invalid ones are logged."""
        if record.value is None or record.key == self.member:
            return
        try:
            fields = orjson.loads(record.value)
            address = str(fields['address'])
            incarnation = int(fields['incarnation'])
            failure_domain = str(fields.get('failure_domain', ''))
            link_mbps = int(fields.get('link_mbps', 0))
        except results.DECODING_ERRORS as error:
            _LOGGER.warning(
                'member_record_invalid',
                extra={
                    'code': int(results.ResultCode.LOG_RECORD_INVALID),
                    'member': record.key,
                    'reason': repr(error),
                },
            )
            return
        peer = self._get_or_create_peer(record.key, address, incarnation)
        if peer.message is None:
            peer.failure_domain = failure_domain
            peer.link_mbps = link_mbps
        if self._message_listener is not None:
            self._message_listener.record_renewal(record.key)

    def apply_row(
        self, row: _peer_message.PeerRow
    ) -> RowOutcome | results.Failure:
        """Applies an encoded message of a member."""
        peer = self.peers.get(row.member)
        earlier: _peer_message.PeerMessage | None = None
        if peer is not None and row.incarnation == peer.incarnation:
            earlier = peer.message
            if row.sequence <= peer.sequence:
                return RowOutcome.STALE
            if row.body == peer.body and _may_be_repeated(peer.message):
                peer.row = row.data
                self._mark_heard(peer, row.sequence)
                self._load.refresh_peer(peer.member, peer.message.counts)
                return RowOutcome.REPEATED
        message = _peer_message.decode_row(row, earlier)
        if isinstance(message, results.Failure):
            return message
        if not self.apply_message(message):
            return RowOutcome.STALE
        peer = self.peers[row.member]
        peer.row = row.data
        peer.body = row.body
        return RowOutcome.CHANGED

    def apply_message(self, message: _peer_message.PeerMessage) -> bool:
        """Applies a message of a member, and returns whether it is newer."""
        if message.member == self.member:
            return False
        peer = self._get_or_create_peer(
            message.member, message.address, message.incarnation
        )
        if message.incarnation != peer.incarnation:
            if peer.is_live():
                return False
            # The clock of the VM was set back between two starts.
            peer.incarnation = message.incarnation
            peer.sequence = -1
        if message.sequence <= peer.sequence:
            return False
        earlier = peer.message
        peer.address = message.address
        peer.failure_domain = message.failure_domain
        peer.link_mbps = message.link_mbps
        peer.message = message
        peer.body = b''
        self._mark_heard(peer, message.sequence)
        if (
            earlier is None
            or earlier.is_leaving != message.is_leaving
            or earlier.knows_jobs != message.knows_jobs
        ):
            self.version += 1
        self._apply_claims(message)
        self._load.set_peer_counts(peer.member, message.counts)
        self._crash_tracker.apply_reports(message.crashes)
        self._crash_tracker.parts.apply_reports(
            message.suspect_parts, peer.member
        )
        self._health.set_peer_tallies(peer.member, message.failure_tallies)
        self._rate_limits.apply_reports(
            peer.member, message.rate_limits, message.demand
        )
        if self._paces is not None:
            self._paces.apply_reports(peer.member, message.paces)
        self._record_departures(peer.member, message.departures)
        if message.stream_versions is not None:
            self._record_versions(peer.member, message.stream_versions)
        return True

    def list_live(self) -> list[Peer]:
        """Returns the live peers, and drops the counts of newly silent ones."""
        now_s = trio.current_time()
        if now_s - self._swept_at_s >= SWEEP_INTERVAL_S:
            self._swept_at_s = now_s
            self._sweep(now_s)
        if self._live_list is None:
            self._live_list = list(self._live.values())
        return self._live_list

    def list_responsible(self, is_leaving: bool, knows_jobs: bool) -> list[str]:
        """Returns the members that may start batch items.

        These are the members that can read the log of jobs. If none can, the
        log is unavailable to all, and all members continue with the jobs that
        they know. Members in a planned stop are left out.

        Args:
            is_leaving: Whether this member is in a planned stop.
            knows_jobs: Whether this member can read the log of jobs.
        """
        live = self.list_live()
        key = (self.version, is_leaving, knows_jobs)
        if key == self._responsible_key:
            return self._responsible
        members: list[str] = []
        informed: list[str] = []
        if not is_leaving:
            members.append(self.member)
            if knows_jobs:
                informed.append(self.member)
        for peer in live:
            if peer.message is None or peer.message.is_leaving:
                continue
            members.append(peer.member)
            if peer.message.knows_jobs:
                informed.append(peer.member)
        self._responsible_key = key
        self._responsible = informed or members
        return self._responsible

    def get_older_release_age_s(self) -> float:
        """Returns the time since a member that records no streams was heard.

        It is infinite if there was none.
        """
        heard_at_s = float('-inf')
        for peer in self.peers.values():
            if peer.is_older_release():
                heard_at_s = max(heard_at_s, peer.heard_at_s)
        return trio.current_time() - heard_at_s

    def is_row_confirmed(self, service: str, generation: int) -> bool:
        """Returns whether all other members know a row of versions.

        A member that has been silent for `MINORITY_SHARE_KEPT_S` is not asked.
        """
        now_s = trio.current_time()
        for peer in self.peers.values():
            last_at_s = max(peer.heard_at_s, peer.known_since_s)
            if now_s - last_at_s > MINORITY_SHARE_KEPT_S:
                continue
            rows = peer.message.stream_versions if peer.message else None
            row = rows.get(service) if rows else None
            if row is None or row.generation < generation:
                return False
        return True

    def count_informed(self) -> int:
        """Returns how many live peers can read the log of jobs.

        Peers in a planned stop are left out.
        """
        count = 0
        for peer in self.list_live():
            if peer.message is None or peer.message.is_leaving:
                continue
            if peer.message.knows_jobs:
                count += 1
        return count

    def get_reachable_share(self) -> float:
        """Returns the share of the members that this one can hear, itself too.

        A silent member may be cut off from this one alone, and still send
        requests. It counts until it is taken for lost, or said that it leaves.
        """
        live_count = len(self.list_live()) + 1
        if self._swept_at_s == self._share_swept_at_s:
            return self._share
        self._share_swept_at_s = self._swept_at_s
        self._share = self._compute_share(live_count)
        return self._share

    def _compute_share(self, live_count: int) -> float:
        """Returns the share of some members, this one included."""
        now_s = trio.current_time()
        silent_count = 0
        long_silent_count = 0
        for peer in self.peers.values():
            if peer.member in self._live:
                continue
            if peer.message is None:
                grace_s = START_GRACE_S if live_count > 1 else SHARE_KEPT_S
                silent_count += now_s - peer.known_since_s < grace_s
                continue
            if peer.message.is_leaving:
                continue
            silent_s = now_s - peer.heard_at_s
            silent_count += silent_s < SHARE_KEPT_S
            long_silent_count += silent_s < MINORITY_SHARE_KEPT_S
        if long_silent_count > live_count:
            silent_count = max(silent_count, long_silent_count)
        return live_count / (live_count + silent_count)

    def list_due(self, wanted: Collection[str] | None = None) -> list[Peer]:
        """Returns the peers to send a message to now, and records the time.

        Those that are not live are sent one now and then, so that members that
        were cut off from each other meet again.

        Args:
            wanted: Names of the live peers to send to; all if None.
        """
        now_s = trio.current_time()
        due: list[Peer] = []
        probes = 0
        for peer in self.peers.values():
            if now_s - peer.heard_at_s < SILENT_S:
                if wanted is None or peer.member in wanted:
                    due.append(peer)
                continue
            if probes >= MAX_PROBES:
                continue
            silent_s = now_s - max(peer.heard_at_s, peer.known_since_s)
            interval_s = PROBE_INTERVAL_S
            if silent_s > RARE_PROBES_AFTER_S:
                interval_s = RARE_PROBE_INTERVAL_S
            if now_s - peer.sent_at_s >= interval_s:
                due.append(peer)
                probes += 1
        for peer in due:
            peer.sent_at_s = now_s
        return due

    def list_overdue(self) -> list[Peer]:
        """Returns live peers to send a query to now, and records the time.

        These have not been heard for longer than their messages take.
        """
        now_s = trio.current_time()
        overdue: list[Peer] = []
        for peer in self._live.values():
            if now_s - peer.heard_at_s < QUERIED_AFTER_S:
                continue
            if now_s - peer.queried_at_s < QUERY_INTERVAL_S:
                continue
            peer.queried_at_s = now_s
            overdue.append(peer)
            if len(overdue) == MAX_QUERIES:
                break
        return overdue

    def _mark_heard(self, peer: Peer, sequence: int) -> None:
        """Records a newer message of a peer."""
        if peer.member not in self._live or not peer.is_live():
            _LOGGER.info(
                'peer_heard',
                extra={
                    'peer': peer.member,
                    'address': peer.address,
                    'incarnation': peer.incarnation,
                    'document_version': (
                        peer.message.document_version if peer.message else 0
                    ),
                },
            )
        if self._message_listener is not None and peer.message is not None:
            self._message_listener.record_message(peer, peer.message.quota_use)
        peer.sequence = sequence
        peer.heard_at_s = trio.current_time()
        if peer.member not in self._live:
            self._live[peer.member] = peer
            self._mark_changed()

    def _sweep(self, now_s: float) -> None:
        """Drops what was told by peers that have become silent."""
        for peer in list(self._live.values()):
            if now_s - peer.heard_at_s < SILENT_S:
                continue
            del self._live[peer.member]
            self._mark_changed()
            self._load.forget_peer(peer.member)
            self._health.forget_peer(peer.member)
            self._rate_limits.forget_peer(peer.member)
            if self._paces is not None:
                self._paces.forget_peer(peer.member)
            _LOGGER.info(
                'peer_silent',
                extra={
                    'peer': peer.member,
                    'last_heard_ms_ago': int((now_s - peer.heard_at_s) * 1000),
                    'claims_kept': self.claims.has_claims(peer.member),
                },
            )
        for member in self.claims.list_claimants():
            peer = self.peers[member]
            silent_s = now_s - peer.heard_at_s
            is_leaving = peer.message is None or peer.message.is_leaving
            kept_s = 0.0 if is_leaving else CLAIMS_KEPT_S
            if silent_s > SILENT_S + kept_s:
                self._drop_claims(member, 'silent')

    def _apply_claims(self, message: _peer_message.PeerMessage) -> None:
        held = message.held_tags
        kept = message.kept_tags
        if message.is_leaving:
            # A peer that shuts down is about to hand its output over.
            held = held | kept
            kept = set()
        self.claims.replace(message.member, held, kept)

    def _drop_claims(self, member: str, reason: str) -> None:
        if not self.claims.has_claims(member):
            return
        self.claims.drop(member)
        _LOGGER.info(
            'peer_claims_dropped', extra={'peer': member, 'reason': reason}
        )

    def _mark_changed(self) -> None:
        self.version += 1
        self._live_list = None

    def _get_or_create_peer(
        self, member: str, address: str, incarnation: int
    ) -> Peer:
        """Returns a peer, created anew if the incarnation is later."""
        peer = self.peers.get(member)
        if peer is None or incarnation > peer.incarnation:
            if self._live.pop(member, None) is not None:
                self._mark_changed()
            self._drop_claims(member, 'restarted')
            self._rate_limits.forget_peer(member)
            peer = Peer(member, address, incarnation)
            self.peers[member] = peer
            _LOGGER.info(
                'peer_known',
                extra={
                    'peer': member,
                    'address': address,
                    'incarnation': incarnation,
                },
            )
        return peer


def _may_be_repeated(message: _peer_message.PeerMessage | None) -> bool:
    """Returns whether an equal message tells the same a moment later.

    Ages and decaying counts do not.
    """
    if message is None:
        return False
    return not (
        message.crashes
        or message.failure_tallies
        or message.departures
        or message.suspect_parts
        or message.rate_limits
    )


def create_peer_directory(
    member: str,
    load: placement.LoadTable,
    crash_tracker: placement.CrashTracker,
    health: placement.UpstreamHealth,
    rate_limits: placement.RateLimits | None = None,
    paces: placement.UpstreamPaces | None = None,
) -> PeerDirectory:
    """Creates a directory without peers.

    Args:
        member: Name of this VM.
        load: Receives the requests in flight of peers.
        crash_tracker: Receives the crashes that peers tell.
        health: Receives the upstream tallies of peers.
        rate_limits: Receives what peers tell of limits of upstreams.
        paces: Receives what peers tell of starting upstreams.
    """
    return PeerDirectory(
        member,
        load,
        crash_tracker,
        health,
        rate_limits or placement.create_rate_limits(),
        paces,
    )
