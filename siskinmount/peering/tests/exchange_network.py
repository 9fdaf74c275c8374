"""Members that exchange messages over a simulated network, in virtual time."""

import collections
import random

import orjson
import trio

from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement

_PORT = 1
_DELAYS_S = (0.001, 0.005)
#: Datagrams that would wait longer for a link are dropped.
_MAX_QUEUE_S = 0.5


class _Datagrams:
    """The socket of one member."""

    def __init__(self, network, sender):
        self._network = network
        self._sender = sender

    def sendto(self, data, address):
        self._network.send(self._sender, address[0], data)


class Member:
    """A member with the real classes, but for its socket.

    Attributes:
        name: Its name and its address.
        sent_count: Datagrams sent so far.
        link_mbps: Speed of its link; 0 for one that is never full.
        held_tags: Items that it claims.
    """

    def __init__(self, network, name, domain, incarnation, link_mbps=0):
        self.name = name
        self.domain = domain
        self.incarnation = incarnation
        self.sent_count = 0
        self.link_mbps = link_mbps
        # Until when the link is taken by what is sent, and by what arrives.
        self.busy_until_s = [0.0, 0.0]
        self.held_tags = set()
        self.is_leaving = False
        self.scope = trio.CancelScope()
        self.frozen_until_s = 0.0
        crash_tracker = placement.create_crash_tracker()
        self.load = placement.create_load_table()
        self.crash_tracker = crash_tracker
        self.directory = peering.create_peer_directory(
            name,
            self.load,
            crash_tracker,
            placement.create_upstream_health(crash_tracker),
        )
        self.exchange = peering.create_peer_exchange(
            host=name,
            port=_PORT,
            failure_domain=domain,
            directory=self.directory,
            load=self.load,
            create_message=self._create_message,
            link_mbps=link_mbps,
        )
        self._network = network

    async def run(self):
        with self.scope:
            await self.exchange._send(_Datagrams(self._network, self))

    def pass_link(self, direction, size_bytes):
        """Returns when a datagram has passed the link; None if it is full."""
        now_s = trio.current_time()
        if not self.link_mbps:
            return now_s
        begin_s = max(now_s, self.busy_until_s[direction])
        if begin_s - now_s > _MAX_QUEUE_S:
            return None
        self.busy_until_s[direction] = begin_s + size_bytes * 8 / (
            self.link_mbps * 1_000_000
        )
        return self.busy_until_s[direction]

    def list_live(self):
        return {peer.member for peer in self.directory.list_live()}

    def _create_message(self, sequence):
        return peering.PeerMessage(
            member=self.name,
            incarnation=self.incarnation,
            sequence=sequence,
            address=self.name,
            failure_domain=self.domain,
            link_mbps=self.link_mbps,
            is_leaving=self.is_leaving,
            knows_jobs=True,
            document_version=1,
            counts=self.load.own,
            held_tags=set(self.held_tags),
            kept_tags=set(),
            crashes=self.crash_tracker.list_reports(),
            failure_tallies={},
        )


class Network:
    """Members and the ways between them.

    Attributes:
        members: Running members by name.
        loss_share: Share of the datagrams that are lost.
        is_cut: Tells of two names whether datagrams between them are lost.
        is_lost: Tells of a receiver's name and a datagram whether it is lost.
        received: Number of datagrams that arrived, by name.
    """

    def __init__(self, nursery, seed=1):
        self.members = {}
        self.loss_share = 0.0
        self.is_cut = lambda one, other: False
        self.is_lost = lambda name, data: False
        self.received = collections.Counter()
        self._nursery = nursery
        self._rng = random.Random(seed)
        self._started = 0

    def start(self, count, domain_count=3):
        """Starts members, all of which know each other from the log."""
        for number in range(count):
            self.start_member(f'm{number}', f'd{number % domain_count}')
        self.tell_all()

    def start_member(self, name, domain, link_mbps=0):
        self._started += 1
        member = Member(self, name, domain, self._started, link_mbps)
        self.members[name] = member
        self._nursery.start_soon(member.run)
        return member

    def kill(self, name):
        self.members.pop(name).scope.cancel()

    def tell_all(self):
        """Has all members read the records of all members."""
        for member in self.members.values():
            self._tell(member)

    def _tell(self, member):
        for other in self.members.values():
            member.directory.apply_record(
                keyed_log.KeyedRecord(
                    other.name,
                    orjson.dumps(
                        {
                            'address': other.name,
                            'failure_domain': other.domain,
                            'incarnation': other.incarnation,
                            'link_mbps': other.link_mbps,
                        }
                    ),
                )
            )

    def send(self, sender, name, data):
        sender.sent_count += 1
        if self._rng.random() < self.loss_share:
            return
        if self.is_lost(name, data):
            return
        left_at_s = sender.pass_link(0, len(data))
        if left_at_s is not None and not self.is_cut(sender.name, name):
            self._nursery.start_soon(self._deliver, name, data, left_at_s)

    async def _deliver(self, name, data, left_at_s):
        await trio.sleep_until(left_at_s + self._rng.uniform(*_DELAYS_S))
        member = self.members.get(name)
        if member is None:
            return
        arrived_at_s = member.pass_link(1, len(data))
        if arrived_at_s is not None:
            await trio.sleep_until(arrived_at_s)
            self.received[name] += 1
            failure = member.exchange.handle_datagram(data)
            assert failure is None, failure.reason

    def list_unheard(self):
        """Returns pairs of members of which the first does not hear the other.

        At most a few, as there may be thousands.
        """
        names = set(self.members)
        unheard = []
        for member in self.members.values():
            for name in names - member.list_live() - {member.name}:
                unheard.append((member.name, name))
        return unheard[:5]
