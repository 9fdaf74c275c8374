"""The known members of the fleet, and which of them are live."""

from collections.abc import Callable
import logging

import orjson
import trio

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount import results
from siskinmount.peering import _peer_message

_LOGGER = logging.getLogger(__name__)

#: A member that was silent for this long counts as gone. A live member sends at
#: least four times a second; a frozen or disconnected member must be replaced
#: within the time that a batch item takes.
SILENT_S = 1.2
#: Interval of messages to members that are not live.
PROBE_INTERVAL_S = 1.0
#: No messages are sent to a member that was silent for this long. A member that
#: returns sends first, as it reads the list of members at its start.
FORGET_AFTER_S = 60.0


class Peer:
    """State of another member.

    Attributes:
        member: Name of the VM.
        address: IP address of the VM.
        incarnation: Start of the process as Unix time in ms.
        sequence: Sequence number of the last message; -1 before the first.
        heard_at_s: Monotonic time of the last message from the peer.
        known_since_s: Monotonic time at which the peer became known.
        sent_at_s: Monotonic time of the last message to the peer.
        message: The last message from the peer; None before the first.
    """

    __slots__ = (
        'member',
        'address',
        'incarnation',
        'sequence',
        'heard_at_s',
        'known_since_s',
        'sent_at_s',
        'message',
    )

    def __init__(self, member: str, address: str, incarnation: int) -> None:
        self.member = member
        self.address = address
        self.incarnation = incarnation
        self.sequence = -1
        self.heard_at_s = float('-inf')
        self.known_since_s = trio.current_time()
        self.sent_at_s = float('-inf')
        self.message: _peer_message.PeerMessage | None = None

    def is_live(self) -> bool:
        """Returns whether a message of the peer came in the last `SILENT_S`."""
        return trio.current_time() - self.heard_at_s < SILENT_S


#: Takes the name of a peer and what it says of upstreams that leave.
RecordDepartures = Callable[[str, dict[str, fleet.DepartureNotice]], None]


def _ignore_departures(
    peer: str, notices: dict[str, fleet.DepartureNotice]
) -> None:
    """Ignores what a peer says."""


class PeerDirectory:
    """Members of the fleet other than this process.

    Attributes:
        member: Name of this VM.
        peers: Other members by name.
    """

    __slots__ = (
        'member',
        'peers',
        '_load',
        '_crash_tracker',
        '_health',
        '_silent',
        '_record_departures',
    )

    def __init__(
        self,
        member: str,
        load: placement.LoadTable,
        crash_tracker: placement.CrashTracker,
        health: placement.UpstreamHealth,
    ) -> None:
        self.member = member
        self.peers: dict[str, Peer] = {}
        self._load = load
        self._crash_tracker = crash_tracker
        self._health = health
        self._silent: set[str] = set()
        self._record_departures: RecordDepartures = _ignore_departures

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
        except (ValueError, TypeError, KeyError) as error:
            _LOGGER.warning(
                'member_record_invalid',
                extra={
                    'code': int(results.ResultCode.LOG_RECORD_INVALID),
                    'member': record.key,
                    'reason': repr(error),
                },
            )
            return
        self._get_or_create_peer(record.key, address, incarnation)

    def apply_message(self, message: _peer_message.PeerMessage) -> None:
        """Applies a message of a member; stale ones are ignored."""
        if message.member == self.member:
            return
        peer = self._get_or_create_peer(
            message.member, message.address, message.incarnation
        )
        if message.incarnation != peer.incarnation:
            if peer.is_live():
                return
            # The clock of the VM was set back between two starts.
            peer.incarnation = message.incarnation
            peer.sequence = -1
        if message.sequence <= peer.sequence:
            return
        if not peer.is_live():
            self._silent.discard(peer.member)
            _LOGGER.info(
                'peer_heard',
                extra={
                    'peer': peer.member,
                    'address': peer.address,
                    'incarnation': peer.incarnation,
                    'document_version': message.document_version,
                },
            )
        peer.sequence = message.sequence
        peer.address = message.address
        peer.heard_at_s = trio.current_time()
        peer.message = message
        self._load.set_peer_counts(peer.member, message.counts)
        self._crash_tracker.apply_reports(message.crashes)
        self._health.set_peer_tallies(peer.member, message.failure_tallies)
        self._record_departures(peer.member, message.departures)

    def list_live(self) -> list[Peer]:
        """Returns the live peers, and drops the counts of newly silent ones."""
        live: list[Peer] = []
        for peer in self.peers.values():
            if peer.is_live():
                live.append(peer)
                continue
            if peer.message is not None and peer.member not in self._silent:
                self._silent.add(peer.member)
                self._load.forget_peer(peer.member)
                self._health.forget_peer(peer.member)
                _LOGGER.info(
                    'peer_silent',
                    extra={
                        'peer': peer.member,
                        'last_heard_ms_ago': int(
                            (trio.current_time() - peer.heard_at_s) * 1000
                        ),
                    },
                )
        return live

    def list_responsible(self, is_leaving: bool, knows_jobs: bool) -> list[str]:
        """Returns the members that may start batch items.

        These are the members that can read the log of jobs. If none can, the
        log is unavailable to all, and all members continue with the jobs that
        they know. Members in a planned stop are left out.

        Args:
            is_leaving: Whether this member is in a planned stop.
            knows_jobs: Whether this member can read the log of jobs.
        """
        members: list[str] = []
        informed: list[str] = []
        if not is_leaving:
            members.append(self.member)
            if knows_jobs:
                informed.append(self.member)
        for peer in self.list_live():
            if peer.message is None or peer.message.is_leaving:
                continue
            members.append(peer.member)
            if peer.message.knows_jobs:
                informed.append(peer.member)
        return informed or members

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

    def list_due(self) -> list[Peer]:
        """Returns the peers to send a message to now, and records the time."""
        now_s = trio.current_time()
        due: list[Peer] = []
        for peer in self.peers.values():
            if peer.is_live():
                due.append(peer)
                continue
            silent_s = now_s - max(peer.heard_at_s, peer.known_since_s)
            if silent_s > FORGET_AFTER_S:
                continue
            if now_s - peer.sent_at_s >= PROBE_INTERVAL_S:
                due.append(peer)
        for peer in due:
            peer.sent_at_s = now_s
        return due

    def _get_or_create_peer(
        self, member: str, address: str, incarnation: int
    ) -> Peer:
        """Returns a peer, created anew if the incarnation is later."""
        peer = self.peers.get(member)
        if peer is None or incarnation > peer.incarnation:
            peer = Peer(member, address, incarnation)
            self.peers[member] = peer
            self._silent.discard(member)
            _LOGGER.info(
                'peer_known',
                extra={
                    'peer': member,
                    'address': address,
                    'incarnation': incarnation,
                },
            )
        return peer


def create_peer_directory(
    member: str,
    load: placement.LoadTable,
    crash_tracker: placement.CrashTracker,
    health: placement.UpstreamHealth,
) -> PeerDirectory:
    """Creates a directory without peers.

    Args:
        member: Name of this VM.
        load: Receives the requests in flight of peers.
        crash_tracker: Receives the crashes that peers tell.
        health: Receives the upstream tallies of peers.
    """
    return PeerDirectory(member, load, crash_tracker, health)
