"""The upstream that a request has been given."""

from collections.abc import Callable

from siskinmount import membership


class Choice:
    """One attempt's upstream; counts as outstanding there until released.

    Attributes:
        member: The sidecar beside the upstream.
        by_affinity: Whether it is the first choice for the request's key.
    """

    __slots__ = ('member', 'by_affinity', '_release')

    def __init__(
        self,
        member: membership.Member,
        by_affinity: bool,
        release: Callable[[str], None],
    ) -> None:
        self.member = member
        self.by_affinity = by_affinity
        self._release: Callable[[str], None] | None = release

    def release(self) -> None:
        """Ends the attempt; further calls do nothing."""
        if self._release is None:
            return
        self._release(self.member.vm)
        self._release = None

    def __enter__(self) -> 'Choice':
        return self

    def __exit__(self, *unused: object) -> None:
        self.release()
