"""Preemption of batch items by members that decide at the same time."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_preemptor
from siskinmount.gateway import _item_run
from siskinmount.jobs.tests import fake_table
from siskinmount.jobs.tests import test_job_ledger

_SLOTS = 4


class _View:
    upstreams = {
        'u': fleet.Upstream(
            upstream_id='u',
            service='s',
            address=transport.Address('127.0.0.1', 1),
            failure_domain='a',
            state=fleet.UpstreamState.READY,
            slot_count=_SLOTS,
            started_at_ms=0,
        )
    }


class ItemPreemptorTest(testtools.TestCase):

    def test_as_many_items_give_way_as_requests_are_too_many(self):
        cases = [
            # Online requests, offsets of the jobs of the members' items,
            # offsets of those that give way.
            (0, [1, 2, 3, 4], []),
            (1, [1, 2, 3, 4], [4]),
            (3, [4, 1, 3, 2], [2, 3, 4]),
            (2, [7, 7, 1], [7]),
            (4, [1, 2, 3, 4], [1, 2, 3, 4]),
            (6, [5], [5]),
        ]
        for online, offsets, expected in cases:

            async def main(online=online, offsets=offsets, expected=expected):
                self.assertEqual(
                    expected, self._preempt(online, offsets), (online, offsets)
                )

            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _preempt(self, online, offsets):
        """Has each member decide by the same counts."""
        loads = [placement.create_load_table() for _ in offsets]
        for number, load in enumerate(loads):
            load.set_batch('u', 1, offsets[number])
            for other, offset in enumerate(offsets):
                if other != number:
                    load.set_peer_counts(
                        f'm{other}',
                        {'u': placement.UpstreamCounts(0, 1, offset)},
                    )
            load.set_peer_counts(
                'caller', {'u': placement.UpstreamCounts(online)}
            )
        preempted = []
        for number, load in enumerate(loads):
            job = test_job_ledger.make_job(f'j{number}', 1)
            job.offset = offsets[number]
            item = next(iter(job.open_items.values()))
            run = _item_run.ItemRun(jobs.NextItem(job, item), 't', 'u')
            preemptor = _item_preemptor.ItemPreemptor(
                {'t': run},
                _View(),
                load,
                jobs.create_item_scheduler(
                    fake_table.FakeTable(), f'm{number}', list, dict
                ),
                _gateway_metrics.create_gateway_metrics(
                    telemetry.create_metrics()
                ),
                f'm{number}',
            )
            preemptor.preempt_overloaded()
            if run.scope.cancel_called:
                preempted.append(offsets[number])
        return sorted(preempted)
