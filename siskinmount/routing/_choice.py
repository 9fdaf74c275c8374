"""The upstream that an attempt has been given."""

from siskinmount import membership


class Choice:
    """One attempt's upstream; it counts there until `Router.release`.

    Attributes:
        member: The sidecar beside the upstream.
        by_affinity: Whether it is the first choice for the request's key.
    """

    __slots__ = ('member', 'by_affinity')

    def __init__(self, member: membership.Member, by_affinity: bool) -> None:
        self.member = member
        self.by_affinity = by_affinity
