"""Selection of the entries that a daemon sends heartbeats to."""

from siskinmount.membership import _member
from siskinmount.membership import _rendezvous


def choose_entries(
    vm: str,
    region: str,
    entries: list[_member.Member],
    max_count: int,
    max_remote_count: int = 0,
) -> list[_member.Member]:
    """Selects entries of a region, spread over its failure domains.

    Returns all entries of the region if they fit. Adding or removing one entry
    changes at most one selected entry. If the region has no entries, all
    places go to entries of other regions.

    Args:
        vm: VM of the daemon that sends heartbeats.
        region: Region of that daemon.
        entries: The known entries.
        max_count: Maximum number of entries to select.
        max_remote_count: Maximum number of entries of other regions, so that
            regions know of each other.
    """
    local = [entry for entry in entries if entry.region == region]
    remote = [entry for entry in entries if entry.region != region]
    if not local:
        return _spread(vm, remote, max_count)
    chosen_remote = _spread(vm, remote, min(max_remote_count, max_count - 1))
    return _spread(vm, local, max_count - len(chosen_remote)) + chosen_remote


def _spread(
    vm: str, entries: list[_member.Member], max_count: int
) -> list[_member.Member]:
    """Selects up to `max_count` entries, spread over failure domains."""
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
    """Groups entries by failure domain.

    Domains, and the entries in each, are in rendezvous order for the VM.
    """
    by_domain: dict[str, dict[str, _member.Member]] = {}
    for entry in entries:
        by_domain.setdefault(entry.failure_domain, {})[entry.vm] = entry
    queues: list[list[_member.Member]] = []
    for domain in _rendezvous.rank_by_rendezvous(vm, by_domain):
        members = by_domain[domain]
        ranked = _rendezvous.rank_by_rendezvous(vm, members)
        queues.append([members[name] for name in ranked])
    return queues
