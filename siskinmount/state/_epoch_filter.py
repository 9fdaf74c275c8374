"""Decides which records of a state stream count.

A stream is a sequence of claims and of records written under them. A claim
counts if it names the claim in force before it, so that a claim that was
delayed on its way cannot take a stream from a later owner. Its offset is the
epoch. Any other record counts if its epoch is the one in force, no release has
ended it, and its sequence number is above that of the last record that
counted. All readers reach the same verdicts, whoever they are.
"""

import enum

from siskinmount.state import records_pb2


class Verdict(enum.Enum):
    """Whether a record counts."""

    #: A new epoch begins.
    CLAIM = 'claim'

    #: The record is the epoch's next one.
    ACCEPTED = 'counts'

    #: A claim that names an epoch that is not in force.
    REJECTED_CLAIM = 'void_claim'

    #: The record's epoch is not in force.
    STALE = 'stale'

    #: An append repeated because its answer was lost.
    DUPLICATE = 'duplicate'


class EpochFilter:
    """Judges the records of one stream in the order of their offsets.

    Attributes:
        epoch: Offset of the claim in force; 0 if there has been none.
        sequence: Sequence number of the last record that counted.
        owner_vm: VM that wrote the claim in force.
        owner_incarnation: Incarnation of the process that wrote it.
        is_released: Whether the owner has released the stream.
        is_epoch_known: False if the claim in force may have expired unread.
    """

    __slots__ = (
        'epoch',
        'sequence',
        'owner_vm',
        'owner_incarnation',
        'is_released',
        'is_epoch_known',
    )

    def __init__(self) -> None:
        self.epoch = 0
        self.sequence = 0
        self.owner_vm = ''
        self.owner_incarnation = 0
        self.is_released = False
        self.is_epoch_known = True

    def resume_at(self, anchor: records_pb2.Anchor) -> None:
        """Continues from a complete snapshot."""
        self.epoch = anchor.epoch
        self.sequence = anchor.sequence
        self.owner_vm = anchor.owner_vm
        self.owner_incarnation = anchor.owner_incarnation
        self.is_released = False
        self.is_epoch_known = True

    def evaluate(self, envelope: records_pb2.Envelope, offset: int) -> Verdict:
        """Returns whether a record counts, and notes it if it does."""
        if envelope.WhichOneof('body') == 'claim':
            return self._evaluate_claim(envelope, offset)
        if (
            not self.is_epoch_known
            or self.is_released
            or envelope.epoch != self.epoch
        ):
            return Verdict.STALE
        if envelope.sequence <= self.sequence:
            return Verdict.DUPLICATE
        self.sequence = envelope.sequence
        if envelope.WhichOneof('body') == 'release':
            self.is_released = True
        return Verdict.ACCEPTED

    def _evaluate_claim(
        self, envelope: records_pb2.Envelope, offset: int
    ) -> Verdict:
        """Returns whether a claim begins an epoch, and begins it."""
        if self._is_repeated_claim(envelope):
            return Verdict.DUPLICATE
        claim = envelope.claim
        if not claim.after_expiry and (
            not self.is_epoch_known or claim.previous_epoch != self.epoch
        ):
            return Verdict.REJECTED_CLAIM
        self.epoch = offset
        self.sequence = envelope.sequence
        self.owner_vm = envelope.writer_vm
        self.owner_incarnation = envelope.writer_incarnation
        self.is_released = False
        self.is_epoch_known = True
        return Verdict.CLAIM

    def _is_repeated_claim(self, envelope: records_pb2.Envelope) -> bool:
        """Tells whether the writer of a claim already holds the stream by it."""
        return (
            self.epoch > 0
            and envelope.writer_vm == self.owner_vm
            and envelope.writer_incarnation == self.owner_incarnation
            and envelope.sequence <= self.sequence
        )
