"""Result of upstream selection."""

from siskinmount import membership


class Choice:
    """Upstream of one attempt, which is in flight until `Router.release`.

    Attributes:
        member: The sidecar of the upstream.
        is_affinity_match: Whether the upstream ranks first for the request's
            affinity key.
    """

    __slots__ = ('member', 'is_affinity_match')

    def __init__(
        self, member: membership.Member, is_affinity_match: bool
    ) -> None:
        self.member = member
        self.is_affinity_match = is_affinity_match
