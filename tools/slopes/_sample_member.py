"""Members with fields of typical length."""

from siskinmount import membership
from siskinmount import transport


def create_sample_member(
    vm: str, role: membership.MemberRole
) -> membership.Member:
    """Creates a live member whose fields have typical lengths."""
    is_sidecar = role is membership.MemberRole.SIDECAR
    return membership.Member(
        vm=vm,
        role=role,
        incarnation=1_700_000_000_000_000_000,
        region='region-one',
        failure_domain='region-one-a',
        peers_address=transport.Address('10.100.100.100', 20_001),
        control_address=transport.Address('10.100.100.100', 20_002),
        service='wordsmith' if is_sidecar else '',
        slots=16 if is_sidecar else 0,
        in_flight=7 if is_sidecar else 0,
        model_version='2026-11-30' if is_sidecar else '',
        configuration_version=12_345,
    )
