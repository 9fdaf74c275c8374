"""Sends and receives the messages of members as UDP datagrams.

Each message holds the complete state of a member, so the next one makes up for
a lost one. Neither acknowledgements nor ordering are needed, and a member that
does not read cannot block another. Which member sends to which is decided in
`_relay_plan`.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import logging
import socket

import trio

from siskinmount import placement
from siskinmount import results
from siskinmount import telemetry
from siskinmount.peering import _peer_datagram
from siskinmount.peering import _peer_directory
from siskinmount.peering import _peer_message
from siskinmount.peering import _relay_choice
from siskinmount.peering import _relay_plan

_LOGGER = logging.getLogger(__name__)

#: Minimum interval of messages between members that send to each other
#: directly: a fraction of the 0.25 s within which a first event is due, so that
#: peers place requests by recent counts.
MIN_INTERVAL_S = 0.025
#: Minimum interval of messages where relays pass them on. A relay collects for
#: as long what it passes on.
RELAYED_MIN_INTERVAL_S = 0.05
#: Maximum intervals of messages of a live member, in both cases.
MAX_INTERVAL_S = 0.25
RELAYED_MAX_INTERVAL_S = 0.25
#: Time for which a relay collects rows that tell nothing new, and maximum
#: interval of its messages to those that report to it. With the interval of
#: messages and two relays it is well below the time after which a member counts
#: as gone.
RELAY_TURN_S = 0.15
#: Age of what members tell through two relays: three intervals. On average it is
#: half of that, and the ways between.
RELAYED_DELAY_S = 0.15
#: How long a member that has sent a report gets digests, and a relay that has
#: sent an exchange gets exchanges.
PARTNER_KEPT_S = 2.0
#: Interval at which the plan of relays is computed again without a change of
#: the live members.
PLAN_INTERVAL_S = 0.5
MAX_DATAGRAM_BYTES = 60_000
#: Datagrams that are read before other tasks get their turn.
MAX_DATAGRAMS_PER_TURN = 64

#: Datagrams whose rows are passed on to other relays.
_REPORTED_KINDS = (
    _peer_datagram.DatagramKind.REPORT,
    _peer_datagram.DatagramKind.COPY,
)

CreateMessage = Callable[[int], _peer_message.PeerMessage]
#: Takes what was done with a datagram, such as `sent_report`.
CountDatagram = Callable[[str], None]
#: Takes what became of rows, such as `stale`, their number and size in bytes.
CountRows = Callable[[str, int, int], None]


class _Reporter:
    """A member that reports to this one.

    Attributes:
        reported_at_s: Monotonic time of its last report.
        answered_at_s: Monotonic time of the last digest; negative infinity
            before the first, which holds all rows.
    """

    __slots__ = ('reported_at_s', 'answered_at_s')

    def __init__(self) -> None:
        self.reported_at_s = trio.current_time()
        self.answered_at_s = float('-inf')


class PeerExchange:
    """Exchanges messages with other members over one UDP socket.

    Attributes:
        plan: The relays of the fleet.
    """

    __slots__ = (
        'plan',
        '_host',
        '_port',
        '_failure_domain',
        '_link_mbps',
        '_directory',
        '_load',
        '_create_message',
        '_count_datagram',
        '_count_rows',
        '_choice',
        '_reporters',
        '_exchanged_at_s',
        '_queriers',
        '_reported_rows',
        '_fresh_rows',
        '_own_row',
        '_sequence',
        '_sent_version',
        '_sent_at_s',
        '_planned_version',
        '_planned_at_s',
        '_invalid_count',
        '_wake',
        '_read_datagram',
        '_collect_datagrams',
    )

    def __init__(
        self,
        host: str,
        port: int,
        failure_domain: str,
        link_mbps: int,
        directory: _peer_directory.PeerDirectory,
        load: placement.LoadTable,
        create_message: CreateMessage,
        count_datagram: CountDatagram,
        count_rows: CountRows,
    ) -> None:
        self.plan = _relay_plan.plan_relays(
            directory.member, {directory.member: failure_domain}
        )
        self._host = host
        self._port = port
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._directory = directory
        self._load = load
        self._create_message = create_message
        self._count_datagram = count_datagram
        self._count_rows = count_rows
        self._choice = _relay_choice.create_relay_choice()
        self._reporters: dict[str, _Reporter] = {}
        self._exchanged_at_s: dict[str, float] = {}
        self._queriers: set[str] = set()
        self._reported_rows: dict[str, bytes] = {}
        self._fresh_rows: dict[str, bytes] = {}
        self._own_row = b''
        # Kept over restarts of the task: peers ignore lower numbers.
        self._sequence = 0
        self._sent_version = -1
        self._sent_at_s = float('-inf')
        self._planned_version = -1
        self._planned_at_s = float('-inf')
        self._invalid_count = 0
        self._wake = trio.Event()
        self._read_datagram = self.handle_datagram
        self._collect_datagrams = self._create_all_datagrams
        load.add_own_listener(self._wake_sender)

    def measure(self, work_times: telemetry.WorkTimes) -> None:
        """Counts the time of reading and creating datagrams from now on."""
        self._read_datagram = work_times.wrap(
            'peer_messages_received', self.handle_datagram
        )
        self._collect_datagrams = work_times.wrap(
            'peer_messages_sent', self._collect_datagrams
        )

    async def run(self) -> None:
        """Exchanges messages until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            datagrams.setblocking(False)
            datagrams.bind((self._host, self._port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, datagrams)
                nursery.start_soon(self._send, datagrams)

    async def _receive(self, datagrams: socket.socket) -> None:
        while True:
            await trio.lowlevel.wait_readable(datagrams)
            for data in self._read_turn(datagrams):
                failure = self._read_datagram(data)
                if failure is not None:
                    self._record_invalid(failure)

    def _read_turn(self, datagrams: socket.socket) -> Iterator[bytes]:
        """Yields datagrams that have arrived, at most those of one turn."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                yield datagrams.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # A peer without a listener; the next datagram may be valid.
                _LOGGER.debug('peer_refused', extra={'reason': str(error)})

    def handle_datagram(self, data: bytes) -> results.Failure | None:
        """Applies a datagram; returns why a part of it is invalid."""
        if data.startswith(b'{'):
            return self._handle_old_message(data)
        datagram = _peer_datagram.decode_datagram(data)
        if isinstance(datagram, results.Failure):
            return datagram
        self._count_datagram(f'received_{datagram.kind.name.lower()}')
        failure: results.Failure | None = None
        sizes_bytes: dict[_peer_directory.RowOutcome, list[int]] = {}
        for data_row in datagram.rows:
            row = _peer_message.split_row(data_row)
            if isinstance(row, results.Failure):
                failure = row
                continue
            outcome = self._directory.apply_row(row)
            if isinstance(outcome, results.Failure):
                failure = outcome
                continue
            sizes_bytes.setdefault(outcome, []).append(len(data_row))
            if outcome is not _peer_directory.RowOutcome.STALE:
                self._keep_row(datagram.kind, row, outcome)
        for outcome, sizes in sizes_bytes.items():
            self._count_rows(outcome.value, len(sizes), sum(sizes))
        self._record_partner(datagram)
        return failure

    def _handle_old_message(self, data: bytes) -> results.Failure | None:
        """Applies a message of a member of the release before rows."""
        message = _peer_message.decode_message(data)
        if isinstance(message, results.Failure):
            return message
        self._directory.apply_message(message)
        return None

    def _keep_row(
        self,
        kind: _peer_datagram.DatagramKind,
        row: _peer_message.PeerRow,
        outcome: _peer_directory.RowOutcome,
    ) -> None:
        """Keeps a newer row to be passed on, if this member is a relay.

        One that tells nothing new can wait for others.
        """
        if kind is _peer_datagram.DatagramKind.DIGEST:
            return
        if kind in _REPORTED_KINDS:
            self._reported_rows[row.member] = row.data
        elif not self._reporters:
            return
        self._fresh_rows[row.member] = row.data
        if outcome is _peer_directory.RowOutcome.CHANGED:
            self._wake.set()

    def _record_partner(self, datagram: _peer_datagram.PeerDatagram) -> None:
        """Records what the sender of a datagram is to this member."""
        kind = datagram.kind
        sender = datagram.sender
        if sender not in self._directory.peers:
            return
        if kind is _peer_datagram.DatagramKind.DIGEST:
            self._choice.record_answer(sender)
        elif kind is _peer_datagram.DatagramKind.EXCHANGE:
            self._exchanged_at_s[sender] = trio.current_time()
        elif kind is _peer_datagram.DatagramKind.QUERY:
            self._queriers.add(sender)
            self._wake.set()
        elif kind is _peer_datagram.DatagramKind.REPORT:
            reporter = self._reporters.get(sender)
            if reporter is None:
                self._reporters[sender] = _Reporter()
                self._wake.set()
            else:
                reporter.reported_at_s = trio.current_time()

    def _record_invalid(self, failure: results.Failure) -> None:
        self._invalid_count += 1
        self._count_datagram('invalid')
        if self._invalid_count & (self._invalid_count - 1) == 0:
            _LOGGER.warning(
                'peer_message_invalid',
                extra={
                    'code': int(failure.code),
                    'reason': failure.reason,
                    'count': self._invalid_count,
                },
            )

    async def _send(self, datagrams: socket.socket) -> None:
        while True:
            self._wake = trio.Event()
            for data, address in self._collect_datagrams():
                try:
                    datagrams.sendto(data, (address, self._port))
                except OSError as error:
                    _LOGGER.debug(
                        'peer_unreachable',
                        extra={'peer': address, 'reason': str(error)},
                    )
            min_s, max_s = MIN_INTERVAL_S, MAX_INTERVAL_S
            if not self.plan.is_direct:
                min_s, max_s = RELAYED_MIN_INTERVAL_S, RELAY_TURN_S
            await trio.sleep(min_s)
            with trio.move_on_after(max_s - min_s):
                await self._wake.wait()

    def _create_all_datagrams(self) -> list[tuple[bytes, str]]:
        """Returns what is to be sent now."""
        return list(self.create_datagrams())

    def create_datagrams(self) -> Iterator[tuple[bytes, str]]:
        """Yields what is to be sent now, with the addresses of the members."""
        now_s = trio.current_time()
        self._update_plan(now_s)
        is_own_due = self._update_own_row(now_s)
        own_rows = [self._own_row] if is_own_due else []
        self._choice.update(self.plan.preferred)
        self._drop_old_partners(now_s)
        if self._is_acting_relay():
            rows = own_rows + list(self._reported_rows.values())
            yield from self._create_exchanges(rows)
            yield from self._create_digests(now_s, own_rows)
        if not self.plan.is_relay and is_own_due:
            yield from self._create_reports()
        yield from self._create_queries()
        self._reported_rows.clear()
        self._fresh_rows.clear()

    def _is_acting_relay(self) -> bool:
        """Returns whether this member passes rows on, or has to send to all."""
        if self.plan.is_relay or self._reporters or self._reported_rows:
            return True
        return self._choice.primary is None

    def _update_own_row(self, now_s: float) -> bool:
        """Encodes a new message if one is due; returns whether it is."""
        max_s = MAX_INTERVAL_S
        if not self.plan.is_direct:
            max_s = RELAYED_MAX_INTERVAL_S
        is_due = now_s - self._sent_at_s >= max_s
        if not is_due and self._load.version == self._sent_version:
            return False
        self._sequence += 1
        self._sent_version = self._load.version
        self._sent_at_s = now_s
        self._own_row = _peer_message.encode_message(
            self._create_message(self._sequence)
        )
        return True

    def _create_exchanges(
        self, rows: list[bytes]
    ) -> Iterator[tuple[bytes, str]]:
        """Yields rows for the other relays; all members if each is one."""
        if not rows:
            return
        wanted: set[str] | None = None
        if not self.plan.is_direct:
            wanted = set(self.plan.relays)
            wanted.update(self._exchanged_at_s)
        kind = _peer_datagram.DatagramKind.EXCHANGE
        datagrams = list(
            _peer_datagram.encode_datagrams(kind, self._directory.member, rows)
        )
        for peer in self._directory.list_due(wanted):
            yield from self._address(kind, datagrams, peer)

    def _create_digests(
        self, now_s: float, own_rows: list[bytes]
    ) -> Iterator[tuple[bytes, str]]:
        """Yields rows for the members that report to this one."""
        kind = _peer_datagram.DatagramKind.DIGEST
        fresh = own_rows + list(self._fresh_rows.values())
        datagrams: list[bytes] | None = None
        for name, reporter in self._reporters.items():
            is_new = reporter.answered_at_s == float('-inf')
            is_due = now_s - reporter.answered_at_s >= RELAY_TURN_S
            if not fresh and not is_due:
                continue
            reporter.answered_at_s = now_s
            peer = self._directory.peers[name]
            if is_new:
                yield from self._address(
                    kind,
                    _peer_datagram.encode_datagrams(
                        kind, self._directory.member, self._list_all_rows()
                    ),
                    peer,
                )
                continue
            if datagrams is None:
                datagrams = list(
                    _peer_datagram.encode_datagrams(
                        kind, self._directory.member, fresh
                    )
                )
            yield from self._address(kind, datagrams, peer)

    def _create_reports(self) -> Iterator[tuple[bytes, str]]:
        """Yields this member's row for its relays."""
        asked = self._choice.list_asked()
        targets = [
            (_peer_datagram.DatagramKind.REPORT, relay) for relay in asked
        ]
        secondary = self._choice.secondary
        if secondary is not None and secondary not in asked:
            targets.append((_peer_datagram.DatagramKind.COPY, secondary))
        for kind, relay in targets:
            peer = self._directory.peers.get(relay)
            if peer is None:
                continue
            datagrams = _peer_datagram.encode_datagrams(
                kind, self._directory.member, [self._own_row]
            )
            yield from self._address(kind, datagrams, peer)

    def _create_queries(self) -> Iterator[tuple[bytes, str]]:
        """Yields this member's row for the overdue, and for those that ask."""
        targets = [
            (_peer_datagram.DatagramKind.QUERY, peer)
            for peer in self._directory.list_overdue()
        ]
        for name in self._queriers:
            targets.append(
                (
                    _peer_datagram.DatagramKind.ANSWER,
                    self._directory.peers[name],
                )
            )
        self._queriers.clear()
        for kind, peer in targets:
            datagrams = _peer_datagram.encode_datagrams(
                kind, self._directory.member, [self._own_row]
            )
            yield from self._address(kind, datagrams, peer)

    def _address(
        self,
        kind: _peer_datagram.DatagramKind,
        datagrams: Iterable[bytes],
        peer: _peer_directory.Peer,
    ) -> Iterator[tuple[bytes, str]]:
        """Yields datagrams with the address of a peer, and counts them."""
        for data in datagrams:
            self._count_datagram(f'sent_{kind.name.lower()}')
            yield data, peer.address

    def _list_all_rows(self) -> list[bytes]:
        """Returns the newest rows of this member and of all live peers."""
        rows = [self._own_row]
        for peer in self._directory.list_live():
            if peer.row:
                rows.append(peer.row)
        return rows

    def _drop_old_partners(self, now_s: float) -> None:
        """Forgets members that send no reports or exchanges any more."""
        limit_s = now_s - PARTNER_KEPT_S
        for name, reporter in list(self._reporters.items()):
            if reporter.reported_at_s < limit_s:
                del self._reporters[name]
        for name, exchanged_at_s in list(self._exchanged_at_s.items()):
            if exchanged_at_s < limit_s:
                del self._exchanged_at_s[name]

    def _update_plan(self, now_s: float) -> None:
        """Computes the plan of relays if the members may have changed."""
        self._directory.list_live()
        version = self._directory.version
        if (
            version == self._planned_version
            and now_s - self._planned_at_s < PLAN_INTERVAL_S
        ):
            return
        self._planned_version = version
        self._planned_at_s = now_s
        domains = {self._directory.member: self._failure_domain}
        links = {self._directory.member: self._link_mbps}
        for peer in self._directory.peers.values():
            if peer.is_expected():
                domains[peer.member] = peer.failure_domain
                links[peer.member] = peer.link_mbps
        earlier = self.plan
        self.plan = _relay_plan.plan_relays(
            self._directory.member, domains, links
        )
        self._directory.message_delay_s = (
            _peer_directory.DIRECT_DELAY_S
            if self.plan.is_direct
            else RELAYED_DELAY_S
        )
        if (earlier.is_direct, earlier.is_relay) == (
            self.plan.is_direct,
            self.plan.is_relay,
        ):
            return
        _LOGGER.info(
            'relays_planned',
            extra={
                'members': len(domains),
                'relays': len(self.plan.relays),
                'is_direct': self.plan.is_direct,
                'is_relay': self.plan.is_relay,
                'reporters': len(self._reporters),
            },
        )

    def _wake_sender(self) -> None:
        self._wake.set()


def _ignore_datagram(what: str) -> None:
    """Counts nothing."""


def _ignore_rows(outcome: str, count: int, size_bytes: int) -> None:
    """Counts nothing."""


def create_peer_exchange(
    *,
    host: str,
    port: int,
    failure_domain: str,
    directory: _peer_directory.PeerDirectory,
    load: placement.LoadTable,
    create_message: CreateMessage,
    link_mbps: int = 0,
    count_datagram: CountDatagram = _ignore_datagram,
    count_rows: CountRows = _ignore_rows,
    work_times: telemetry.WorkTimes | None = None,
) -> PeerExchange:
    """Creates an exchange.

    Args:
        host: IP address to listen on.
        port: UDP port of all members.
        failure_domain: Failure domain of this member.
        directory: Receives what members tell.
        load: Its changes are told at once.
        create_message: Creates this member's message with a sequence number.
        link_mbps: Speed of this member's link; 0 if it is not known.
        count_datagram: Told of each datagram that is sent or received.
        count_rows: Told of the rows that are received.
        work_times: Counts the time of reading and creating datagrams.
    """
    exchange = PeerExchange(
        host,
        port,
        failure_domain,
        link_mbps,
        directory,
        load,
        create_message,
        count_datagram,
        count_rows,
    )
    if work_times is not None:
        exchange.measure(work_times)
    return exchange
