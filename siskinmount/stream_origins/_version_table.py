"""The version of each service that streams without a record began at."""

import logging

import trio

from siskinmount import fleet

_LOGGER = logging.getLogger(__name__)

#: How long versions that are not listed any more are remembered.
SEEN_KEPT_S = 120.0


class VersionRow:
    """What streams of one service without a record began at.

    Attributes:
        generation: Number of the row; the greatest one is in force.
        assumed_version: Version at which streams without a record began; empty
            if that is not known.
        is_settled: Whether streams of that version need no record. Before
            another version takes its place, streams of all versions are
            recorded for a while.
    """

    __slots__ = ('generation', 'assumed_version', 'is_settled')

    def __init__(
        self, generation: int, assumed_version: str, is_settled: bool
    ) -> None:
        self.generation = generation
        self.assumed_version = assumed_version
        self.is_settled = is_settled


class VersionTable:
    """The rows in force, and the versions that were listed of late.

    Attributes:
        rows: Row of each service.
    """

    __slots__ = ('rows', '_learned_at_s', '_seen_at_s', '_began_at_s')

    def __init__(self) -> None:
        self.rows: dict[str, VersionRow] = {}
        self._learned_at_s: dict[str, float] = {}
        self._seen_at_s: dict[fleet.Software, float] = {}
        self._began_at_s = trio.current_time()

    def apply_row(self, service: str, row: VersionRow, source: str) -> None:
        """Puts a row in force unless a newer one is.

        Args:
            service: The service.
            row: What is told of it.
            source: Where the row comes from, for the log.
        """
        current = self.rows.get(service)
        if current is not None and current.generation >= row.generation:
            return
        self.rows[service] = row
        self._learned_at_s[service] = trio.current_time()
        _LOGGER.info(
            'assumed_version_changed',
            extra={
                'service': service,
                'generation': row.generation,
                'assumed_version': row.assumed_version,
                'is_settled': row.is_settled,
                'source': source,
            },
        )

    def needs_record(self, software: fleet.Software) -> bool:
        """Returns whether a stream that this software begins is recorded."""
        row = self.rows.get(software.service)
        if row is None or not row.is_settled:
            return True
        return row.assumed_version != software.version

    def get_assumed(self, service: str) -> fleet.Software | None:
        """Returns what began the streams of a service without a record."""
        row = self.rows.get(service)
        if row is None or not row.assumed_version:
            return None
        return fleet.Software(service, row.assumed_version)

    def get_learned_age_s(self, service: str) -> float:
        """Returns for how long this process has known the row in force."""
        learned_at_s = self._learned_at_s.get(service)
        if learned_at_s is None:
            return 0.0
        return trio.current_time() - learned_at_s

    def record_listed(self, software: set[fleet.Software]) -> None:
        """Records what the listed upstreams run now."""
        now_s = trio.current_time()
        for each in software:
            self._seen_at_s[each] = now_s

    def get_unlisted_s(self, software: fleet.Software) -> float:
        """Returns for how long no listed upstream has run a software."""
        seen_at_s = self._seen_at_s.get(software, self._began_at_s)
        return trio.current_time() - seen_at_s

    def find_only_version(
        self, service: str, window_s: float
    ) -> fleet.Software | None:
        """Returns the only software of a service in the last `window_s`.

        It is None if there were several, if this process is younger, or if that
        is longer than versions are remembered.
        """
        limit_s = trio.current_time() - window_s
        if self._began_at_s > limit_s or window_s > SEEN_KEPT_S:
            return None
        seen: list[fleet.Software] = []
        for software, seen_at_s in self._seen_at_s.items():
            if software.service == service and seen_at_s >= limit_s:
                seen.append(software)
        return seen[0] if len(seen) == 1 else None

    def forget_unlisted(self) -> None:
        """Forgets software that was not listed for `SEEN_KEPT_S`."""
        limit_s = trio.current_time() - SEEN_KEPT_S
        for software, seen_at_s in list(self._seen_at_s.items()):
            if seen_at_s < limit_s:
                del self._seen_at_s[software]


def create_version_table() -> VersionTable:
    """Creates a table without rows."""
    return VersionTable()
