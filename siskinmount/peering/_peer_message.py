"""The message that members of the fleet send each other.

On the wire a message is one row: the sender's name, incarnation and sequence
number, and a JSON body without line feeds. The body does not change as long as
the sender has nothing new to tell, so that a row can be passed on and recognized
as a repetition without decoding it.
"""

import itertools
import math
from typing import Any
import urllib.parse

import orjson

from siskinmount import admission
from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import stream_origins

#: Above any number of crashes in sequence; a count that only grows must not be
#: set to an absurd value by one damaged message.
_MAX_COUNT = 1_000_000
#: Crashes of one request that a member of an earlier release may tell.
_MAX_CRASHES = 1000
#: Above any number of requests in the life of a process.
_MAX_REQUESTS = 1_000_000_000_000
#: Rows of windows of starting upstreams in one message.
_MAX_PACES = 64
#: Rows on customers that are read of one message, and longest name of one.
_MAX_QUOTA_ROWS = 64
_MAX_CUSTOMER_NAME = 256


class PeerMessage:
    """State of a member, sent several times a second.

    Attributes:
        member: Name of the sender's VM.
        incarnation: Start of the sender's process as Unix time in ms; greater
            after a restart.
        sequence: Sequence number of the message within the incarnation.
        address: IP address of the sender.
        failure_domain: Failure domain of the sender.
        link_mbps: Speed of the sender's link; 0 if it is not known.
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
        suspect_parts: Parts of prompts that may crash upstreams.
        rate_limits: What the sender knows of the limits of upstreams that it
            has used a moment ago, or was the last to hear of.
        demand: Requests that the sender has counted while there were limits,
            by service.
        stream_versions: At what the sender takes streams without a record to
            have begun, by service; None from a release that records none.
        paces: Answers of starting and recovered upstreams to the sender; of a
            decoded message only those that the one before did not tell.
        pace_rows: All of them, as they were decoded.
        quota_use: Requests of customers that the sender had a moment ago.
    """

    __slots__ = (
        'member',
        'incarnation',
        'sequence',
        'address',
        'failure_domain',
        'link_mbps',
        'is_leaving',
        'knows_jobs',
        'document_version',
        'counts',
        'held_tags',
        'kept_tags',
        'crashes',
        'failure_tallies',
        'departures',
        'suspect_parts',
        'rate_limits',
        'demand',
        'stream_versions',
        'paces',
        'pace_rows',
        'quota_use',
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
        suspect_parts: dict[str, placement.PartReport] | None = None,
        rate_limits: dict[str, placement.RateLimitReport] | None = None,
        demand: dict[str, int] | None = None,
        stream_versions: dict[str, stream_origins.VersionRow] | None = None,
        paces: dict[str, placement.PaceReport] | None = None,
        failure_domain: str = '',
        link_mbps: int = 0,
        quota_use: dict[str, admission.QuotaUse] | None = None,
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
        self.suspect_parts = suspect_parts or {}
        self.rate_limits = rate_limits or {}
        self.demand = demand or {}
        self.stream_versions = stream_versions
        self.paces = paces or {}
        self.pace_rows: dict[str, Any] = {}
        self.failure_domain = failure_domain
        self.link_mbps = link_mbps
        self.quota_use = quota_use or {}


class PeerRow:
    """An encoded message of which only the head has been read.

    Attributes:
        member: Name of the sender's VM.
        incarnation: Start of the sender's process as Unix time in ms.
        sequence: Sequence number of the message within the incarnation.
        body: The rest of the message; equal if nothing else has changed.
        data: The whole row, to be passed on.
    """

    __slots__ = ('member', 'incarnation', 'sequence', 'body', 'data')

    def __init__(
        self,
        member: str,
        incarnation: int,
        sequence: int,
        body: bytes,
        data: bytes,
    ) -> None:
        self.member = member
        self.incarnation = incarnation
        self.sequence = sequence
        self.body = body
        self.data = data


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a message as a row; what is empty is left out."""
    fields: dict[str, object] = {
        'address': message.address,
        'domain': message.failure_domain,
        'version': message.document_version,
    }
    if message.link_mbps:
        fields['link_mbps'] = message.link_mbps
    if message.is_leaving:
        fields['leaving'] = True
    if message.knows_jobs:
        fields['knows_jobs'] = True
    if message.counts:
        fields['counts'] = {
            upstream_id: (counts.online, counts.batch, counts.newest_job)
            for upstream_id, counts in message.counts.items()
        }
    if message.held_tags:
        fields['held'] = sorted(message.held_tags)
    if message.kept_tags:
        fields['kept'] = sorted(message.kept_tags)
    if message.crashes:
        fields['crash_reports'] = {
            name: [
                (report.crash_id, round(report.age_s, 3), report.had_output)
                for report in reports
            ]
            for name, reports in message.crashes.items()
        }
    if message.failure_tallies:
        fields['troubled'] = {
            upstream_id: (round(tally.failures, 2), round(tally.runs, 2))
            for upstream_id, tally in message.failure_tallies.items()
        }
    if message.departures:
        fields['departures'] = {
            upstream_id: (notice.started_at_ms, round(notice.age_s, 3))
            for upstream_id, notice in message.departures.items()
        }
    if message.suspect_parts:
        fields['suspect_parts'] = {
            part: _encode_part(report)
            for part, report in message.suspect_parts.items()
        }
    if message.rate_limits:
        fields['rate_limits'] = {
            upstream_id: _encode_rate_limit(report)
            for upstream_id, report in message.rate_limits.items()
        }
    if message.demand:
        fields['demand'] = message.demand
    if message.stream_versions is not None:
        fields['stream_versions'] = {
            service: (row.generation, row.assumed_version, row.is_settled)
            for service, row in message.stream_versions.items()
        }
    if message.paces:
        fields['paces'] = {
            upstream_id: _encode_pace(report)
            for upstream_id, report in message.paces.items()
        }
    if message.quota_use:
        fields['quota_use'] = {
            customer: (use.count, use.recent_count, use.asked_count)
            for customer, use in message.quota_use.items()
        }
    return b'%b %d %d %b' % (
        urllib.parse.quote(message.member, safe='').encode('ascii'),
        message.incarnation,
        message.sequence,
        orjson.dumps(fields),
    )


def _encode_part(report: placement.PartReport) -> tuple[object, ...]:
    served_age_s = report.served_age_s
    if served_age_s is not None:
        served_age_s = round(served_age_s, 3)
    return (
        report.sequence,
        report.cleared_sequence,
        report.quarantined_sequence,
        round(report.crash_age_s, 3),
        served_age_s,
        sorted(report.common_parts),
    )


def _decode_part(row: list[Any]) -> placement.PartReport:
    """Decodes what is known of a part.

    Raises:
        Exception: One of `DECODING_ERRORS`, if a value is missing or of a wrong type.
    """
    served_age_s: float | None = None
    if row[4] is not None:
        served_age_s = _read_amount(row[4])
    return placement.PartReport(
        _read_count(row[0]),
        _read_count(row[1]),
        _read_count(row[2]),
        _read_amount(row[3]),
        served_age_s,
        frozenset(str(part) for part in row[5]),
    )


def _encode_rate_limit(
    report: placement.RateLimitReport,
) -> tuple[object, ...]:
    age_s = report.age_s
    if age_s is not None:
        age_s = round(age_s, 3)
    return (
        report.started_at_ms,
        report.sent_count,
        report.recent_count,
        age_s,
        report.per_s,
    )


def _decode_rate_limit(row: list[Any]) -> placement.RateLimitReport:
    """Decodes what is known of a limit.

    Raises:
        Exception: One of `DECODING_ERRORS`, if a value is missing or of a wrong type.
    """
    sent_count = _read_count(row[1], _MAX_REQUESTS)
    age_s: float | None = None
    if row[3] is not None:
        age_s = _read_amount(row[3])
    per_s: float | None = None
    if row[4] is not None:
        per_s = _read_amount(row[4])
    return placement.RateLimitReport(
        int(row[0]),
        sent_count,
        _read_count(row[2], sent_count),
        age_s,
        per_s,
    )


def _encode_pace(report: placement.PaceReport) -> tuple[int, ...]:
    row = (report.started_at_ms, report.good, report.bad, report.episode)
    return (*row, 1) if report.is_ended else row


def _decode_paces(
    rows: dict[str, Any], earlier_rows: dict[str, Any]
) -> dict[str, placement.PaceReport]:
    """Returns reports of windows; invalid ones are left out.

    They must not cost the rest of the message, without which its sender counts
    as silent.

    Args:
        rows: Encoded reports.
        earlier_rows: Those of the message before, which are left out.
    """
    paces: dict[str, placement.PaceReport] = {}
    for upstream_id, row in itertools.islice(rows.items(), _MAX_PACES):
        if earlier_rows.get(upstream_id) == row:
            continue
        try:
            paces[upstream_id] = placement.PaceReport(
                int(row[0]),
                _read_count(row[1]),
                _read_count(row[2]),
                _read_count(row[3]) if len(row) > 3 else 0,
                len(row) > 4 and row[4] == 1,
            )
        except results.DECODING_ERRORS:
            continue
    return paces


def _decode_quota_use(rows: object) -> dict[str, admission.QuotaUse]:
    """Returns the valid rows on customers; others are ignored.

    A third number, of all requests, is optional.
    """
    uses: dict[str, admission.QuotaUse] = {}
    if not isinstance(rows, dict):
        return uses
    for customer, row in list(rows.items())[:_MAX_QUOTA_ROWS]:
        if not customer or len(customer) > _MAX_CUSTOMER_NAME:
            continue
        try:
            count = _read_count(row[0], _MAX_REQUESTS)
            asked_count = count
            if len(row) > 2:
                asked_count = _read_count(row[2], _MAX_REQUESTS)
            uses[customer] = admission.QuotaUse(
                count, _read_count(row[1], count), asked_count
            )
        except results.DECODING_ERRORS:
            continue
    return uses


def split_row(data: bytes) -> PeerRow | results.Failure:
    """Reads the head of a row, or fails with `MALFORMED_REQUEST`."""
    parts = data.split(b' ', 3)
    if len(parts) != 4:
        return _malformed('a row has fewer than four parts')
    name, incarnation, sequence, body = parts
    try:
        member = name.decode('ascii')
        if '%' in member:
            member = urllib.parse.unquote(member)
        return PeerRow(member, int(incarnation), int(sequence), body, data)
    except ValueError as error:
        return _malformed(repr(error))


def _decode_crashes(
    member: str, fields: dict[str, Any]
) -> dict[str, list[placement.CrashReport]]:
    """Returns reports of crashes.

    An older member sends ids alone, or numbers, and those get ids of its own.
    """
    crashes: dict[str, list[placement.CrashReport]] = {}
    if 'crash_reports' in fields:
        for name, rows in fields['crash_reports'].items():
            crashes[str(name)] = [
                placement.CrashReport(
                    str(row[0]), _read_amount(row[1]), bool(row[2])
                )
                for row in rows
            ]
        return crashes
    ids_by_name = fields.get('crash_ids')
    if ids_by_name is None:
        ids_by_name = {
            name: [
                f'{member}/{number}'
                for number in range(_read_count(count, _MAX_CRASHES))
            ]
            for name, count in fields.get('crashes', {}).items()
        }
    for name, ids in ids_by_name.items():
        crashes[str(name)] = [
            placement.CrashReport(str(crash_id), 0.0, False) for crash_id in ids
        ]
    return crashes


def decode_message(data: bytes) -> PeerMessage | results.Failure:
    """Decodes a message, or fails with `MALFORMED_REQUEST`.

    A member of the release before rows sends a JSON object with the same
    fields.
    """
    if data.startswith(b'{'):
        return _decode_old_message(data)
    row = split_row(data)
    if isinstance(row, results.Failure):
        return row
    return decode_row(row)


def decode_row(
    row: PeerRow, earlier: PeerMessage | None = None
) -> PeerMessage | results.Failure:
    """Decodes the body of a row, or fails with `MALFORMED_REQUEST`.

    Args:
        row: The row.
        earlier: Message before it of the same start of the member, if known.
    """
    try:
        fields = orjson.loads(row.body)
        return _create_message(
            row.member, row.incarnation, row.sequence, fields, earlier
        )
    except results.DECODING_ERRORS as error:
        return _malformed(repr(error))


def _decode_old_message(data: bytes) -> PeerMessage | results.Failure:
    try:
        fields = orjson.loads(data)
        return _create_message(
            str(fields['member']),
            int(fields['incarnation']),
            int(fields['sequence']),
            fields,
        )
    except results.DECODING_ERRORS as error:
        return _malformed(repr(error))


def _create_message(
    member: str,
    incarnation: int,
    sequence: int,
    fields: dict[str, Any],
    earlier: PeerMessage | None = None,
) -> PeerMessage:
    """Creates a message from decoded fields.

    Raises:
        Exception: One of `DECODING_ERRORS`, if a field is missing or has a wrong type.
    """
    counts: dict[str, placement.UpstreamCounts] = {}
    for upstream_id, row in fields.get('counts', {}).items():
        counts[upstream_id] = placement.UpstreamCounts(
            max(0, int(row[0])), max(0, int(row[1])), int(row[2])
        )
    failure_tallies: dict[str, placement.FailureTally] = {}
    for upstream_id, row in fields.get('troubled', {}).items():
        failure_tallies[upstream_id] = placement.FailureTally(
            _read_amount(row[0]), _read_amount(row[1])
        )
    departures: dict[str, fleet.DepartureNotice] = {}
    for upstream_id, row in fields.get('departures', {}).items():
        departures[upstream_id] = fleet.DepartureNotice(
            int(row[0]), _read_amount(row[1])
        )
    suspect_parts: dict[str, placement.PartReport] = {}
    for part, row in fields.get('suspect_parts', {}).items():
        suspect_parts[part] = _decode_part(row)
    rate_limits: dict[str, placement.RateLimitReport] = {}
    for upstream_id, row in fields.get('rate_limits', {}).items():
        rate_limits[upstream_id] = _decode_rate_limit(row)
    demand: dict[str, int] = {}
    for service, count in fields.get('demand', {}).items():
        demand[service] = _read_count(count, _MAX_REQUESTS)
    stream_versions: dict[str, stream_origins.VersionRow] | None = None
    if 'stream_versions' in fields:
        stream_versions = {}
        for service, row in fields['stream_versions'].items():
            stream_versions[service] = stream_origins.VersionRow(
                _read_count(row[0]), str(row[1]), row[2] is True
            )
    pace_rows = fields.get('paces')
    if not isinstance(pace_rows, dict):
        pace_rows = {}
    message = PeerMessage(
        member=member,
        incarnation=incarnation,
        sequence=sequence,
        address=str(fields['address']),
        failure_domain=str(fields.get('domain', '')),
        link_mbps=_read_count(fields.get('link_mbps', 0)),
        is_leaving=fields.get('leaving') is True,
        knows_jobs=fields.get('knows_jobs') is True,
        document_version=int(fields['version']),
        counts=counts,
        held_tags={str(tag) for tag in fields.get('held', ())},
        kept_tags={str(tag) for tag in fields.get('kept', ())},
        crashes=_decode_crashes(member, fields),
        failure_tallies=failure_tallies,
        departures=departures,
        suspect_parts=suspect_parts,
        rate_limits=rate_limits,
        demand=demand,
        stream_versions=stream_versions,
        paces=_decode_paces(pace_rows, earlier.pace_rows if earlier else {}),
        quota_use=_decode_quota_use(fields.get('quota_use')),
    )
    message.pace_rows = pace_rows
    return message


def _read_amount(value: object) -> float:
    """Returns a finite number that is not negative.

    Raises:
        ValueError: The value is not a finite number.
    """
    amount = float(value)  # type: ignore[arg-type]
    if not math.isfinite(amount):
        raise ValueError(f'{amount} is not finite')
    return max(0.0, amount)


def _read_count(value: object, max_count: int = _MAX_COUNT) -> int:
    """Returns a count that only grows.

    Raises:
        ValueError: No fleet can have counted so many.
    """
    count = int(value)  # type: ignore[call-overload]
    if not 0 <= count <= max_count:
        raise ValueError(f'{count} is out of range')
    return count


def _malformed(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.MALFORMED_REQUEST, f'peer message: {reason}'
    )
