"""Tracks requests that crash upstreams."""

from typing import Protocol


class CrashTracker(Protocol):
    """Crash reports shared with online requests.

    Implemented by `state.CrashReportStream`.
    """

    def record_crash(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Records that an upstream crashed with a request in progress.

        Args:
            fingerprint: Digest of the request.
            vm: VM of the upstream.
            incarnation: Incarnation of the upstream's process.
            alone: Whether no other request was in progress.
        """
        ...

    def record_solo_completion(self, fingerprint: str) -> None:
        """Records that a suspect request completed while running alone."""
        ...

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request must run alone."""
        ...


class NoCrashTracker:
    """Implements `CrashTracker` without recording anything."""

    __slots__ = ()

    def record_crash(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Does nothing."""

    def record_solo_completion(self, fingerprint: str) -> None:
        """Does nothing."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns False."""
        return False
