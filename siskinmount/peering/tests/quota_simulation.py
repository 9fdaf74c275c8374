"""Simulates members that share the quotas of customers, in virtual time.

`CustomerQuotas` and `QuotaMembers` are the real classes. Messages, the members'
log and callers are simulated, with delays, losses and cuts. Each seed gives one
run.
"""

import heapq
import math
import random

from siskinmount import admission
from siskinmount import customers
from siskinmount import keyed_log
from siskinmount.peering import _quota_members

#: The rule of the users: requests in a window, and by how much they may exceed.
WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20
_MIN_DELAY_S = 0.025
_MAX_DELAY_S = 0.3
_MAX_INTERVAL_S = 0.25
_LOG_READ_S = 0.25


class _Message:

    def __init__(self, sender, sequence, rows):
        self.sender = sender.name
        self.incarnation = sender.incarnation
        self.sequence = sequence
        self.rows = rows
        self.is_leaving = sender.is_leaving


class _Peer:

    def __init__(self, member, incarnation, now_s):
        self.member = member
        self.incarnation = incarnation
        self.sequence = -1
        self.known_since_s = now_s
        self.heard_at_s = float('-inf')
        self.message = None


class _Directory:

    def __init__(self, delay_s):
        self.peers = {}
        self.message_delay_s = delay_s


class _Log:

    def __init__(self):
        self.regained_at_s = float('-inf')
        self.end = None

    def get_end(self):
        return self.end


class Member:
    """A member, with what it knows of the others.

    Attributes:
        group: Members hear those of the same group only.
        is_deaf: Whether it hears nobody, while the others hear it.
        is_frozen: Whether it does nothing.
        is_up: Whether its process runs.
    """

    def __init__(self, simulation, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.group = 0
        self.is_deaf = False
        self.is_frozen = False
        self.is_leaving = False
        self.is_up = True
        self.has_store = True
        self.sequence = 0
        self.log = _Log()
        self.log_offset = 0
        self.is_written = False
        self.renewed_at_s = float('-inf')
        self.directory = _Directory(simulation.told_delay_s)
        self.quotas = admission.create_customer_quotas(
            WINDOW_S,
            EXCESS,
            SLACK,
            clock=simulation.get_now_s,
            rng=random.Random(simulation.rng.random()),
        )
        self.members = _quota_members.create_quota_members(
            self.directory,
            self.quotas,
            is_leaving=lambda: self.is_leaving,
            clock=simulation.get_now_s,
        )
        self.members.watch_log(self.log)
        self.quotas.watch_members(self.members, self._mark_news)
        self.quotas.apply_customers(simulation.customers.values())
        self.has_news = False
        self.sent_at_s = float('-inf')

    def _mark_news(self):
        self.has_news = True

    def get_or_create_peer(self, name, incarnation, now_s):
        peer = self.directory.peers.get(name)
        if peer is None or incarnation > peer.incarnation:
            peer = _Peer(name, incarnation, now_s)
            self.directory.peers[name] = peer
        return peer

    def apply(self, message, now_s):
        """Applies a message as `PeerDirectory` does."""
        peer = self.get_or_create_peer(
            message.sender, message.incarnation, now_s
        )
        if message.incarnation < peer.incarnation:
            return
        if message.sequence <= peer.sequence:
            return
        peer.message = message
        self.members.record_message(peer, message.rows)
        peer.sequence = message.sequence
        peer.heard_at_s = now_s


class Simulation:
    """Members, callers and the members' log of one run.

    Attributes:
        admitted: Times of the admitted requests, by customer.
        asked: Times of all requests, by customer.
        demand: Requests per second, by customer.
        choose: Returns the member that gets a caller's request.
        lost_share: Share of the messages that do not arrive.
        row_bytes: Bytes of all rows that members sent, encoded.
        message_count: Messages that members sent.
        renewal_count: Records that members have written.
    """

    def __init__(self, seed, member_count, interval_s=None, delays_s=None):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        is_small = member_count <= 12
        self.interval_s = interval_s or (0.025 if is_small else 0.05)
        self.told_delay_s = 0.015 if is_small else 0.15
        self.delays_s = delays_s or (_MIN_DELAY_S, _MAX_DELAY_S)
        self.lost_share = 0.02
        self.customers = {}
        self.demand = {}
        self.admitted = {}
        self.refused = {}
        self.retry_ms = []
        self.members = {}
        self.records = []
        self.choose = self._choose_any
        self.row_bytes = 0
        self.message_count = 0
        self.renewal_count = 0
        self._events = []
        self._event_number = 0
        self._started = 0
        for number in range(member_count):
            self.start_member(f'm{number}')

    def get_now_s(self):
        return self.now_s

    def add_customer(self, name, rate_per_s, burst, demand_per_s):
        """Defines a customer, whose callers ask at a rate from now on."""
        self.set_quota(name, rate_per_s, burst)
        self.admitted.setdefault(name, [])
        self.refused.setdefault(name, [])
        self.demand[name] = demand_per_s
        self._schedule(0, self._call, name)

    def set_quota(self, name, rate_per_s, burst):
        """Publishes a quota to all members."""
        self.customers[name] = customers.Customer(name, None, rate_per_s, burst)
        for member in self.members.values():
            member.quotas.apply_customers(self.customers.values())

    def start_member(self, name):
        """Starts a member, or the next process of one."""
        self._started += 1
        earlier = self.members.get(name)
        if earlier is not None:
            earlier.is_up = False
        member = Member(self, name, self._started)
        if earlier is not None:
            member.group = earlier.group
        self.members[name] = member
        first_s = self.rng.uniform(0, 0.1)
        self._schedule(first_s, self._tick, member)
        self._schedule(first_s, self._follow_log, member)
        self._schedule(first_s, self._keep_house, member)
        return member

    def kill(self, name):
        """Ends the process of a member."""
        self.members.pop(name).is_up = False

    def list_members(self):
        return list(self.members.values())

    def set_groups(self, count):
        """Cuts the members into groups that do not hear each other."""
        for number, member in enumerate(self.members.values()):
            member.group = number % count

    def run(self, duration_s):
        """Runs for a time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            at_s, _, function, argument = heapq.heappop(self._events)
            self.now_s = at_s
            function(argument)
        self.now_s = end_s

    def count_worst_excess(self, name, since_s=0.0, until_s=float('inf')):
        """Returns the most requests in a window beyond what is allowed."""
        customer = self.customers[name]
        allowed = customer.rate_per_s * WINDOW_S + customer.burst
        limit = allowed * (1 + EXCESS) + SLACK
        return self.count_busiest(name, since_s, until_s) - limit

    def count_busiest(self, name, since_s=0.0, until_s=float('inf')):
        """Returns the most requests admitted in any `WINDOW_S`."""
        times = [at for at in self.admitted[name] if since_s <= at < until_s]
        busiest = 0
        first = 0
        for last, at_s in enumerate(times):
            while times[first] <= at_s - WINDOW_S:
                first += 1
            busiest = max(busiest, last - first + 1)
        return busiest

    def get_use(self, name, since_s, until_s):
        """Returns which share of the rate was used."""
        count = sum(since_s <= at < until_s for at in self.admitted[name])
        rate_per_s = self.customers[name].rate_per_s
        return count / (rate_per_s * (until_s - since_s))

    def _schedule(self, after_s, function, argument):
        self._event_number += 1
        heapq.heappush(
            self._events,
            (self.now_s + after_s, self._event_number, function, argument),
        )

    def _choose_any(self, name):
        del name
        return self.rng.choice(list(self.members.values()))

    def _call(self, name):
        demand_per_s = self.demand[name]
        wait_s = 0.05
        if demand_per_s:
            wait_s = self.rng.expovariate(demand_per_s)
        self._schedule(wait_s, self._call, name)
        if not demand_per_s or not self.members:
            return
        member = self.choose(name)
        if member is None or member.is_frozen:
            return
        outcome = member.quotas.admit(self.customers[name])
        if isinstance(outcome, admission.QuotaTicket):
            self.admitted[name].append(self.now_s)
        else:
            self.refused[name].append(self.now_s)
            self.retry_ms.append(outcome.retry_after_ms)

    def _tick(self, member):
        if not member.is_up:
            return
        self._schedule(self.interval_s, self._tick, member)
        if member.is_frozen:
            return
        elapsed_s = self.now_s - member.sent_at_s
        if not member.has_news and elapsed_s < _MAX_INTERVAL_S:
            return
        member.has_news = False
        member.sent_at_s = self.now_s
        member.sequence += 1
        rows = member.quotas.list_use()
        self.message_count += 1
        for name, row in rows.items():
            numbers = f'[{row.count},{row.recent_count},{row.asked_count}]'
            self.row_bytes += len(name) + len(numbers) + 4
        message = _Message(member, member.sequence, rows)
        # One event for all receivers with about the same delay.
        lo, hi = self.delays_s
        batches = {}
        lost = self.lost_share
        uniform = self.rng.uniform
        for other in self.members.values():
            if other is member or other.group != member.group:
                continue
            if other.is_deaf or (lost and self.rng.random() < lost):
                continue
            batch = math.ceil(uniform(lo, hi) * 50)
            batches.setdefault(batch, []).append(other)
        for batch, others in batches.items():
            self._schedule(batch / 50, self._deliver, (message, others))

    def _deliver(self, delivery):
        message, others = delivery
        for other in others:
            if not other.is_up:
                continue
            if other.is_frozen:
                # Datagrams wait in the socket of a frozen process.
                self._schedule(0.1, self._deliver, (message, [other]))
                continue
            other.apply(message, self.now_s)

    def _follow_log(self, member):
        """Writes and reads the members' log."""
        if not member.is_up:
            return
        self._schedule(_LOG_READ_S, self._follow_log, member)
        if member.is_frozen:
            return
        if not member.has_store:
            member.log.regained_at_s = self.now_s
            return
        elapsed_s = self.now_s - member.renewed_at_s
        is_due = elapsed_s >= _quota_members.RENEWAL_INTERVAL_S
        if not member.is_written or (is_due and member.members.misses_peers()):
            member.is_written = True
            member.renewed_at_s = self.now_s
            self.renewal_count += 1
            self.records.append((member.name, member.incarnation))
        for name, incarnation in self.records[member.log_offset :]:
            if name == member.name:
                continue
            member.get_or_create_peer(name, incarnation, self.now_s)
            member.members.record_renewal(name)
        member.log_offset = len(self.records)
        member.log.end = keyed_log.LogEnd(member.log_offset, self.now_s)

    def _keep_house(self, member):
        if not member.is_up:
            return
        self._schedule(0.25, self._keep_house, member)
        if not member.is_frozen:
            member.quotas.expire()
