"""Simulates members that share batch items, with faults, in virtual time.

Members are the real classes from the log follower to the item runner. The
store, the datagrams between members, the calls between them and the engines are
simulated. Each seed gives one run.
"""

import random

import orjson
import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import results
from siskinmount import stream_origins
from siskinmount import supervision
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_client
from siskinmount.gateway import _item_runner
from siskinmount.gateway import _member_announcer
from siskinmount.gateway import _result_writer
from siskinmount.jobs.tests import test_job_ledger

_Outcome = _item_client.RunOutcome
_REFUSED = results.Failure(results.ResultCode.LOG_UNAVAILABLE, 'refused')
_UNKNOWN = results.Failure(
    results.ResultCode.LOG_APPEND_UNKNOWN, 'lost', results.RunState.UNKNOWN
)
#: Faults begin within this time, and each ends within `_LONGEST_FAULT_S`.
_FAULTS_S = 8.0
_LONGEST_FAULT_S = 5.0
#: Time for which all is calm before each item must be listed.
_CALM_S = 25.0
_EVENT_COUNT = 100
_EVENT_INTERVAL_S = 0.01


class _Store:
    """One partition of a keyed log that can drop its history."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.reads = set()
        self.changed = trio.Event()

    def append(self, records, at_offset):
        offset = len(self.records)
        if at_offset is not None and at_offset != offset:
            return None
        for index, record in enumerate(records):
            self.records.append(
                keyed_log.KeyedRecord(record.key, record.value, offset + index)
            )
        self.notify()
        return offset

    def drop_history(self):
        """Drops all but the newest record of each key, and cuts all reads."""
        self.first_offset = len(self.records)
        for scope in self.reads:
            scope.cancel()

    def notify(self):
        self.changed.set()
        self.changed = trio.Event()

    def list_newest(self):
        """Returns the newest record of each key that has a value."""
        newest = {record.key: record for record in self.records}
        kept = [record for record in newest.values() if record.value]
        return sorted(kept, key=lambda record: record.key)


class _Log:
    """Implements `keyed_log.KeyedLog` for one member.

    Attributes:
        fault: None, 'refuse', 'silent', or 'lose_answers'.
    """

    def __init__(self, store, rng):
        self._store = store
        self._rng = rng
        self.fault = None

    async def append(self, records, at_offset):
        if await self._is_refused():
            return _REFUSED
        offset = self._store.append(records, at_offset)
        await trio.sleep(0.003)
        if self.fault == 'lose_answers' and self._rng.random() < 0.4:
            return _UNKNOWN
        return keyed_log.AppendRefusal.END_MOVED if offset is None else offset

    async def read(self, from_offset, wait_ms):
        if await self._is_refused():
            return _REFUSED
        scope = trio.CancelScope()
        self._store.reads.add(scope)
        with scope, trio.move_on_after(wait_ms / 1000):
            while from_offset >= len(self._store.records):
                await self._store.changed.wait()
        self._store.reads.discard(scope)
        if scope.cancelled_caught:
            return _REFUSED
        if from_offset < self._store.first_offset:
            return keyed_log.OffsetExpired(self._store.first_offset)
        return keyed_log.LogPage(
            self._store.records[from_offset:], len(self._store.records)
        )

    async def read_newest(self):
        if await self._is_refused():
            return _REFUSED
        page = keyed_log.LogPage(
            self._store.list_newest(), len(self._store.records)
        )
        await trio.sleep(self._rng.uniform(0, 0.02))
        return page

    async def _is_refused(self):
        await trio.sleep(self._rng.uniform(0.004, 0.008))
        if self.fault == 'silent':
            await trio.sleep(2.5)
        return self.fault in ('silent', 'refuse')


class _Engine:
    """A simulated engine.

    Attributes:
        started_at_ms: Changes with each restart.
        crashed: Set by a crash, and replaced by the restart; None while down.
    """

    def __init__(self):
        self.started_at_ms = 1
        self.crashed = trio.Event()


class _ItemClient:
    """Fake of `ItemClient` that runs items at simulated engines."""

    def __init__(self, simulation, member):
        self._simulation = simulation
        self._member = member

    async def run(self, next_item, progress, upstream):
        rng = self._simulation.rng
        engine = self._simulation.engines[upstream.upstream_id]
        await trio.sleep(0.015)
        crashed = engine.crashed
        if crashed is None:
            self._member.health.mark_down(upstream.upstream_id, 'refused')
            return _Outcome.NOT_RUN, 'refused'
        if rng.random() < self._simulation.exception_share:
            raise ValueError('a fault of the program')
        for number in range((progress.last_event_id or 0) + 1, _EVENT_COUNT):
            with trio.move_on_after(_EVENT_INTERVAL_S):
                await crashed.wait()
                return _Outcome.LOST, 'crashed'
            if rng.random() < self._simulation.lost_share:
                return _Outcome.LOST, 'connection closed'
            progress.last_event_id = number
            progress.events.append(str(number))
            progress.lost_runs = 0
        return _Outcome.DONE, 'complete'


class _Member:
    """A member as a gateway assembles it, without servers."""

    def __init__(self, simulation, vm):
        self.vm = vm
        self.scope = trio.CancelScope()
        self.log = _Log(simulation.store, simulation.rng)
        self.is_deaf = False
        self.is_mute = False
        self.table = jobs.create_job_table()
        self.load = placement.create_load_table()
        crash_tracker = placement.create_crash_tracker()
        self.health = placement.create_upstream_health(crash_tracker)
        self.directory = peering.create_peer_directory(
            vm, self.load, crash_tracker, self.health
        )
        self.view = fleet.create_fleet_view(
            lambda source: simulation.document, simulation.decode_upstream
        )
        follower = keyed_log.create_log_follower(
            'jobs', self.log, self.table.apply_record
        )
        self.membership = _batch_membership.create_batch_membership(
            vm, self.directory, follower
        )
        self.ledger = jobs.create_job_ledger(
            self.log, follower, self.table, 65_536
        )
        self.scheduler = jobs.create_item_scheduler(
            self.table,
            vm,
            self.membership.list_eligible_members,
            self.membership.list_peer_items,
        )
        self.incarnation = int(trio.current_time() * 1000) + 1
        self._announcer = _member_announcer.create_member_announcer(
            membership=self.membership,
            address=vm,
            failure_domain='a',
            incarnation=self.incarnation,
            members_log=None,
            view=self.view,
            load=self.load,
            health=self.health,
            rate_limits=placement.create_rate_limits(),
            paces=placement.create_upstream_paces(self.view, self.load),
            crash_tracker=crash_tracker,
            scheduler=self.scheduler,
            directory=self.directory,
            stream_versions=stream_origins.create_version_table(),
        )
        self.runner = _item_runner.create_item_runner(
            membership=self.membership,
            view=self.view,
            table=self.table,
            scheduler=self.scheduler,
            placer=placement.create_placer(self.view, self.load, self.health),
            load=self.load,
            health=self.health,
            client=_ItemClient(simulation, self),
            result_writer=_result_writer.create_result_writer(
                self.membership,
                self.scheduler,
                self.ledger,
                simulation.hand_over,
                16_384,
            ),
            metrics=_gateway_metrics.create_gateway_metrics(
                telemetry.create_metrics()
            ),
        )
        self._simulation = simulation
        self._children = [
            supervision.Child('jobs', follower.run),
            supervision.Child('ledger', self.ledger.run),
            supervision.Child('items', self.runner.run),
            supervision.Child('messages', self._send),
        ]

    async def run(self):
        self.membership.mark_started()
        with self.scope:
            await supervision.run_supervisor(self.vm, self._children)

    async def _send(self):
        sequence = 0
        while True:
            sequence += 1
            version = self.load.version
            data = peering.encode_message(
                self._announcer.create_message(sequence)
            )
            self._simulation.send_to_all(self, data)
            await trio.sleep(0.025)
            with trio.move_on_after(0.225):
                while self.load.version == version:
                    await self.load.wait_changed()


class Simulation:
    """Members, engines and a store under the faults of one seed.

    Attributes:
        left_items: Each item that is not listed at the end.
    """

    def __init__(self, seed, member_count=6, engine_count=3):
        self.rng = random.Random(seed)
        self.left_items = []
        self.exception_share = 0.0
        self.lost_share = 0.0
        self._lost_datagrams = 0.0
        self._lost_calls = 0.0
        self._member_count = member_count
        self._members = {}
        self.engines = {}
        self._engine_ids = [f'e{number}' for number in range(engine_count)]
        route = fleet.FleetRoute(
            name='r',
            host='h',
            path_prefix='/',
            kind=fleet.RouteKind.BATCH,
            shares=(fleet.ServiceShare('s', 1),),
            timeout_ms=15_000,
            target_ms=400,
            max_attempts=3,
        )
        self.document = fleet.FleetDocument(
            1, [route], {}, fleet.CallerLimits(1, 1, 1, 1), b'document'
        )

    def decode_upstream(self, upstream_id, source):
        return fleet.Upstream(
            upstream_id=upstream_id,
            service='s',
            address=transport.Address('127.0.0.1', 1),
            failure_domain='a',
            state=fleet.UpstreamState.READY,
            slot_count=8,
            started_at_ms=self.engines[upstream_id].started_at_ms,
        )

    def send_to_all(self, sender, data):
        """Sends a datagram to all other members."""
        for member in list(self._members.values()):
            if member is not sender and not sender.is_mute:
                self._nursery.start_soon(self._deliver, member, data)

    async def _deliver(self, member, data):
        await trio.sleep(self.rng.uniform(0.001, 0.005))
        if member.is_deaf or self.rng.random() < self._lost_datagrams:
            return
        member.directory.apply_message(peering.decode_message(data))

    async def hand_over(self, tag, progress, member):
        """Sends output to a member; the call or its answer may be lost."""
        handed = jobs.ItemProgress()
        handed.events = list(progress.events)
        handed.last_event_id = progress.last_event_id
        handed.is_complete = progress.is_complete
        for is_answer in (False, True):
            await trio.sleep(self.rng.uniform(0.002, 0.02))
            if self.rng.random() < self._lost_calls:
                await trio.sleep(0.3)
                return False
            if not is_answer:
                self._members[member].scheduler.accept_handover(tag, handed)
        return True

    async def run(self):
        """Runs the faults of the seed and then a calm time."""
        self.store = _Store()
        for engine_id in self._engine_ids:
            self.engines[engine_id] = _Engine()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for number in range(self._member_count):
                self._start_member(f'm{number}')
            await trio.sleep(_batch_membership.BATCH_AFTER_START_S + 1)
            for number in range(self.rng.randint(2, 8)):
                nursery.start_soon(self._submit, f'j{number}')
            for _ in range(self.rng.randint(2, 8)):
                nursery.start_soon(self._run_fault)
            await trio.sleep(_FAULTS_S + _LONGEST_FAULT_S + 1)
            await trio.sleep(_CALM_S)
            self.left_items = self._list_left()
            nursery.cancel_scope.cancel()

    def _start_member(self, vm):
        member = _Member(self, vm)
        self._members[vm] = member
        member.view.apply_document(b'document', 'simulation')
        self._announce_engines([member])
        self._nursery.start_soon(member.run)
        for one in self._members.values():
            for other in self._members.values():
                if one is not other:
                    one.directory.apply_record(_make_member_record(other))

    def _announce_engines(self, members):
        for member in members:
            for engine_id in self.engines:
                member.view.apply_upstream_record(
                    keyed_log.KeyedRecord(engine_id, b'entry', 0)
                )

    async def _submit(self, job_id):
        await trio.sleep(self.rng.uniform(0, _FAULTS_S))
        job = test_job_ledger.make_job(job_id, self.rng.randint(2, 10))
        member = self.rng.choice(list(self._members.values()))
        member.ledger.submit(jobs.AcceptJob(job, 0, 16_384, float('inf')))

    async def _run_fault(self):
        await trio.sleep(self.rng.uniform(0, _FAULTS_S))
        fault = self.rng.choice(
            [
                self._burst,
                self._crash_engines,
                self._drop_history,
                self._kill_member,
                self._stop_member,
                self._cut_from_store,
                self._cut_between_members,
                self._set_share,
                self._set_share,
            ]
        )
        await fault(self.rng.uniform(0.2, _LONGEST_FAULT_S))

    def _draw_members(self):
        members = list(self._members.values())
        return self.rng.sample(members, self.rng.randint(1, len(members)))

    async def _burst(self, length_s):
        """Callers take slots, so that items are preempted."""
        placed = []
        for engine_id in self.engines:
            for _ in range(self.rng.randint(3, 9)):
                load = self.rng.choice(list(self._members.values())).load
                load.add_online(engine_id, 1)
                placed.append((load, engine_id))
        await trio.sleep(length_s)
        for load, engine_id in placed:
            load.add_online(engine_id, -1)

    async def _crash_engines(self, length_s):
        up = []
        for engine in self.engines.values():
            if engine.crashed is not None:
                up.append(engine)
        down = up[: self.rng.randint(1, max(1, len(up) - 1))]
        for engine in down:
            engine.crashed.set()
            engine.crashed = None
        await trio.sleep(length_s)
        for engine in down:
            engine.crashed = trio.Event()
            engine.started_at_ms += 1
        self._announce_engines(self._members.values())

    async def _drop_history(self, length_s):
        self.store.drop_history()

    async def _kill_member(self, length_s):
        member = self.rng.choice(list(self._members.values()))
        member.scope.cancel()
        await trio.sleep(length_s)
        self._start_member(member.vm)

    async def _stop_member(self, length_s):
        member = self.rng.choice(list(self._members.values()))
        member.membership.is_leaving = True
        member.load.version += 1
        await trio.sleep(length_s)
        member.runner.cancel_all()
        await trio.sleep(0.4)
        member.scope.cancel()
        self._start_member(member.vm)

    async def _cut_from_store(self, length_s):
        fault = self.rng.choice(['refuse', 'silent', 'lose_answers'])
        members = self._draw_members()
        for member in members:
            member.log.fault = fault
        await trio.sleep(length_s)
        for member in members:
            member.log.fault = None

    async def _cut_between_members(self, length_s):
        name = self.rng.choice(['is_deaf', 'is_mute'])
        members = self._draw_members()
        for member in members:
            setattr(member, name, True)
        await trio.sleep(length_s)
        for member in members:
            setattr(member, name, False)

    async def _set_share(self, length_s):
        name, share = self.rng.choice(
            [
                ('lost_share', 0.03),
                ('exception_share', 0.3),
                ('_lost_datagrams', 0.6),
                ('_lost_calls', 0.4),
            ]
        )
        setattr(self, name, share)
        await trio.sleep(length_s)
        setattr(self, name, 0.0)

    def _list_left(self):
        table = jobs.create_job_table()
        for record in self.store.list_newest():
            table.apply_record(record)
        left = []
        for job in table.jobs.values():
            for item_id in job.open_items:
                left.append(f'{job.job_id}/{item_id}')
        return left


def _make_member_record(member):
    return keyed_log.KeyedRecord(
        member.vm,
        orjson.dumps({'address': member.vm, 'incarnation': member.incarnation}),
    )
