"""What is known of requests that make upstreams die."""

from typing import Protocol


class CrashEvidence(Protocol):
    """Evidence shared with online requests; `state.ConvictionStream` has it."""

    def record_death(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Notes that an upstream died with a request in progress."""
        ...

    def record_survival(self, fingerprint: str) -> None:
        """Notes that a suspect has run alone to its end."""
        ...

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a request must run alone."""
        ...

    def is_convicted(self, fingerprint: str) -> bool:
        """Tells whether a request must not run again."""
        ...


class NoCrashEvidence:
    """Stands for evidence where there is none."""

    __slots__ = ()

    def record_death(
        self, fingerprint: str, vm: str, incarnation: int, *, alone: bool
    ) -> None:
        """Forgets the death."""

    def record_survival(self, fingerprint: str) -> None:
        """Forgets the survival."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Suspects nothing."""
        return False

    def is_convicted(self, fingerprint: str) -> bool:
        """Convicts nothing."""
        return False
