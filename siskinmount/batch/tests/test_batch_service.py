"""Tests of replies about streams whose owner cannot be reached."""

import testtools
import trio

from siskinmount import batch
from siskinmount import results

_LEASES = [batch.LeaseName('j', 0, 'l0'), batch.LeaseName('j', 1, 'l1')]
_FAILURE = results.Failure(results.ResultCode.OWNER_UNKNOWN, 'nobody')


class _Streams:
    """Ownership manager that owns no stream."""

    stream_names = ('state-0',)

    def __init__(self, owner_vm):
        self._owner_vm = owner_vm

    def find_shard(self, stream):
        return _FAILURE

    def owner_vm(self, stream):
        return self._owner_vm


class _OwnerClient:
    """Client that returns a fixed reply or failure."""

    def __init__(self, reply):
        self._reply = reply

    async def renew(self, vm, request):
        return self._reply


def _list_names(names):
    return [(name.job, name.index) for name in names]


class BatchServiceTest(testtools.TestCase):

    def _renew(self, owner_vm, client):
        service = batch.create_batch_service(_Streams(owner_vm), 'vm-a', client)
        request = batch.RenewRequest('vm-s', 1, list(_LEASES))
        reply = trio.run(service.renew, request)
        # Encoded and decoded as for a sidecar.
        return batch.decode_renew_reply(reply.to_json())

    def test_lease_is_unconfirmed_unless_its_owner_replied(self):
        both = [('j', 0), ('j', 1)]
        owner_reply = batch.RenewReply(
            [batch.ItemName('j', 0)], [batch.ItemName('j', 1)]
        )
        cases = [
            ('no owner', None, _OwnerClient(owner_reply), [], both),
            ('not forwarded', 'vm-b', None, [], both),
            ('owner does not answer', 'vm-b', _OwnerClient(_FAILURE), [], both),
            (
                'owner replies',
                'vm-b',
                _OwnerClient(owner_reply),
                both[:1],
                both[1:],
            ),
        ]
        for name, owner_vm, client, cancelled, unconfirmed in cases:
            reply = self._renew(owner_vm, client)
            self.assertEqual(cancelled, _list_names(reply.cancelled), name)
            self.assertEqual(unconfirmed, _list_names(reply.unconfirmed), name)

    def test_report_reply_round_trip(self):
        sent = batch.ReportReply([True, False], [batch.ItemName('j', 1)])
        taken = batch.decode_report_reply(sent.to_json())
        self.assertEqual([True, False], taken.accepted)
        self.assertEqual([('j', 1)], _list_names(taken.cancelled))
