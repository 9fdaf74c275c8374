"""Plays requests, crashing upstreams and members that tell each other of them.

Upstreams and callers are simulated; what members count, tell and refuse is the
program's own. No network is used.
"""

import random

import trio

from siskinmount import placement
from siskinmount.backing_services.tests import seeded_run

_RESTART_S = 3.3
_PROBE_S = 0.052
_FIRST_EVENT_S = (0.04, 0.15)
_EVENT_INTERVAL_S = 0.026
_EVENTS = 26
_CRASH_DELAY_S = 0.05
_LOST_DATAGRAMS = 0.01
_SLOTS = 8
_CRASHING_FROM_S = 2.0


class Load:
    """What callers send.

    Attributes:
        first_parts: Number of first parts.
        second_parts: Number of second parts, each used with any first part.
        sound_per_s: Rate of sound requests.
        crashing_per_s: Rate of requests with the crashing part.
        crashing_prompts: Shared parts of these requests, in turn; `*` stands
            for any part that sound requests have in this place.
        crashing_part: The part that crashes upstreams.
    """

    def __init__(
        self,
        *,
        first_parts=8,
        second_parts=1212,
        sound_per_s=40.0,
        crashing_per_s=0.0,
        crashing_prompts=(),
        crashing_part='',
    ):
        self.first_parts = first_parts
        self.second_parts = second_parts
        self.sound_per_s = sound_per_s
        self.crashing_per_s = crashing_per_s
        self.crashing_prompts = crashing_prompts
        self.crashing_part = crashing_part

    def draw_sound(self, rng):
        """Returns the shared parts of a sound request."""
        return (
            f'first-{rng.randrange(self.first_parts)}',
            f'second-{rng.randrange(self.second_parts)}',
        )

    def draw_crashing(self, rng, number):
        """Returns the shared parts of a request with the crashing part."""
        prompt = self.crashing_prompts[number % len(self.crashing_prompts)]
        sound = self.draw_sound(rng)
        parts = []
        for index, part in enumerate(prompt):
            parts.append(sound[min(index, 1)] if part == '*' else part)
        return tuple(parts)


class _Upstream:
    """An upstream process, until it crashes."""

    def __init__(self, number, start):
        self.number = number
        self.upstream_id = f'u{number}-{start}'
        self.crashed = trio.Event()
        self.run_count = 0


class Outcome:
    """What was seen.

    Attributes:
        crash_times_s: Times of crashes under the crashing part.
        reached_times_s: Times at which requests with it reached upstreams.
        quarantined_sound: Sound parts that were in quarantine at any member.
        sound_sent: Sound requests that were sent.
        sound_started: Those that had output at the first upstream.
    """

    def __init__(self):
        self.crash_times_s = []
        self.reached_times_s = []
        self.quarantined_sound = set()
        self.sound_sent = 0
        self.sound_started = 0

    def count_late(self, window_s):
        """Returns the requests that came after the fifth crash and a window."""
        if len(self.crash_times_s) < 5:
            return 0
        since_s = sorted(self.crash_times_s)[4] + window_s
        return sum(at_s > since_s for at_s in self.reached_times_s)


class Simulation:
    """Members before upstreams."""

    def __init__(self, seed, load, member_count, upstream_count, delay_s):
        self.rng = random.Random(seed)
        self.load = load
        self.outcome = Outcome()
        self.members = [
            placement.create_crash_tracker() for _ in range(member_count)
        ]
        self._delay_s = delay_s
        self._starts = 0
        self.upstreams = {}
        for number in range(upstream_count):
            self._start_upstream(number)

    def _start_upstream(self, number):
        self._starts += 1
        self.upstreams[number] = _Upstream(number, self._starts)

    async def run(self, duration_s, disturb=None):
        """Plays the load for some time, with disturbances."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for number in range(len(self.members)):
                nursery.start_soon(self._tell, number)
            nursery.start_soon(self._send_sound)
            if self.load.crashing_per_s:
                nursery.start_soon(self._send_crashing)
            if disturb is not None:
                nursery.start_soon(disturb, self)
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()

    def crash(self, number):
        """Crashes an upstream, which starts again after some seconds."""
        upstream = self.upstreams.pop(number, None)
        if upstream is None:
            return
        upstream.crashed.set()
        self._nursery.start_soon(self._restart, number)

    async def _restart(self, number):
        await trio.sleep(_RESTART_S)
        self._start_upstream(number)

    def restart_member(self, number):
        """Replaces a member by one that knows what the store has."""
        stored = {}
        for member in self.members:
            for part in member.parts.list_quarantined():
                stored[part] = member.parts.get_report(part)
        self.members[number] = placement.create_crash_tracker()
        self.members[number].parts.apply_reports(stored, 'store')

    async def _tell(self, number):
        # As fast as members under load tell of changes.
        interval_s = max(0.05, self._delay_s / 2)
        await trio.sleep(self.rng.uniform(0, interval_s))
        while True:
            reports = self.members[number].parts.list_reports(len(self.members))
            if reports:
                self._nursery.start_soon(self._deliver, number, reports)
            self._check_quarantine(self.members[number])
            await trio.sleep(interval_s)

    async def _deliver(self, sender, reports):
        await trio.sleep(self.rng.uniform(0.2, 1) * self._delay_s)
        for number, member in enumerate(self.members):
            if number == sender or self.rng.random() < _LOST_DATAGRAMS:
                continue
            member.parts.apply_reports(reports, 'peer')

    def _check_quarantine(self, member):
        for part in member.parts.list_quarantined():
            is_refused = member.parts.find_quarantined((part,)) is not None
            if part != self.load.crashing_part and is_refused:
                self.outcome.quarantined_sound.add(part)

    async def _send_sound(self):
        while True:
            await trio.sleep(self.rng.expovariate(self.load.sound_per_s))
            parts = self.load.draw_sound(self.rng)
            if self.load.crashing_part not in parts:
                self._nursery.start_soon(self._request, parts)

    async def _send_crashing(self):
        number = 0
        await trio.sleep(_CRASHING_FROM_S)
        while True:
            await trio.sleep(self.rng.expovariate(self.load.crashing_per_s))
            parts = self.load.draw_crashing(self.rng, number)
            number += 1
            self._nursery.start_soon(self._request, parts)

    async def _request(self, parts):
        """Sends a request to two upstreams at most."""
        number = self.rng.randrange(len(self.members))
        is_sound = self.load.crashing_part not in parts
        self.outcome.sound_sent += is_sound
        for attempt in range(2):
            tracker = self.members[number]
            if tracker.parts.find_quarantined(parts):
                return
            free = [
                upstream
                for upstream in self.upstreams.values()
                if upstream.run_count < _SLOTS * 2
            ]
            if not free:
                return
            free.sort(key=lambda upstream: upstream.run_count)
            upstream = self.rng.choice(free[:3])
            if await self._attempt(tracker, upstream, parts, is_sound):
                self.outcome.sound_started += is_sound and not attempt
                return
            if tracker.parts.has_suspect(parts):
                # As a gateway waits for the probe of the lost upstream.
                await trio.sleep(_PROBE_S + 0.005)

    async def _attempt(self, tracker, upstream, parts, is_sound):
        """Runs a request; returns whether it had its whole output."""
        run = tracker.parts.begin_run(parts)
        upstream.run_count += 1
        if not is_sound:
            self.outcome.reached_times_s.append(trio.current_time())
        events = 0
        with trio.CancelScope() as scope:
            self._nursery.start_soon(_cancel_on_crash, upstream, scope)
            await trio.sleep(self.rng.uniform(*_FIRST_EVENT_S))
            if not is_sound:
                await trio.sleep(_CRASH_DELAY_S)
                self.outcome.crash_times_s.append(trio.current_time())
                self.crash(upstream.number)
                await trio.sleep_forever()
            while events < _EVENTS:
                events += 1
                if events >= placement.MIN_ADDED_EVENTS:
                    tracker.parts.record_output(run)
                await trio.sleep(_EVENT_INTERVAL_S)
            upstream.run_count -= 1
            return True
        if scope.cancelled_caught:
            tracker.record_interrupted_run(
                str(self.rng.random()),
                upstream.upstream_id,
                added_output=events >= placement.MIN_ADDED_EVENTS,
                part_run=run,
            )
            self._nursery.start_soon(_verify, tracker, upstream)
        return False


async def _cancel_on_crash(upstream, scope):
    await upstream.crashed.wait()
    scope.cancel()


async def _verify(tracker, upstream):
    await trio.sleep(_PROBE_S)
    tracker.record_upstream_down(upstream.upstream_id)


def simulate(
    seed,
    load,
    *,
    members=8,
    upstreams=9,
    delay_s=0.02,
    duration_s=20.0,
    disturb=None,
):
    """Returns the outcome of one play.

    Args:
        seed: Draws everything.
        load: What callers send.
        members: Number of members.
        upstreams: Number of upstreams.
        delay_s: Longest time that a message takes.
        duration_s: Time that is played.
        disturb: Coroutine function that gets the simulation.
    """

    async def main():
        simulation = Simulation(seed, load, members, upstreams, delay_s)
        await simulation.run(duration_s, disturb)
        return simulation.outcome

    return seeded_run.run(seed, main)
