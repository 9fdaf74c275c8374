"""How long ago the keys in force were known to be the newest ones."""

from collections.abc import Callable
import time


class KeyAge:
    """The age of the proof that the document in force is the newest.

    The clock counts while the machine stands still: a key may be revoked
    meanwhile.
    """

    __slots__ = ('_max_age_s', '_clock', '_proved_at_s')

    def __init__(
        self, max_age_s: float | None, clock: Callable[[], float]
    ) -> None:
        self._max_age_s = max_age_s
        self._clock = clock
        self._proved_at_s = float('-inf')

    def record_proof(self, read_at_s: float) -> None:
        """Records that the document in force was the newest at a time.

        Args:
            read_at_s: Time by the clock of this object, taken before the read
                was sent.
        """
        self._proved_at_s = max(self._proved_at_s, read_at_s)

    def get_age_s(self) -> float:
        """Returns the age of the newest proof; infinity without one."""
        return self._clock() - self._proved_at_s

    def is_current(self) -> bool:
        """Returns whether requests under a key may run now."""
        return self._max_age_s is None or self.get_age_s() < self._max_age_s


def read_boot_clock() -> float:
    """Returns seconds since the start of the machine, its suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def create_key_age(
    max_age_s: float | None, clock: Callable[[], float] = read_boot_clock
) -> KeyAge:
    """Creates a `KeyAge` without a proof.

    Args:
        max_age_s: Greatest age of the proof; None if none is needed.
        clock: Returns seconds, those of a suspension included.
    """
    return KeyAge(max_age_s, clock)
