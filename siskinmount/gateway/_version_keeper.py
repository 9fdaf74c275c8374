"""Keeps the assumed versions of services in the platform's store.

Members tell each other the rows in force, so the store is read only at the
start and before a write, which names the end of the log: of two members that
decide at the same time, one writes.
"""

import logging

import orjson
import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import results
from siskinmount import stream_origins

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
#: Interval while a service has upstreams and no row.
FIRST_ROW_INTERVAL_S = 0.05
RETRY_S = 0.5
#: How long a gateway that starts waits for the rows before it takes requests.
LOAD_TIMEOUT_S = 1.0
_STORE = 'store'


class VersionKeeper:
    """Loads the rows at the start, and replaces them as versions come and go.

    Attributes:
        is_loaded: Whether the rows in the store have been applied.
    """

    __slots__ = (
        'is_loaded',
        '_log',
        '_table',
        '_view',
        '_directory',
        '_started_at_s',
    )

    def __init__(
        self,
        log: keyed_log.KeyedLog,
        table: stream_origins.VersionTable,
        view: fleet.FleetView,
        directory: peering.PeerDirectory,
    ) -> None:
        self.is_loaded = False
        self._log = log
        self._table = table
        self._view = view
        self._directory = directory
        self._started_at_s = float('inf')
        view.add_listener(self._record_listed)
        directory.watch_versions(self._apply_peer_rows)

    async def run(self) -> None:
        """Loads the rows, then looks for services whose row must change."""
        self._started_at_s = min(self._started_at_s, trio.current_time())
        while not self.is_loaded:
            page = await self._log.read_newest()
            if isinstance(page, results.Failure):
                await trio.sleep(RETRY_S)
                continue
            self._apply_page(page)
            self.is_loaded = True
        while True:
            self._record_listed()
            self._table.forget_unlisted()
            for service in self._list_services():
                await self._check(service)
            interval_s = CHECK_INTERVAL_S
            if self._list_without_row():
                interval_s = FIRST_ROW_INTERVAL_S
            await trio.sleep(interval_s)

    def may_serve(self) -> bool:
        """Returns whether requests may be taken."""
        waited_s = trio.current_time() - self._started_at_s
        if waited_s >= LOAD_TIMEOUT_S:
            return True
        return self.is_loaded and not self._list_without_row()

    def _apply_page(self, page: keyed_log.LogPage) -> None:
        for record in page.records:
            row = _decode(record)
            if row is not None:
                self._table.apply_row(record.key, row, _STORE)

    def _apply_peer_rows(
        self, peer: str, rows: dict[str, stream_origins.VersionRow]
    ) -> None:
        for service, row in rows.items():
            self._table.apply_row(service, row, peer)

    def _record_listed(self) -> None:
        """Records the versions of the listed upstreams."""
        self._table.record_listed(
            {upstream.software for upstream in self._view.upstreams.values()}
        )

    def _list_without_row(self) -> list[str]:
        """Returns the services with listed upstreams and without a row."""
        listed = {each.service for each in self._view.upstreams.values()}
        without: list[str] = []
        for service in self._list_services():
            if service in listed and service not in self._table.rows:
                without.append(service)
        return without

    def _list_services(self) -> list[str]:
        """Returns the services with streams that may be resumed."""
        document = self._view.document
        if document is None:
            return []
        services: dict[str, None] = {}
        for route in document.routes:
            if route.kind is not fleet.RouteKind.STREAMING:
                continue
            if not route.may_repeat():
                continue
            for share in route.shares:
                services[share.service] = None
        return list(services)

    async def _check(self, service: str) -> None:
        """Replaces the row of a service, if that is due and up to this one."""
        row = self._table.rows.get(service)
        if self._plan(service, row) is None or not self._is_chosen(service):
            return
        page = await self._log.read_newest()
        if isinstance(page, results.Failure):
            return
        self._apply_page(page)
        row = self._table.rows.get(service)
        planned = self._plan(service, row)
        if planned is None:
            return
        outcome = await self._log.append(
            [keyed_log.KeyedRecord(service, _encode(planned))], page.end_offset
        )
        if isinstance(outcome, int):
            self._table.apply_row(service, planned, 'own decision')
            return
        _LOGGER.info(
            'assumed_version_not_written',
            extra={
                'service': service,
                'generation': planned.generation,
                'reason': outcome.reason
                if isinstance(outcome, results.Failure)
                else outcome.value,
            },
        )

    def _plan(
        self, service: str, row: stream_origins.VersionRow | None
    ) -> stream_origins.VersionRow | None:
        """Returns the row that is to follow the one in force, if one is."""
        counts: dict[str, int] = {}
        for upstream in self._view.upstreams.values():
            if upstream.service == service:
                version = upstream.software.version
                counts[version] = counts.get(version, 0) + 1
        generation = row.generation if row else 0
        assumed = fleet.Software(service, row.assumed_version if row else '')
        older_age_s = self._directory.get_older_release_age_s()
        return stream_origins.plan_next_row(
            row,
            stream_origins.FleetSnapshot(
                counts_by_version=counts,
                unlisted_s=self._table.get_unlisted_s(assumed),
                known_s=self._table.get_learned_age_s(service),
                is_confirmed=self._directory.is_row_confirmed(
                    service, generation
                ),
                has_older_members=older_age_s < stream_origins.STREAM_LIFE_S,
            ),
        )

    def _is_chosen(self, service: str) -> bool:
        """Returns whether this member is the one that writes the row."""
        members = [peer.member for peer in self._directory.list_live()]
        members.append(self._directory.member)
        return jobs.choose_member(service, members) == self._directory.member


def _encode(row: stream_origins.VersionRow) -> bytes:
    return orjson.dumps(
        {
            'generation': row.generation,
            'assumed_version': row.assumed_version,
            'is_settled': row.is_settled,
        }
    )


def _decode(
    record: keyed_log.KeyedRecord,
) -> stream_origins.VersionRow | None:
    """Returns the row in a record; None if it is invalid, which is logged."""
    if record.value is None:
        return None
    try:
        fields = orjson.loads(record.value)
        return stream_origins.VersionRow(
            int(fields['generation']),
            str(fields['assumed_version']),
            fields['is_settled'] is True,
        )
    except results.DECODING_ERRORS as error:
        _LOGGER.warning(
            'assumed_version_invalid',
            extra={
                'code': int(results.ResultCode.LOG_RECORD_INVALID),
                'service': record.key,
                'reason': repr(error),
            },
        )
        return None


def create_version_keeper(
    log: keyed_log.KeyedLog,
    table: stream_origins.VersionTable,
    view: fleet.FleetView,
    directory: peering.PeerDirectory,
) -> VersionKeeper:
    """Creates a keeper; nothing is read before `run`.

    Args:
        log: One record for each service.
        table: The rows in force.
        view: Listed upstreams, and the services of routes.
        directory: Live members, one of which writes a row.
    """
    return VersionKeeper(log, table, view, directory)
