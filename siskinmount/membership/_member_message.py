"""Conversion between `Member` and the control message `rpc.Member`."""

from siskinmount import results
from siskinmount import rpc
from siskinmount import transport
from siskinmount.membership import _member

MAX_HEARD_MS_AGO = 2**32 - 1


def encode_member(
    member: _member.Member, heard_ms_ago: float = 0.0
) -> rpc.Member:
    """Returns the message that describes the member.

    Args:
        member: The member.
        heard_ms_ago: Milliseconds since this daemon last heard from it.
    """
    sent_state = member.state
    if sent_state is not _member.MemberState.LEAVING:
        sent_state = _member.MemberState.LIVE
    return rpc.Member(
        vm=member.vm,
        role=member.role.value,
        incarnation=member.incarnation,
        region=member.region,
        failure_domain=member.failure_domain,
        peers_address=str(member.peers_address),
        control_address=str(member.control_address),
        state=sent_state.value,
        service=member.service,
        slots=member.slots,
        in_flight=member.in_flight,
        model_version=member.model_version,
        configuration_version=member.configuration_version,
        heard_ms_ago=min(int(heard_ms_ago), MAX_HEARD_MS_AGO),
    )


def decode_member(message: rpc.Member) -> _member.Member | results.Failure:
    """Returns the member that the message describes, if it is valid."""
    peers_address = transport.parse_address(message.peers_address)
    control_address = transport.parse_address(message.control_address)
    if isinstance(peers_address, results.Failure):
        return _invalid_field(message, 'peers_address')
    if isinstance(control_address, results.Failure):
        return _invalid_field(message, 'control_address')
    if not message.vm or not message.incarnation:
        return _invalid_field(message, 'vm or incarnation')
    try:
        role = _member.MemberRole(message.role)
        state = _member.MemberState(message.state)
    except ValueError:
        return _invalid_field(message, 'role or state')
    return _member.Member(
        vm=message.vm,
        role=role,
        incarnation=message.incarnation,
        region=message.region,
        failure_domain=message.failure_domain,
        peers_address=peers_address,
        control_address=control_address,
        state=state,
        service=message.service,
        slots=message.slots,
        in_flight=message.in_flight,
        model_version=message.model_version,
        configuration_version=message.configuration_version,
    )


def _invalid_field(message: rpc.Member, field: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.INVALID_FIELD,
        f'the member {message.vm!r} has an invalid {field}',
    )
