"""Choice of the entries that a daemon heartbeats to."""

from siskinmount.membership import _member
from siskinmount.membership import _rendezvous


def choose_entries(
    vm: str,
    region: str,
    entries: list[_member.Member],
    max_count: int,
    max_far_count: int = 0,
) -> list[_member.Member]:
    """Returns entries of the region, spread over its failure domains.

    All are returned when there are few. A change of one entry changes at most
    one place in the choice. Beyond `max_far_count`, entries of other regions
    are taken only if the region has none.

    Args:
        vm: The daemon that heartbeats.
        region: Its region.
        entries: The entries known.
        max_count: Bound on the choice.
        max_far_count: Places for entries of other regions, so that regions
            know of each other.
    """
    near = [entry for entry in entries if entry.region == region]
    far = [entry for entry in entries if entry.region != region]
    if not near:
        return _spread(vm, far, max_count)
    chosen_far = _spread(vm, far, min(max_far_count, max_count - 1))
    return _spread(vm, near, max_count - len(chosen_far)) + chosen_far


def _spread(
    vm: str, entries: list[_member.Member], max_count: int
) -> list[_member.Member]:
    """Returns up to a number of entries, spread over failure domains."""
    if len(entries) <= max_count:
        return list(entries)
    chosen: list[_member.Member] = []
    queues = _queue_by_domain(vm, entries)
    while len(chosen) < max_count:
        for queue in queues:
            if queue and len(chosen) < max_count:
                chosen.append(queue.pop(0))
    return chosen


def _queue_by_domain(
    vm: str, entries: list[_member.Member]
) -> list[list[_member.Member]]:
    """Returns the entries of each failure domain, both in the VM's order."""
    by_domain: dict[str, dict[str, _member.Member]] = {}
    for entry in entries:
        by_domain.setdefault(entry.failure_domain, {})[entry.vm] = entry
    queues: list[list[_member.Member]] = []
    for domain in _rendezvous.rank_by_rendezvous(vm, by_domain):
        members = by_domain[domain]
        ranked = _rendezvous.rank_by_rendezvous(vm, members)
        queues.append([members[name] for name in ranked])
    return queues
