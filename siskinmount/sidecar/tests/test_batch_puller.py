"""Tests of the batch puller against fake entries, on a mock clock."""

import testtools
import trio
import trio.testing

from siskinmount import batch
from siskinmount import results
from siskinmount.sidecar import _batch_item
from siskinmount.sidecar import _batch_puller
from siskinmount.sidecar.tests import fakes
from siskinmount.sidecar.tests import test_request_runner

LEASE_MS = 3000


def create_pulled(**changes):
    fields = {
        'job': 'j',
        'index': 1,
        'attempt': 1,
        'lease': 'l',
        'lease_ms': LEASE_MS,
        'idempotent': True,
        'fingerprint': 'f',
        'body': {'prompt': 'p', 'max_tokens': 3},
    }
    return batch.PulledItem(**{**fields, **changes})


def _create_item_with_expired_lease():
    return _batch_item.create_item(create_pulled(idempotent=False))


class FakeEntry:
    """Entry that hands out items and records reports."""

    def __init__(self, vm):
        self.vm = vm
        self.peers_address = None
        self.waiting = []
        self.credits = []
        self.reports = []
        self.to_cancel = []
        self.unconfirmed = []
        self.down = False
        self.accepts_reports = True

    def add(self, count, tokens=3, job='j', idempotent=True, **body):
        for _ in range(count):
            index = len(self.waiting) + 100 * len(self.credits)
            self.waiting.append((job, index, tokens, idempotent, body))

    async def pull(self, credit, wait_ms):
        self.credits.append(credit)
        if not self.waiting:
            await trio.sleep(wait_ms / 1000)
        await trio.sleep(0.001)
        if self.down:
            return self._failure()
        items = []
        while self.waiting and len(items) < credit:
            job, index, tokens, idempotent, body = self.waiting.pop(0)
            items.append(
                create_pulled(
                    job=job,
                    index=index,
                    idempotent=idempotent,
                    body={'prompt': 'p', 'max_tokens': tokens, **body},
                )
            )
        return items

    async def renew(self, leases):
        if self.down:
            return self._failure()
        return batch.RenewReply(self.to_cancel, self.unconfirmed)

    async def report(self, reports):
        await trio.sleep(0.001)
        if self.down:
            return self._failure()
        accepted = [self.accepts_reports] * len(reports)
        if self.accepts_reports:
            self.reports.extend(reports)
        return batch.ReportReply(accepted, [])

    def close(self):
        pass

    def outcomes(self):
        return [report.outcome.value for report in self.reports]

    def _failure(self):
        return results.Failure(results.ResultCode.UPSTREAM_UNREACHABLE, '')


class BatchPullerTest(testtools.TestCase):

    def run_puller(self, check, slots=2, entry_count=1, idle_vms=()):
        async def main():
            harness = test_request_runner.RunnerHarness(slots)
            await harness.monitor.check()
            entries = [FakeEntry(f'e{n}') for n in range(entry_count)]
            async with trio.open_nursery() as nursery:
                puller = _batch_puller.BatchPuller(
                    gate=harness.gate,
                    registry=harness.registry,
                    monitor=harness.monitor,
                    run=harness.runner.run,
                    list_entries=lambda: list(entries),
                    create_link=lambda peer: peer,
                    start_task=nursery.start_soon,
                    has_backlog=lambda vm: vm not in idle_vms,
                )
                nursery.start_soon(puller.run)

                def start_online(request_id, tokens):
                    running = harness.registry.add(
                        fakes.create_run_request(request_id, True, tokens)
                    )
                    nursery.start_soon(harness.runner.run, running)
                    return running

                await check(harness, puller, entries, start_online)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_runs_all_items_of_two_entries(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(7)
            entries[1].add(3, job='k')
            await trio.sleep(10)
            self.assertEqual(['done'] * 7, entries[0].outcomes())
            self.assertEqual(['done'] * 3, entries[1].outcomes())
            output = entries[1].reports[0].output
            self.assertEqual('t0t1t2', output['text'])
            self.assertEqual(0, puller.held_count)

        self.run_puller(check, entry_count=2)

    def test_entry_without_backlog_is_not_asked(self):
        idle_vms = {'e0'}

        async def check(harness, puller, entries, start_online):
            await trio.sleep(10)
            self.assertEqual([], entries[0].credits)
            self.assertNotEqual([], entries[1].credits)
            entries[0].add(3)
            idle_vms.clear()
            await trio.sleep(10)
            self.assertEqual(['done'] * 3, entries[0].outcomes())

        self.run_puller(check, entry_count=2, idle_vms=idle_vms)

    def test_prefetch_is_bounded(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(50, tokens=100)
            await trio.sleep(3)
            self.assertEqual(4, harness.gate.count_running())
            self.assertEqual(6, puller.held_count)

        self.run_puller(check, slots=4)

    def test_free_slot_is_filled_without_a_round_trip(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(9, tokens=30)
            await trio.sleep(1)
            online = [start_online(name, 10) for name in 'ab']
            await trio.testing.wait_all_tasks_blocked()
            await trio.sleep(0.01)
            self.assertEqual(2, harness.gate.load.online_running)
            pulls = len(entries[0].credits)
            for running in online:
                await running.wait_ended()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(2, harness.gate.load.batch_running)
            self.assertEqual(pulls, len(entries[0].credits))
            # The preempted items resume where they stopped.
            resumed = {start[1] for start in harness.upstream.started[-2:]}
            self.assertNotIn(0, resumed)

        self.run_puller(check)

    def test_long_online_load_returns_items_with_their_tokens(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(2, tokens=50)
            await trio.sleep(1)
            for name in 'ab':
                start_online(name, 200)
            await trio.sleep(_batch_puller.MAX_HOLD_S + 2)
            self.assertEqual(['yielded'] * 2, entries[0].outcomes())
            tokens = entries[0].reports[0].output['resume_tokens']
            self.assertEqual('t0', tokens[0])
            self.assertEqual(0, puller.held_count)

        self.run_puller(check)

    def test_leases_are_renewed_and_cancelled_items_stop(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(2, tokens=100)
            await trio.sleep(LEASE_MS / 1000 * 2)
            self.assertEqual(
                [True] * 2,
                [item.lease_is_valid for item in puller._items.values()],
            )
            entries[0].to_cancel = [batch.ItemName('j', 0)]
            await trio.sleep(1)
            self.assertEqual(['failed'], entries[0].outcomes())
            self.assertGreater(entries[0].reports[0].wasted_tokens, 0)
            self.assertEqual(1, harness.gate.count_running())

        self.run_puller(check)

    def test_late_refusal_of_a_renewal_does_not_stop_an_item_leased_again(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(1, tokens=100)
            await trio.sleep(0.2)
            received = trio.Event()
            answered = trio.Event()
            renewed = []

            async def renew(leases):
                renewed.append([name.lease for name in leases])
                if len(renewed) > 1:
                    return batch.RenewReply([], [])
                received.set()
                await answered.wait()
                return batch.RenewReply([batch.ItemName('j', 0)], [])

            entries[0].renew = renew
            await received.wait()
            again = _batch_item.create_item(
                create_pulled(index=0, lease='later')
            )
            again.extend_lease(trio.current_time())
            puller._hold(again, 'e0')
            until_s = again.leased_until_s
            await trio.sleep(0.2)
            answered.set()
            await trio.testing.wait_all_tasks_blocked()
            [item] = puller._items.values()
            self.assertEqual(until_s, item.leased_until_s)
            await trio.sleep(2)
            self.assertEqual(['l'], renewed[0])
            self.assertEqual(['later'], renewed[-1])
            self.assertEqual([], entries[0].outcomes())
            self.assertEqual(1, puller.held_count)

        self.run_puller(check)

    def test_unconfirmed_lease_is_not_extended(self):
        # Guards against extending a lease that the owner did not confirm. Under
        # chaos, an entry could not reach a frozen owner and left the item out
        # of its reply, which was taken for a renewal.
        async def check(harness, puller, entries, start_online):
            entries[0].add(2, tokens=400)
            await trio.sleep(0.2)
            entries[0].unconfirmed = [batch.ItemName('j', 0)]
            await trio.sleep(LEASE_MS / 1000 * 1.5)
            valid = {
                item.key.index: item.lease_is_valid
                for item in puller._items.values()
            }
            self.assertEqual({0: False, 1: True}, valid)

        self.run_puller(check)

    def test_reports_are_kept_until_an_entry_answers(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(2)
            await trio.sleep(0.2)
            entries[0].down = True
            await trio.sleep(20)
            self.assertEqual(2, len(puller.reports))
            entries[0].down = False
            await trio.sleep(1)
            self.assertEqual(['done'] * 2, entries[0].outcomes())

        self.run_puller(check)

    def test_reports_for_a_removed_entry_reach_another(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(2)
            await trio.sleep(0.2)
            gone = entries.pop(0)
            gone.down = True
            await trio.sleep(3)
            self.assertEqual(['done'] * 2, entries[0].outcomes())

        self.run_puller(check, entry_count=2)

    def test_leaving_returns_all_items(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(4, tokens=100)
            await trio.sleep(1)
            puller.begin_leaving()
            await puller.wait_drained()
            self.assertEqual(['yielded'] * 3, sorted(entries[0].outcomes()))
            self.assertEqual(0, puller.held_count)

        self.run_puller(check)

    def test_upstream_crash_is_reported(self):
        for idempotent, expected in ((True, 'failed'), (False, 'unknown')):

            async def check(
                harness,
                puller,
                entries,
                start_online,
                idempotent=idempotent,
                expected=expected,
            ):
                entries[0].add(1, 50, idempotent=idempotent)
                await trio.sleep(1)
                harness.upstream.crash()
                await trio.sleep(1)
                self.assertEqual([expected], entries[0].outcomes())
                report = entries[0].reports[0]
                self.assertEqual(results.ResultCode.UPSTREAM_LOST, report.code)
                self.assertEqual('t0', report.output['resume_tokens'][0])

            self.run_puller(check)

    def test_item_of_another_version_starts_from_the_beginning(self):
        async def check(harness, puller, entries, start_online):
            harness.upstream.software_version = 'v2'
            entries[0].add(
                1, tokens=4, resume_tokens=['x0', 'x1'], resume_version='v1'
            )
            await trio.sleep(3)
            self.assertEqual(['done'], entries[0].outcomes())
            self.assertEqual('t0t1t2t3', entries[0].reports[0].output['text'])

        self.run_puller(check)

    def test_non_idempotent_item_of_another_version_is_returned(self):
        async def check(harness, puller, entries, start_online):
            harness.upstream.software_version = 'v2'
            entries[0].add(
                1,
                tokens=4,
                idempotent=False,
                resume_tokens=['x0', 'x1'],
                resume_version='v1',
            )
            await trio.sleep(10)
            report, *_ = entries[0].reports
            self.assertEqual('yielded', report.outcome.value)
            self.assertEqual(['x0', 'x1'], report.output['resume_tokens'])
            self.assertEqual('v1', report.output['resume_version'])

        self.run_puller(check)

    def test_non_idempotent_item_resumes_where_it_stopped(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(2, tokens=20, idempotent=False)
            await trio.sleep(1)
            for name in 'ab':
                start_online(name, 20)
            await trio.sleep(5)
            self.assertEqual(['done'] * 2, entries[0].outcomes())
            expected = ''.join(f't{n}' for n in range(20))
            for report in entries[0].reports:
                self.assertEqual(expected, report.output['text'])
            self.assertEqual(2, harness.gate.preempted_count)
            resumed_at = {start[1] for start in harness.upstream.started[4:]}
            self.assertNotIn(0, resumed_at)

        self.run_puller(check)

    def test_non_idempotent_item_is_returned_with_its_tokens(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(2, tokens=20, idempotent=False)
            await trio.sleep(1)
            for name in 'ab':
                start_online(name, 100)
            await trio.sleep(_batch_puller.MAX_HOLD_S + 1)
            self.assertEqual(['yielded'] * 2, entries[0].outcomes())
            for report in entries[0].reports:
                self.assertEqual('t0', report.output['resume_tokens'][0])

        self.run_puller(check)

    def test_leaving_lets_a_non_idempotent_item_finish(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(2, tokens=20, idempotent=False)
            await trio.sleep(1)
            puller.begin_leaving()
            harness.gate.close()
            await trio.sleep(3)
            self.assertEqual(['done'] * 2, entries[0].outcomes())

        self.run_puller(check)

    def test_item_whose_lease_expired_while_waiting_is_not_run(self):
        async def check(harness, puller, entries, start_online):
            for name in 'ab':
                start_online(name, 60)
            harness.gate.load.slots = 3
            await trio.sleep(0.1)
            harness.gate.load.slots = 2
            puller._hold(_create_item_with_expired_lease(), 'e0')
            await trio.sleep(0.1)
            self.assertEqual(1, puller.held_count)
            harness.gate.load.slots = 3
            harness.gate.admit_waiting()
            await trio.sleep(0.1)
            self.assertEqual(['yielded'], entries[0].outcomes())
            self.assertEqual(2, len(harness.upstream.started))

        self.run_puller(check)

    def test_item_that_may_still_run_is_not_resumed(self):
        async def check(harness, puller, entries, start_online):
            entries[0].add(1, tokens=20, idempotent=False)
            await trio.sleep(1)
            harness.upstream.loses_cancels = True
            for name in 'ab':
                start_online(name, 10)
            await trio.sleep(5)
            self.assertEqual(['unknown'], entries[0].outcomes())

        self.run_puller(check)

    def test_unaccepted_reports_are_sent_again(self):
        async def check(harness, puller, entries, start_online):
            entries[0].accepts_reports = False
            entries[0].add(2)
            await trio.sleep(5)
            self.assertEqual(2, len(puller.reports))
            entries[0].accepts_reports = True
            await trio.sleep(2)
            self.assertEqual(['done'] * 2, entries[0].outcomes())
            self.assertEqual(0, len(puller.reports))

        self.run_puller(check)

    def test_invalid_items(self):
        async def main():
            for body, kind in (
                ({'prompt': 'p'}, _batch_item.BatchItem),
                ({'method': 'GET', 'target': '/'}, _batch_item.BatchItem),
                ({}, batch.ItemReport),
                ({'prompt': 1}, batch.ItemReport),
                ({'method': 'GET'}, batch.ItemReport),
            ):
                item = _batch_item.create_item(create_pulled(body=body))
                self.assertIsInstance(item, kind, body)

        trio.run(main)
