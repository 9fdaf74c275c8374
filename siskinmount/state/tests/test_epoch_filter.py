"""Tests of which records of a state stream are accepted."""

import testtools

from siskinmount.state import _epoch_filter
from siskinmount.state import records_pb2


def _claim(vm, sequence, previous, *, after_expiry=False):
    return records_pb2.Envelope(
        writer_vm=vm,
        writer_incarnation=1,
        sequence=sequence,
        claim=records_pb2.Claim(
            previous_epoch=previous, after_expiry=after_expiry
        ),
    )


def _group(vm, sequence, epoch):
    return records_pb2.Envelope(
        writer_vm=vm,
        writer_incarnation=1,
        sequence=sequence,
        epoch=epoch,
        group=records_pb2.Group(),
    )


def _release(vm, sequence, epoch):
    return records_pb2.Envelope(
        writer_vm=vm,
        writer_incarnation=1,
        sequence=sequence,
        epoch=epoch,
        release=records_pb2.Release(),
    )


class EpochFilterTest(testtools.TestCase):

    def test_decisions(self):
        for name, stream in (
            (
                'records of the previous owner are stale after a claim',
                (
                    (_claim('a', 1, 0), 'claim'),
                    (_group('a', 2, 1), 'counts'),
                    (_claim('b', 1, 1), 'claim'),
                    (_group('a', 3, 1), 'stale'),
                    (_group('b', 2, 3), 'counts'),
                ),
            ),
            (
                'a repeated append is skipped, however late',
                (
                    (_claim('a', 1, 0), 'claim'),
                    (_group('a', 2, 1), 'counts'),
                    (_group('a', 2, 1), 'duplicate'),
                    (_group('a', 3, 1), 'counts'),
                    (_group('a', 2, 1), 'duplicate'),
                ),
            ),
            (
                'the first of two claims on one epoch is accepted',
                (
                    (_claim('a', 1, 0), 'claim'),
                    (_claim('b', 1, 0), 'void_claim'),
                    (_group('b', 2, 2), 'stale'),
                    (_group('a', 2, 1), 'counts'),
                ),
            ),
            (
                'a delayed claim does not replace a later owner',
                (
                    (_claim('a', 1, 0), 'claim'),
                    (_claim('b', 1, 1), 'claim'),
                    (_claim('c', 1, 2), 'claim'),
                    (_claim('b', 2, 2), 'void_claim'),
                    (_claim('a', 1, 0), 'void_claim'),
                    (_group('c', 2, 3), 'counts'),
                ),
            ),
            (
                'a repeated claim does not begin another epoch',
                (
                    (_claim('a', 1, 0, after_expiry=True), 'claim'),
                    (_claim('a', 1, 0, after_expiry=True), 'duplicate'),
                    (_group('a', 2, 1), 'counts'),
                ),
            ),
            (
                'nothing is accepted between a release and the next claim',
                (
                    (_claim('a', 1, 0), 'claim'),
                    (_release('a', 2, 1), 'counts'),
                    (_group('a', 3, 1), 'stale'),
                    (_claim('b', 1, 1), 'claim'),
                ),
            ),
        ):
            epoch_filter = _epoch_filter.EpochFilter()
            for offset, (envelope, expected) in enumerate(stream, start=1):
                decision = epoch_filter.evaluate(envelope, offset)
                self.assertEqual(expected, decision.value, f'{name}, {offset}')
