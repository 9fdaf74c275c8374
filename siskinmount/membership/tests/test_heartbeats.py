"""Tests of heartbeats between daemons over real connections."""

import testtools
import trio

from siskinmount import membership
from siskinmount import results
from siskinmount import rpc
from siskinmount import transport
from siskinmount.membership.tests import sample_members

SETTINGS = membership.HeartbeatSettings(
    interval_ms=50, suspect_after_ms=400, dead_after_ms=600
)


class _Daemon:
    """Sends and answers heartbeats like an entry or a sidecar."""

    def __init__(self, vm, seeds, **overrides):
        self.table = membership.create_member_table(SETTINGS)
        self.member = sample_members.create_member(vm, **overrides)
        self.configuration_text = f'text of {vm}'
        self.received = []
        self.replies = []
        self._server = rpc.create_control_server(self)
        self._seeds = seeds
        self.sender = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            self.member.control_address = await nursery.start(
                self._server.run, transport.Address('127.0.0.1', 0)
            )
            self.sender = membership.create_heartbeat_sender(
                self.table, self, self._seeds, SETTINGS
            )
            await nursery.start(self.sender.run)
            task_status.started(self.member.control_address)

    def describe_self(self):
        return self.member

    def list_crashes(self):
        return []

    async def receive_configuration(self, version, text):
        self.member.configuration_version = version
        self.received.append((version, text))

    def receive_reply(self, replier, reply):
        self.replies.append(replier.vm)

    async def heartbeat(self, request):
        sender = membership.decode_member(request.sender)
        stale = self.table.apply_heartbeat(sender)
        if stale is not None:
            return stale
        reply = rpc.HeartbeatReply(
            replier=membership.encode_member(self.member)
        )
        for entry in self.table.list_entries_for_reply():
            reply.entries.append(
                membership.encode_member(
                    entry, self.table.heard_ms_ago(entry.vm)
                )
            )
        return reply

    async def get_configuration(self, request):
        return rpc.ConfigurationReply(
            version=self.member.configuration_version,
            text=self.configuration_text,
        )

    async def get_status(self, request):
        raise NotImplementedError

    async def get_histograms(self, request):
        raise NotImplementedError


async def _wait_until(condition):
    # The conditions depend on state that has no event.
    while not condition():  # noqa: ASYNC110
        await trio.sleep(0.02)


class HeartbeatTest(testtools.TestCase):

    def run_daemons(self, check):
        """Runs `check(nursery)` and cancels the tasks that it started."""

        async def main():
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    await check(nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_entries_are_discovered_from_one_seed(self):
        async def check(nursery):
            first = _Daemon('e1', [])
            seed = await nursery.start(first.run)
            second = _Daemon('e2', [seed])
            await nursery.start(second.run)
            sidecar = _Daemon('s1', [seed])
            await nursery.start(sidecar.run)
            await _wait_until(lambda: set(sidecar.replies) == {'e1', 'e2'})
            await _wait_until(lambda: first.table.live_entry_vms() == ['e2'])
            for entry in (first, second):
                await _wait_until(lambda table=entry.table: table.find('s1'))
                vms = [m.vm for m in entry.table.list_sidecars('wordsmith')]
                self.assertEqual(['s1'], vms)

        self.run_daemons(check)

    def test_newer_configuration_is_fetched_once(self):
        async def check(nursery):
            entry = _Daemon('e1', [], configuration_version=7)
            seed = await nursery.start(entry.run)
            sidecar = _Daemon('s1', [seed], configuration_version=3)
            await nursery.start(sidecar.run)
            await _wait_until(lambda: len(sidecar.replies) >= 3)
            self.assertEqual([(7, 'text of e1')], sidecar.received)

        self.run_daemons(check)

    def test_stopped_entry_is_dropped_and_rediscovered(self):
        async def check(nursery):
            scope = trio.CancelScope()
            entry = _Daemon('e1', [])

            async def run_entry(task_status):
                with scope:
                    await entry.run(task_status)

            seed = await nursery.start(run_entry)
            sidecar = _Daemon('s1', [seed])
            await nursery.start(sidecar.run)
            await _wait_until(lambda: sidecar.table.live_entry_vms() == ['e1'])
            scope.cancel()
            await _wait_until(lambda: not sidecar.table.list_entries())
            entry = _Daemon('e1', [], incarnation=2)
            server = rpc.create_control_server(entry)
            entry.member.control_address = seed
            nursery.start_soon(server.run, seed)
            await _wait_until(lambda: sidecar.table.live_entry_vms() == ['e1'])
            self.assertEqual(2, sidecar.table.find('e1').incarnation)

        self.run_daemons(check)

    def test_replier_of_an_older_incarnation_is_ignored(self):
        async def check(nursery):
            entry = _Daemon('e1', [], incarnation=4)
            seed = await nursery.start(entry.run)
            sidecar = _Daemon('s1', [seed])
            sidecar.table.apply_heartbeat(
                sample_members.create_member('e1', incarnation=9)
            )
            await nursery.start(sidecar.run)
            await _wait_until(lambda: entry.table.find('s1'))
            await trio.sleep(0.2)
            self.assertEqual([], sidecar.replies)
            self.assertEqual(9, sidecar.table.find('e1').incarnation)

        self.run_daemons(check)


class MemberMessageTest(testtools.TestCase):

    def test_round_trip(self):
        member = sample_members.create_member(
            's1',
            state=membership.MemberState.LEAVING,
            in_flight=3,
            model_version='v2',
            configuration_version=12,
        )
        decoded = membership.decode_member(membership.encode_member(member))
        for name in membership.Member.__slots__:
            self.assertEqual(getattr(member, name), getattr(decoded, name))

    def test_invalid_fields(self):
        for field, value in (
            ('vm', ''),
            ('incarnation', 0),
            ('role', 'x'),
            ('state', ''),
            ('peers_address', 'nowhere'),
            ('control_address', ''),
        ):
            message = membership.encode_member(
                sample_members.create_member('s1')
            )
            setattr(message, field, value)
            failure = membership.decode_member(message)
            self.assertEqual(
                results.ResultCode.INVALID_FIELD, failure.code, field
            )
