"""Simulates members that share upstreams which start, crash and recover.

Members have the real placer, health and windows. Upstreams, callers and the
ways of messages are simulated, in virtual time. Each seed gives one run.
"""

import collections
import random

import trio
import trio.testing

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import placement
from siskinmount import transport

_SERVICE = 's'
_ROUTE = 'r'
_SLOTS = 8
TARGET_S = 0.5
#: Time to the first byte and of a run at a warm upstream of speed 1.
_FIRST_S = 0.12
_RUN_S = 0.6
#: While an upstream is cold, each request in flight slows it by this share.
_COLD_SHARE = 0.6
#: Time after which a refused connection or a broken run is noticed.
_FAILURE_S = 0.01


class Upstream:
    """A simulated upstream with slots and a queue.

    Attributes:
        speed: Factor of its run times.
        cold_until_s: Until when it is slower the more requests it has.
        crashes_above: In-flight requests above which it crashes while cold.
        in_flight: Requests sent and not ended.
        is_up: Whether it takes connections.
        started_at_ms: Start of its process.
        crashed: Set when it crashes.
        slots: Requests that it runs at once; the others wait.
        sent_at_s: Times of requests sent to it lately.
    """

    def __init__(self, upstream_id, speed=1.0):
        self.upstream_id = upstream_id
        self.speed = speed
        self.cold_until_s = 0.0
        self.crashes_above = None
        self.in_flight = 0
        self.is_up = True
        self.started_at_ms = 1
        self.sent_at_s = collections.deque(maxlen=2000)
        self.crashed = trio.Event()
        self.slots = trio.CapacityLimiter(_SLOTS)

    def crash(self):
        self.is_up = False
        self.crashed.set()

    def restart(self, cold_s=0.0):
        """Starts a new process."""
        self.started_at_ms += 1
        self.recover(cold_s)

    def recover(self, cold_s=0.0):
        """Takes connections again, as the same process."""
        self.is_up = True
        self.crashed = trio.Event()
        self.slots = trio.CapacityLimiter(_SLOTS)
        self.cold_until_s = trio.current_time() + cold_s

    def _get_factor(self):
        if trio.current_time() >= self.cold_until_s:
            return self.speed
        return self.speed * (1 + _COLD_SHARE * self.in_flight)

    async def run(self, record_first_byte):
        """Runs a request; returns whether it was answered."""
        if not self.is_up:
            await trio.sleep(_FAILURE_S)
            return False
        crashed = self.crashed
        is_cold = trio.current_time() < self.cold_until_s
        if is_cold and self.crashes_above is not None:
            if self.in_flight > self.crashes_above:
                self.crash()
        answered = False
        async with trio.open_nursery() as nursery:

            async def work():
                nonlocal answered
                async with self.slots:
                    await trio.sleep(_FIRST_S * self._get_factor())
                    record_first_byte()
                    await trio.sleep((_RUN_S - _FIRST_S) * self.speed)
                answered = True
                nursery.cancel_scope.cancel()

            nursery.start_soon(work)
            await crashed.wait()
            nursery.cancel_scope.cancel()
        return answered


class Member:
    """A member, with what it knows of the others."""

    def __init__(self, simulation, name):
        self.name = name
        self.load = placement.create_load_table()
        self.paces = None
        self.run_times = None
        if simulation.is_paced:
            self.paces = placement.create_upstream_paces(
                simulation.view, self.load
            )
            self.run_times = placement.create_run_times()
            simulation.view.add_listener(self.paces.apply_listing)
        self.health = placement.create_upstream_health(
            placement.create_crash_tracker(), self.paces
        )
        self.placer = placement.create_placer(
            simulation.view,
            self.load,
            self.health,
            lambda: simulation.delay_s,
            paces=self.paces,
            run_times=self.run_times,
        )
        self.told_version = 0


class Simulation:
    """Members, upstreams and callers of one run.

    Attributes:
        requests: Time, upstream and whether answered in time, of each request
            that has ended.
        floods: Requests beyond the window that no message in flight explains.
    """

    def __init__(
        self,
        seed,
        member_count,
        upstream_count,
        is_paced=True,
        speeds=(1.0,),
        delay_s=None,
    ):
        self.is_paced = is_paced
        self.delay_s = delay_s or (0.02 if member_count <= 12 else 0.1)
        self.requests = []
        self.floods = []
        self.view = fleet.create_fleet_view(None, self._decode_upstream)
        self.upstreams = {}
        self.members = []
        self._rng = random.Random(seed)
        self._member_count = member_count
        self._upstream_count = upstream_count
        self._speeds = speeds
        self._offset = 0
        self._log_end = None
        self.view.watch_log_end(lambda: self._log_end)

    def _decode_upstream(self, upstream_id, source):
        return fleet.Upstream(
            upstream_id=upstream_id,
            service=_SERVICE,
            address=transport.Address('127.0.0.1', 1),
            failure_domain='a',
            state=fleet.UpstreamState.READY,
            slot_count=_SLOTS,
            started_at_ms=int(source),
        )

    def run(self, calls_per_s, play):
        """Runs callers at a rate for as long as `play(simulation)` takes."""

        async def main():
            random.seed(self._rng.random())
            await trio.sleep(100)
            for number in range(self._member_count):
                self.members.append(Member(self, f'm{number}'))
            for number in range(self._upstream_count):
                self.list_upstream(
                    Upstream(
                        f'u{number}', self._speeds[number % len(self._speeds)]
                    )
                )
            self._log_end = keyed_log.LogEnd(self._offset, trio.current_time())
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._call, calls_per_s)
                nursery.start_soon(self._tell)
                nursery.start_soon(self._keep_house)
                await play(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def list_upstream(self, upstream):
        """Writes the entry of an upstream, which all members read."""
        self.upstreams[upstream.upstream_id] = upstream
        self._write(upstream.upstream_id, b'%d' % upstream.started_at_ms)

    def unlist(self, upstream_id):
        self._write(upstream_id, None)

    def count_in_time(self, since_s, until_s):
        """Returns the share of the requests of a time answered in time."""
        ends = [
            is_in_time
            for at_s, _, is_in_time in self.requests
            if since_s <= at_s < until_s
        ]
        return sum(ends) / len(ends)

    def count_at(self, upstream_id, since_s, until_s):
        """Returns the requests of a time that an upstream answered in time."""
        return sum(
            is_in_time
            for at_s, at_id, is_in_time in self.requests
            if at_id == upstream_id and since_s <= at_s < until_s
        )

    def _write(self, upstream_id, value):
        self.view.apply_upstream_record(
            keyed_log.KeyedRecord(upstream_id, value, self._offset)
        )
        self._offset += 1

    async def _call(self, calls_per_s):
        """Sends callers' requests to members at random times."""
        while True:
            await trio.sleep(self._rng.expovariate(calls_per_s))
            member = self._rng.choice(self.members)
            self._nursery.start_soon(self._serve, member)

    async def _serve(self, member):
        """Serves a request, which may be tried twice."""
        began_at_s = trio.current_time()
        tried = set()
        upstream_id = ''
        is_in_time = False
        for _ in range(2):
            placed = member.placer.place_online(
                _SERVICE, '', tried, TARGET_S * 1500, may_use_avoided=True
            )
            if isinstance(placed, placement.Refusal):
                break
            upstream_id = placed.upstream.upstream_id
            tried.add(upstream_id)
            first_byte_at_s = await self._attempt(member, placed.upstream)
            if first_byte_at_s is not None:
                is_in_time = first_byte_at_s - began_at_s <= TARGET_S
                break
        self.requests.append((began_at_s, upstream_id, is_in_time))

    async def _attempt(self, member, entry):
        """Returns when the first byte came; None if there was no answer."""
        upstream_id = entry.upstream_id
        simulated = self.upstreams[upstream_id]
        sent_at_s = trio.current_time()
        self._check_flood(member, entry, simulated)
        simulated.sent_at_s.append(sent_at_s)
        simulated.in_flight += 1
        member.load.add_online(upstream_id, 1)
        first_byte_at_s = None

        def record_first_byte():
            nonlocal first_byte_at_s
            first_byte_at_s = trio.current_time()
            if member.paces is not None:
                member.paces.record_answer(
                    entry,
                    _ROUTE,
                    (first_byte_at_s - sent_at_s) * 1000,
                    TARGET_S * 1000,
                )

        was_up = simulated.is_up
        try:
            answered = await simulated.run(record_first_byte)
        finally:
            simulated.in_flight -= 1
            member.load.add_online(upstream_id, -1)
        if answered:
            member.health.record_success(upstream_id, sent_at_s)
            if member.run_times is not None:
                member.run_times.record(
                    entry, _ROUTE, (trio.current_time() - sent_at_s) * 1000
                )
            return first_byte_at_s
        if was_up:
            member.health.record_failure(upstream_id, 'connection lost')
        else:
            member.health.mark_down(upstream_id, 'refused')
        return None

    def _check_flood(self, member, entry, simulated):
        """Notes a request that no message in flight explains."""
        if member.paces is None:
            return
        window = member.paces.get_window(entry)
        if window is None:
            return
        # A message leaves within an interval and is on its way for up to as
        # long again.
        limit_s = trio.current_time() - 2 * self.delay_s
        unseen = sum(at_s >= limit_s for at_s in simulated.sent_at_s)
        if simulated.in_flight - unseen >= window:
            self.floods.append(
                (entry.upstream_id, simulated.in_flight, unseen, window)
            )

    async def _tell(self):
        """Has members tell each other what has changed."""
        refreshed_at_s = trio.current_time()
        while True:
            await trio.sleep(self.delay_s)
            now_s = trio.current_time()
            is_refresh = now_s - refreshed_at_s > 0.7
            if is_refresh:
                refreshed_at_s = now_s
            messages = []
            for member in self.members:
                if member.load.version == member.told_version:
                    if is_refresh:
                        self._refresh(member)
                    continue
                member.told_version = member.load.version
                counts = {
                    upstream_id: placement.UpstreamCounts(entry.online)
                    for upstream_id, entry in member.load.own.items()
                }
                reports = {}
                if member.paces is not None:
                    reports = member.paces.list_reports()
                tallies = {
                    upstream_id: placement.FailureTally(
                        tally.failures, tally.runs
                    )
                    for upstream_id, tally in (
                        member.health.list_failure_tallies().items()
                    )
                }
                messages.append((member, counts, reports, tallies))
            self._nursery.start_soon(self._deliver, messages)

    def _refresh(self, sender):
        """Has members know that one that has nothing new to tell is live."""
        for member in self.members:
            if member is not sender:
                member.load.refresh_peer(sender.name, {})

    async def _deliver(self, messages):
        await trio.sleep(self.delay_s / 2)
        for sender, counts, reports, tallies in messages:
            for member in self.members:
                if member is sender:
                    continue
                member.load.set_peer_counts(sender.name, counts)
                if member.paces is not None:
                    member.paces.apply_reports(sender.name, reports)
                member.health.set_peer_tallies(sender.name, tallies)

    async def _keep_house(self):
        while True:
            await trio.sleep(0.25)
            self._log_end = keyed_log.LogEnd(self._offset, trio.current_time())
            for member in self.members:
                if member.paces is not None:
                    member.paces.expire()
                    member.run_times.expire()
