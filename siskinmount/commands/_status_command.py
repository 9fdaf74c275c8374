"""`siskinmount status`: shows daemons, upstreams and stream owners."""

import orjson
import trio

from siskinmount import membership
from siskinmount.commands import _command
from siskinmount.commands import _common_flags
from siskinmount.commands import _exit_status
from siskinmount.commands import _failure_report
from siskinmount.commands import _fleet_client
from siskinmount.commands import _text_table

_HEADINGS = [
    'VM',
    'ROLE',
    'STATE',
    'FAILURE DOMAIN',
    'CONFIGURATION',
    'SERVICE',
    'MODEL VERSION',
    'IN FLIGHT',
]


def create_status_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='status',
        summary='Shows daemons, upstreams and owners of streams.',
        define_flags=_common_flags.define_fleet_flags,
        run=_run,
    )


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    seeds = _common_flags.get_entries(invocation)
    if seeds is None:
        return _exit_status.ExitStatus.USAGE
    view = trio.run(_fleet_client.fetch_fleet_view, seeds)
    if invocation.flag_values['json'].value:
        invocation.write_line(orjson.dumps(_to_json(view)).decode())
    else:
        _write_text(invocation, view)
    _failure_report.warn_of_unreachable(invocation, view.unreachable)
    if not view.entries:
        return _exit_status.ExitStatus.UNAVAILABLE
    return _exit_status.ExitStatus.OK


def list_stream_owners(
    view: _fleet_client.FleetView,
) -> list[tuple[str, str]]:
    """Returns pairs of stream and owning VM, sorted by stream."""
    pairs: list[tuple[str, str]] = []
    for vm, status in view.entries.items():
        streams = status.details.get('streams_owned')
        if isinstance(streams, list):
            pairs.extend((str(stream), vm) for stream in streams)
    return sorted(pairs)


def _write_text(
    invocation: _command.Invocation, view: _fleet_client.FleetView
) -> None:
    rows = [_format_member(member) for member in view.list_members()]
    for line in _text_table.format_table(_HEADINGS, rows):
        invocation.write_line(line)
    owners = list_stream_owners(view)
    if not owners:
        return
    invocation.write_line('')
    rows = [list(pair) for pair in owners]
    for line in _text_table.format_table(['STREAM', 'OWNER'], rows):
        invocation.write_line(line)


def _format_member(member: membership.Member) -> list[str]:
    is_sidecar = member.role is membership.MemberRole.SIDECAR
    return [
        member.vm,
        member.role.value,
        member.state.value,
        member.failure_domain,
        str(member.configuration_version),
        member.service,
        member.model_version,
        f'{member.in_flight}/{member.slots}' if is_sidecar else '',
    ]


def _to_json(view: _fleet_client.FleetView) -> dict[str, object]:
    members: list[dict[str, object]] = []
    for member in view.list_members():
        members.append(
            {
                'vm': member.vm,
                'role': member.role.value,
                'incarnation': member.incarnation,
                'state': member.state.value,
                'region': member.region,
                'failure_domain': member.failure_domain,
                'control_address': str(member.control_address),
                'peers_address': str(member.peers_address),
                'configuration_version': member.configuration_version,
                'service': member.service,
                'model_version': member.model_version,
                'in_flight': member.in_flight,
                'slots': member.slots,
            }
        )
    return {
        'members': members,
        'streams': [
            {'stream': stream, 'owner': vm}
            for stream, vm in list_stream_owners(view)
        ],
        'entries': {vm: s.details for vm, s in view.entries.items()},
        'unreachable': [
            {
                'address': str(daemon.address),
                **_failure_report.to_json(daemon.failure),
            }
            for daemon in view.unreachable
        ],
    }
