"""Decides when the assumed version of a service changes.

Streams without a record are taken for streams of the assumed version, so it may
change only once no such stream of the earlier version can be resumed: it stops
being settled first, all members record all streams, and after the life of a
stream another version takes its place.
"""

from siskinmount.stream_origins import _origin_table
from siskinmount.stream_origins import _version_table

#: How long no upstream of the assumed version must be listed before another
#: version may take its place: longer than a restart of a few upstreams.
UNLISTED_S = 10.0
#: How long all streams are recorded before that.
RECORD_ALL_S = _origin_table.STREAM_LIFE_S + 5.0


class FleetSnapshot:
    """What the decision on one service depends on.

    Attributes:
        counts_by_version: Number of listed upstreams by version.
        unlisted_s: For how long none of the assumed version has been listed.
        known_s: For how long the row in force has been known.
        is_confirmed: Whether all other members know the row in force.
        has_older_members: Whether there are members of an earlier release,
            which record nothing.
    """

    __slots__ = (
        'counts_by_version',
        'unlisted_s',
        'known_s',
        'is_confirmed',
        'has_older_members',
    )

    def __init__(
        self,
        *,
        counts_by_version: dict[str, int],
        unlisted_s: float,
        known_s: float,
        is_confirmed: bool,
        has_older_members: bool,
    ) -> None:
        self.counts_by_version = counts_by_version
        self.unlisted_s = unlisted_s
        self.known_s = known_s
        self.is_confirmed = is_confirmed
        self.has_older_members = has_older_members


def plan_next_row(
    row: _version_table.VersionRow | None, snapshot: FleetSnapshot
) -> _version_table.VersionRow | None:
    """Returns the row that is to replace the one in force, or None."""
    counts = snapshot.counts_by_version
    if not counts:
        return None
    if row is None:
        if len(counts) == 1 and not snapshot.has_older_members:
            return _version_table.VersionRow(1, next(iter(counts)), True)
        return _version_table.VersionRow(1, '', False)
    if row.is_settled:
        if row.assumed_version in counts or snapshot.unlisted_s < UNLISTED_S:
            return None
        return _version_table.VersionRow(
            row.generation + 1, row.assumed_version, False
        )
    if snapshot.known_s < RECORD_ALL_S or not snapshot.is_confirmed:
        return None
    if snapshot.has_older_members:
        return None
    return _version_table.VersionRow(
        row.generation + 1, _choose_most_common(counts, row), True
    )


def _choose_most_common(
    counts: dict[str, int], row: _version_table.VersionRow
) -> str:
    """Returns the version of most upstreams, whose streams need no record."""
    best = ''
    for version in sorted(counts):
        is_more = not best or counts[version] > counts[best]
        is_equal = bool(best) and counts[version] == counts[best]
        if is_more or (is_equal and version == row.assumed_version):
            best = version
    return best
