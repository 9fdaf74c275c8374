"""The message that members of the fleet send each other."""

from typing import Any

import orjson

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results


class PeerMessage:
    """State of a member, sent several times a second.

    Attributes:
        member: Name of the sender's VM.
        incarnation: Start of the sender's process as Unix time in ms; greater
            after a restart.
        sequence: Sequence number of the message within the incarnation.
        address: IP address of the sender.
        is_leaving: Whether the sender is in a planned stop.
        knows_jobs: Whether the sender can read the log of jobs.
        document_version: Version of the document in force; 0 for none.
        counts: Requests of the sender in flight, by upstream.
        held_tags: Batch items that the sender runs or is about to list.
        kept_tags: Waiting batch items of which the sender holds output.
        crashes: Upstream crashes that the sender knows, by the fingerprint of
            the request that ran.
        failure_tallies: Upstreams that failed requests of the sender, with
            their tallies.
        departures: Upstreams that told the sender that they leave.
    """

    __slots__ = (
        'member',
        'incarnation',
        'sequence',
        'address',
        'is_leaving',
        'knows_jobs',
        'document_version',
        'counts',
        'held_tags',
        'kept_tags',
        'crashes',
        'failure_tallies',
        'departures',
    )

    def __init__(
        self,
        *,
        member: str,
        incarnation: int,
        sequence: int,
        address: str,
        is_leaving: bool,
        knows_jobs: bool,
        document_version: int,
        counts: dict[str, placement.UpstreamCounts],
        held_tags: set[str],
        kept_tags: set[str],
        crashes: dict[str, list[placement.CrashReport]],
        failure_tallies: dict[str, placement.FailureTally],
        departures: dict[str, fleet.DepartureNotice] | None = None,
    ) -> None:
        self.member = member
        self.incarnation = incarnation
        self.sequence = sequence
        self.address = address
        self.is_leaving = is_leaving
        self.knows_jobs = knows_jobs
        self.document_version = document_version
        self.counts = counts
        self.held_tags = held_tags
        self.kept_tags = kept_tags
        self.crashes = crashes
        self.failure_tallies = failure_tallies
        self.departures = departures or {}


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a message."""
    return orjson.dumps(
        {
            'member': message.member,
            'incarnation': message.incarnation,
            'sequence': message.sequence,
            'address': message.address,
            'leaving': message.is_leaving,
            'knows_jobs': message.knows_jobs,
            'version': message.document_version,
            'counts': {
                upstream_id: (
                    counts.online,
                    counts.batch,
                    counts.newest_job,
                )
                for upstream_id, counts in message.counts.items()
            },
            'held': sorted(message.held_tags),
            'kept': sorted(message.kept_tags),
            # Required by members that know no reports yet.
            'crashes': {},
            'crash_ids': {},
            'crash_reports': {
                name: [
                    (
                        report.crash_id,
                        round(report.age_s, 3),
                        report.had_output,
                    )
                    for report in reports
                ]
                for name, reports in message.crashes.items()
            },
            'troubled': {
                upstream_id: (round(tally.failures, 2), round(tally.runs, 2))
                for upstream_id, tally in message.failure_tallies.items()
            },
            'departures': {
                upstream_id: (notice.started_at_ms, round(notice.age_s, 3))
                for upstream_id, notice in message.departures.items()
            },
        }
    )


def _decode_crashes(
    fields: dict[str, Any],
) -> dict[str, list[placement.CrashReport]]:
    """Returns reports of crashes.

    An older member sends ids alone, or numbers, and those get ids of its own.
    """
    crashes: dict[str, list[placement.CrashReport]] = {}
    if 'crash_reports' in fields:
        for name, rows in fields['crash_reports'].items():
            crashes[str(name)] = [
                placement.CrashReport(
                    str(row[0]), max(0.0, float(row[1])), bool(row[2])
                )
                for row in rows
            ]
        return crashes
    ids_by_name = fields.get('crash_ids')
    if ids_by_name is None:
        member = str(fields['member'])
        ids_by_name = {
            name: [f'{member}/{number}' for number in range(int(count))]
            for name, count in fields['crashes'].items()
        }
    for name, ids in ids_by_name.items():
        crashes[str(name)] = [
            placement.CrashReport(str(crash_id), 0.0, False) for crash_id in ids
        ]
    return crashes


def decode_message(data: bytes) -> PeerMessage | results.Failure:
    """Decodes a message, or fails with `MALFORMED_REQUEST`."""
    try:
        fields = orjson.loads(data)
        counts: dict[str, placement.UpstreamCounts] = {}
        for upstream_id, row in fields['counts'].items():
            counts[upstream_id] = placement.UpstreamCounts(
                max(0, int(row[0])), max(0, int(row[1])), int(row[2])
            )
        failure_tallies: dict[str, placement.FailureTally] = {}
        for upstream_id, row in fields['troubled'].items():
            failure_tallies[upstream_id] = placement.FailureTally(
                max(0.0, float(row[0])), max(0.0, float(row[1]))
            )
        departures: dict[str, fleet.DepartureNotice] = {}
        for upstream_id, row in fields.get('departures', {}).items():
            departures[upstream_id] = fleet.DepartureNotice(
                int(row[0]), max(0.0, float(row[1]))
            )
        return PeerMessage(
            member=str(fields['member']),
            incarnation=int(fields['incarnation']),
            sequence=int(fields['sequence']),
            address=str(fields['address']),
            is_leaving=fields['leaving'] is True,
            knows_jobs=fields['knows_jobs'] is True,
            document_version=int(fields['version']),
            counts=counts,
            held_tags={str(tag) for tag in fields['held']},
            kept_tags={str(tag) for tag in fields['kept']},
            crashes=_decode_crashes(fields),
            failure_tallies=failure_tallies,
            departures=departures,
        )
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        IndexError,
    ) as error:
        return results.Failure(
            results.ResultCode.MALFORMED_REQUEST, f'peer message: {error!r}'
        )
