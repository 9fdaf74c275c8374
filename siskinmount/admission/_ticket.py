"""Ticket of one admitted request."""

from collections.abc import Callable


class Ticket:
    """Counts an admitted request as in progress until released.

    Attributes:
        caller: Name of the caller.
        service: Name of the service.
        admitted_at_s: Monotonic time of admission.
    """

    __slots__ = ('caller', 'service', 'admitted_at_s', '_release')

    def __init__(
        self,
        caller: str,
        service: str,
        admitted_at_s: float,
        release: 'Callable[[Ticket], None]',
    ) -> None:
        self.caller = caller
        self.service = service
        self.admitted_at_s = admitted_at_s
        self._release: Callable[[Ticket], None] | None = release

    def release(self) -> None:
        """Ends the request; further calls do nothing."""
        if self._release is None:
            return
        self._release(self)
        self._release = None

    def __enter__(self) -> 'Ticket':
        return self

    def __exit__(self, *unused: object) -> None:
        self.release()
