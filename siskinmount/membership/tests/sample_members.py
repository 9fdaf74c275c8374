"""Sample members and a fake clock for tests."""

from siskinmount import membership
from siskinmount import transport


class FakeClock:
    """Clock whose time is advanced by tests."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def create_member(vm, **overrides):
    """Creates a live sidecar, or an entry if the name starts with `e`."""
    is_entry = vm.startswith('e')
    role = (
        membership.MemberRole.ENTRY
        if is_entry
        else membership.MemberRole.SIDECAR
    )
    port = 10_000 + sum(vm.encode())
    fields = {
        'vm': vm,
        'role': role,
        'incarnation': 1,
        'region': 'r1',
        'failure_domain': 'd1',
        'peers_address': transport.Address('127.0.0.1', port),
        'control_address': transport.Address('127.0.0.1', port + 1),
        'service': '' if is_entry else 'wordsmith',
        'slots': 0 if is_entry else 8,
        **overrides,
    }
    return membership.Member(**fields)
