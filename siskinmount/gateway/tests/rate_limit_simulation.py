"""Simulates members that share the request rates that upstreams accept.

Members have the real placer, limits and directory. Upstreams, callers and the
ways of messages are simulated, in virtual time. Each seed gives one run.
"""

import random

import trio
import trio.testing

from siskinmount import fleet
from siskinmount import peering
from siskinmount import placement
from siskinmount import results
from siskinmount import transport

_SERVICE = 's'
_RESPONSE_S = 0.015
_RUN_S = 0.2
_ITEM_RUN_S = 2.0
_ITEM_STEP_S = 0.05
_ITEM_TURN_S = 0.5
#: Window and bounds of the rule of the users' platform.
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


class Upstream:
    """A simulated upstream.

    Attributes:
        per_s: The limit that it names; None for none.
        arrivals: Times of the requests, and whether each was of a caller.
        started_at_ms: Start of its process.
    """

    def __init__(self, upstream_id):
        self.upstream_id = upstream_id
        self.per_s = None
        self.arrivals = []
        self.started_at_ms = 1

    def count_in_busiest_window(self, since_s, until_s=float('inf')):
        """Returns the most requests in `WINDOW_S`."""
        times = [at for at, _ in self.arrivals if since_s <= at < until_s]
        busiest = 0
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            busiest = max(busiest, last - first + 1)
        return busiest

    def count_between(self, since_s, until_s, of_callers=None):
        """Returns the requests in a time; all, or one kind."""
        count = 0
        for at, is_online in self.arrivals:
            if since_s <= at < until_s and of_callers in (None, is_online):
                count += 1
        return count


class Member:
    """A member, with what it knows of the others.

    Attributes:
        group: Members hear those of the same group only.
        is_frozen: Whether it neither sends nor hears anything.
    """

    def __init__(self, simulation, name):
        self.name = name
        self.group = 0
        self.is_frozen = False
        self.is_leaving = False
        self.refused = 0
        self.retry_ms = []
        self.limits = placement.create_rate_limits()
        self.load = placement.create_load_table()
        crash_tracker = placement.create_crash_tracker()
        health = placement.create_upstream_health(crash_tracker)
        self.directory = peering.create_peer_directory(
            name, self.load, crash_tracker, health, self.limits
        )
        self.limits.watch_members(
            self.directory.get_reachable_share, lambda: simulation.delay_s
        )
        self.view = fleet.create_fleet_view(
            _refuse_document, simulation.decode_upstream
        )
        self.placer = placement.create_placer(
            self.view,
            self.load,
            health,
            lambda: simulation.delay_s,
            self.limits,
        )
        self.incarnation = int(trio.current_time() * 1000) + 1
        self.sequence = 0

    def create_message(self):
        """Returns the next message to peers, as they decode it."""
        self.sequence += 1
        return peering.decode_message(
            peering.encode_message(
                peering.PeerMessage(
                    member=self.name,
                    incarnation=self.incarnation,
                    sequence=self.sequence,
                    address=self.name,
                    is_leaving=self.is_leaving,
                    knows_jobs=True,
                    document_version=1,
                    counts=self.load.own,
                    held_tags=set(),
                    kept_tags=set(),
                    crashes={},
                    failure_tallies={},
                    rate_limits=self.limits.list_reports(),
                    demand=self.limits.list_demand(),
                )
            )
        )


class Simulation:
    """Members, upstreams and callers of one run.

    Attributes:
        delay_s: Mean age of what members hear of each other.
        members: Members by name.
        upstreams: Upstreams by id.
        lost_messages: Share of the messages that do not arrive.
        changed_at_s: Time of the last change, for the test.
    """

    def __init__(
        self,
        seed,
        member_count=8,
        upstream_count=3,
        interval_s=0.025,
        delay_s=0.015,
        hungry_members=0,
    ):
        self.delay_s = delay_s
        self.members = {}
        self.upstreams = {}
        self.changed_at_s = 0.0
        self._rng = random.Random(seed)
        self._member_count = member_count
        self._interval_s = interval_s
        self._hungry_members = hungry_members
        self.lost_messages = 0.0
        self._request_count = 0
        for number in range(upstream_count):
            self.upstreams[f'u{number}'] = Upstream(f'u{number}')

    def decode_upstream(self, upstream_id, source):
        return fleet.Upstream(
            upstream_id=upstream_id,
            service=_SERVICE,
            address=transport.Address('127.0.0.1', 1),
            failure_domain='a',
            state=fleet.UpstreamState.READY,
            slot_count=8,
            started_at_ms=self.upstreams[upstream_id].started_at_ms,
        )

    def run(self, calls_per_s, play):
        """Runs callers at a rate for as long as `play(simulation)` takes."""

        async def main():
            random.seed(self._rng.random())
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for number in range(self._member_count):
                    self.add_member(f'm{number}', number < self._hungry_members)
                nursery.start_soon(self._call, calls_per_s)
                await play(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def add_member(self, name, is_hungry=False):
        """Starts a member that has heard nothing yet."""
        member = Member(self, name)
        self.members[name] = member
        self.list_upstreams(member)
        self._nursery.start_soon(self._tell, member)
        if is_hungry:
            self._nursery.start_soon(self._run_items, member)
        return member

    def list_upstreams(self, member):
        """Has a member read the entries of all upstreams."""
        member.view.replace_upstreams(
            {upstream_id: b'x' for upstream_id in self.upstreams}, 'test'
        )

    def name_limit(self, per_s, *upstream_ids):
        """Has some upstreams, or all, name a limit."""
        for upstream_id in upstream_ids or self.upstreams:
            self.upstreams[upstream_id].per_s = per_s

    def restart(self, upstream_id):
        """Starts an upstream again; it names its limit as before."""
        self.upstreams[upstream_id].started_at_ms += 1
        for member in self.members.values():
            self.list_upstreams(member)
            member.limits.forget(upstream_id)

    def set_groups(self, count):
        """Divides the members into groups that do not hear each other."""
        for number, member in enumerate(self.members.values()):
            member.group = number % count

    def count_refused(self):
        """Returns how many requests have been refused."""
        return sum(member.refused for member in self.members.values())

    async def _call(self, calls_per_s):
        """Sends callers' requests to members at random times."""
        while True:
            await trio.sleep(self._rng.expovariate(calls_per_s))
            able = [
                member
                for member in self.members.values()
                if not member.is_frozen and not member.is_leaving
            ]
            member = self._rng.choice(able)
            placed = member.placer.place_online(
                _SERVICE, '', set(), float('inf')
            )
            if isinstance(placed, placement.Refusal):
                member.refused += 1
                member.retry_ms.append(placed.retry_after_ms)
                continue
            member.load.add_online(placed.upstream.upstream_id, 1)
            member.placer.record_send(placed.upstream.upstream_id)
            self._nursery.start_soon(
                self._answer, member, placed.upstream, True
            )

    async def _run_items(self, member):
        """Runs an item in each turn in which the member's rank has a slot.

        All members know the order of items, so that an item has the same rank
        at each of them, and begins once.
        """
        ended_turn = -1
        while True:
            await trio.sleep(_ITEM_STEP_S * self._rng.uniform(0.8, 1.2))
            turn = int(trio.current_time() / _ITEM_TURN_S)
            if member.is_frozen or turn == ended_turn:
                continue
            slots = member.placer.list_batch_slots(_SERVICE, 0)
            rank = (int(member.name[1:]) + turn * 5) % len(self.members)
            if rank >= len(slots):
                continue
            ended_turn = turn
            upstream = slots.choose(rank, set())
            counts = member.load.own.get(upstream.upstream_id)
            running = counts.batch if counts is not None else 0
            member.load.set_batch(upstream.upstream_id, running + 1, 0)
            member.placer.record_send(upstream.upstream_id)
            self._nursery.start_soon(self._answer, member, upstream, False)

    async def _answer(self, member, upstream, is_online):
        """Runs one request at an upstream, which names its limit."""
        sent_at_s = trio.current_time()
        simulated = self.upstreams[upstream.upstream_id]
        simulated.arrivals.append((sent_at_s, is_online))
        await trio.sleep(_RESPONSE_S)
        self._request_count += 1
        if member.limits.apply_response(
            upstream, simulated.per_s, sent_at_s, f'q{self._request_count}'
        ):
            member.load.version += 1
        if is_online:
            await trio.sleep(_RUN_S)
            member.load.add_online(upstream.upstream_id, -1)
            return
        await trio.sleep(_ITEM_RUN_S)
        running = member.load.own[upstream.upstream_id].batch
        member.load.set_batch(upstream.upstream_id, running - 1, 0)

    async def _tell(self, member):
        """Sends a member's messages to its peers, also when nothing is new."""
        told_version = -1
        told_at_s = float('-inf')
        while member.name in self.members:
            await trio.sleep(self._interval_s)
            if member.is_frozen:
                continue
            member.limits.expire(set(member.view.upstreams))
            now_s = trio.current_time()
            is_due = now_s - told_at_s >= 0.25
            if member.load.version != told_version or is_due:
                told_version = member.load.version
                told_at_s = now_s
                message = member.create_message()
                self._nursery.start_soon(self._deliver, member, message)

    async def _deliver(self, sender, message):
        """Applies a message at each peer that can hear the sender."""
        group = sender.group
        await trio.sleep(self.delay_s * self._rng.uniform(0.5, 1.5))
        for member in list(self.members.values()):
            if member is sender or member.group != group or member.is_frozen:
                continue
            if self._rng.random() < self.lost_messages:
                continue
            member.directory.apply_message(message)


def count_allowed(per_s):
    """Returns how many requests a limit allows in `WINDOW_S`."""
    return EXCESS_FACTOR * per_s * WINDOW_S + EXCESS_REQUESTS


def _refuse_document(source):
    return results.Failure(results.ResultCode.DOCUMENT_INVALID, 'none')
