"""Determines which members pass messages on to others.

In a small fleet each member sends to all others. In a large one that would cost
each member more with every other, so a few members of each failure domain are
relays: a member sends to two of them and hears from one, and relays exchange
what they hear. With N members there are about the square root of N relays, so
that a relay serves as many members as there are other relays. A relay sends many
times what another member does, so members with narrow links are none.

All members compute the same plan from the members that they hear of. They need
not agree: a member that is sent a report serves as a relay, whatever the plan.
"""

from collections.abc import Mapping
import math

import xxhash

#: Up to this many members, each is a relay and sends to all others.
MAX_DIRECT_MEMBERS = 12
#: Links from this speed on count as equally wide.
WIDE_LINK_MBPS = 100
#: Relays of a failure domain, if it has as many members: a second one passes
#: reports on while the first is lost.
MIN_RELAYS_PER_DOMAIN = 2


class RelayPlan:
    """The relays of the fleet, as one member sees it.

    Attributes:
        relays: Names of the relays.
        is_direct: Whether all members are relays.
        is_relay: Whether this member is one.
        preferred: Relays other than this member, in the order in which it
            prefers to report to them; those of its failure domain first.
    """

    __slots__ = ('relays', 'is_direct', 'is_relay', 'preferred')

    def __init__(
        self,
        relays: frozenset[str],
        is_direct: bool,
        is_relay: bool,
        preferred: list[str],
    ) -> None:
        self.relays = relays
        self.is_direct = is_direct
        self.is_relay = is_relay
        self.preferred = preferred


def plan_relays(
    member: str,
    domain_by_member: Mapping[str, str],
    link_mbps_by_member: Mapping[str, int] | None = None,
) -> RelayPlan:
    """Returns the plan for a member.

    Args:
        member: Name of the member, which is in `domain_by_member`.
        domain_by_member: Failure domain of each member that is taken for live.
        link_mbps_by_member: Speed of the members' links, as far as it is known.
            Those with the widest become relays.
    """
    links = link_mbps_by_member or {}

    def rank_relay(name: str) -> tuple[int, int]:
        return -min(links.get(name, 0), WIDE_LINK_MBPS), _rank(name)

    if len(domain_by_member) <= MAX_DIRECT_MEMBERS:
        return RelayPlan(frozenset(domain_by_member), True, True, [])
    members_by_domain: dict[str, list[str]] = {}
    for name, domain in domain_by_member.items():
        members_by_domain.setdefault(domain, []).append(name)
    group_size = math.isqrt(len(domain_by_member) - 1) + 1
    relays_by_domain: dict[str, list[str]] = {}
    for domain, names in members_by_domain.items():
        count = max(MIN_RELAYS_PER_DOMAIN, math.ceil(len(names) / group_size))
        relays_by_domain[domain] = sorted(names, key=rank_relay)[:count]
    preferred: list[str] = []
    own_domain = domain_by_member[member]
    others: list[str] = []
    for domain, names in relays_by_domain.items():
        (preferred if domain == own_domain else others).extend(names)
    preferred.sort(key=lambda relay: _rank(f'{member}/{relay}'))
    others.sort(key=lambda relay: _rank(f'{member}/{relay}'))
    relays = frozenset(preferred + others)
    is_relay = member in relays
    if is_relay:
        preferred.remove(member)
    return RelayPlan(relays, False, is_relay, preferred + others)


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
