"""Finds the offset from which a stream is replayed."""

from google.protobuf import message

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import records_pb2


class ReplayStart:
    """Where replay starts.

    Attributes:
        first_offset: Oldest offset that the log holds.
        anchor: Newest snapshot that the log holds completely, or None to start
            at the oldest offset.
    """

    __slots__ = ('first_offset', 'anchor')

    def __init__(
        self, first_offset: int, anchor: records_pb2.Anchor | None
    ) -> None:
        self.first_offset = first_offset
        self.anchor = anchor


async def find_replay_start(
    log: backing_services.LogService, stream: str
) -> ReplayStart | results.Failure:
    """Finds the newest complete snapshot that the log still holds.

    Every envelope names the newest snapshot that its writer has read back,
    and a snapshot that has been read back stays valid. The last record of the
    stream is therefore usually enough. The rest of the stream is searched
    only if the snapshot named by the last record has expired.
    """
    stored = await log.stream_range(stream)
    if isinstance(stored, results.Failure):
        return stored
    if stored.next_offset <= stored.first_offset:
        return ReplayStart(stored.first_offset, None)
    anchor = await _find_newest_anchor(
        log, stream, stored.next_offset - 1, stored.first_offset
    )
    if isinstance(anchor, records_pb2.Anchor | results.Failure):
        if isinstance(anchor, results.Failure):
            return anchor
        return ReplayStart(stored.first_offset, anchor)
    if stored.first_offset == 1:
        return ReplayStart(1, None)
    anchor = await _find_newest_anchor(
        log, stream, stored.first_offset, stored.first_offset
    )
    if isinstance(anchor, results.Failure):
        return anchor
    return ReplayStart(stored.first_offset, anchor)


async def _find_newest_anchor(
    log: backing_services.LogService,
    stream: str,
    from_offset: int,
    first_offset: int,
) -> records_pb2.Anchor | None | results.Failure:
    """Returns the newest unexpired anchor named at or after an offset."""
    newest: records_pb2.Anchor | None = None
    offset = from_offset
    while True:
        page = await log.read(stream, offset)
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, backing_services.LogExpired):
            offset = first_offset = page.first_offset
            newest = None
            continue
        for record in page.records:
            anchor = _decode_anchor(record)
            if anchor is None or anchor.replay_offset < first_offset:
                continue
            if newest is None or anchor.replay_offset > newest.replay_offset:
                newest = anchor
        offset += len(page.records)
        if offset >= page.next_offset or not page.records:
            return newest


def _decode_anchor(
    record: backing_services.LogRecord,
) -> records_pb2.Anchor | None:
    """Returns the anchor that a record names, if any."""
    envelope = records_pb2.Envelope()
    try:
        envelope.ParseFromString(record.data)
    except message.DecodeError:
        return None
    if not envelope.HasField('anchor') or not envelope.anchor.replay_offset:
        return None
    return envelope.anchor
