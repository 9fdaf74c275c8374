"""Decides which records of a state stream are accepted.

A stream is a sequence of claims and of records written under them. A claim is
accepted if it names the current epoch, so that a claim that was delayed on its
way to the log cannot take the stream from a later owner. The offset of an
accepted claim becomes the current epoch. Any other record is accepted if it
names the current epoch, the owner has not released the stream, and its
sequence number is above that of the last accepted record. The decisions depend
on the stream alone, so all readers reach the same ones.
"""

import enum

from siskinmount.state import records_pb2


class FilterDecision(enum.Enum):
    """Whether a record is accepted."""

    #: A claim that begins a new epoch.
    CLAIM = 'claim'

    #: The next record of the current epoch.
    ACCEPTED = 'counts'

    #: A claim that names an epoch other than the current one.
    REJECTED_CLAIM = 'void_claim'

    #: A record whose epoch is not the current one, or was released.
    STALE = 'stale'

    #: A repeated append, as after a lost response of the log.
    DUPLICATE = 'duplicate'


class EpochFilter:
    """Evaluates the records of one stream in the order of their offsets.

    Attributes:
        epoch: Current epoch, the offset of the last accepted claim; 0 if there
            has been none.
        sequence: Sequence number of the last accepted record.
        owner_vm: VM that wrote the last accepted claim.
        owner_incarnation: Incarnation of the process that wrote that claim.
        is_released: Whether the owner has released the stream.
        is_epoch_known: False if the claim of the current epoch may have
            expired before this reader could read it.
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

    def evaluate(
        self, envelope: records_pb2.Envelope, offset: int
    ) -> FilterDecision:
        """Returns whether a record is accepted, and applies it if so."""
        if envelope.WhichOneof('body') == 'claim':
            return self._evaluate_claim(envelope, offset)
        if (
            not self.is_epoch_known
            or self.is_released
            or envelope.epoch != self.epoch
        ):
            return FilterDecision.STALE
        if envelope.sequence <= self.sequence:
            return FilterDecision.DUPLICATE
        self.sequence = envelope.sequence
        if envelope.WhichOneof('body') == 'release':
            self.is_released = True
        return FilterDecision.ACCEPTED

    def _evaluate_claim(
        self, envelope: records_pb2.Envelope, offset: int
    ) -> FilterDecision:
        """Returns whether a claim is accepted, and begins its epoch if so."""
        if self._is_repeated_claim(envelope):
            return FilterDecision.DUPLICATE
        claim = envelope.claim
        if not claim.after_expiry and (
            not self.is_epoch_known or claim.previous_epoch != self.epoch
        ):
            return FilterDecision.REJECTED_CLAIM
        self.epoch = offset
        self.sequence = envelope.sequence
        self.owner_vm = envelope.writer_vm
        self.owner_incarnation = envelope.writer_incarnation
        self.is_released = False
        self.is_epoch_known = True
        return FilterDecision.CLAIM

    def _is_repeated_claim(self, envelope: records_pb2.Envelope) -> bool:
        """Returns whether a claim repeats the one of the current epoch."""
        return (
            self.epoch > 0
            and envelope.writer_vm == self.owner_vm
            and envelope.writer_incarnation == self.owner_incarnation
            and envelope.sequence <= self.sequence
        )
