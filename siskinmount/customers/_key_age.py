"""How long ago the keys in force were known to be the newest ones."""

from collections.abc import Callable
import time


class KeyAge:
    """The age of the proof that the document in force is the newest.

    A proof says that a version of the document was the newest at the store at
    a time. The clock counts while the machine is suspended: a key may be
    revoked meanwhile.

    Attributes:
        max_age_s: Greatest age of the proof; None if none is needed.
    """

    __slots__ = (
        'max_age_s',
        '_clock',
        '_get_version',
        '_proved_at_s',
        '_was_current',
        '_on_change',
    )

    def __init__(
        self,
        max_age_s: float | None,
        clock: Callable[[], float],
        get_version: Callable[[], int | None],
    ) -> None:
        self.max_age_s = max_age_s
        self._clock = clock
        self._get_version = get_version
        self._proved_at_s = float('-inf')
        self._was_current = max_age_s is None
        self._on_change: Callable[[bool], None] = _ignore

    def watch(self, on_change: Callable[[bool], None]) -> None:
        """Sets the function that is told when `is_current` changes.

        Args:
            on_change: Called with the new value. A proof that expires is
                noticed at the next call of `is_current`.
        """
        self._on_change = on_change

    def get_time_s(self) -> float:
        """Returns the time of the clock of this object."""
        return self._clock()

    def record_proof(self, read_at_s: float, version: int = 0) -> bool:
        """Records that a version of the document was the newest at a time.

        The proof is dropped if the document in force is older than that. The
        version in force never decreases, so a proof that counted stays valid.

        Args:
            read_at_s: Time by the clock of this object, taken before the read
                was sent.
            version: Version that was the newest.

        Returns:
            Whether this is the newest proof.
        """
        version_in_force = self._get_version()
        if version_in_force is None or version_in_force < version:
            return False
        if read_at_s <= self._proved_at_s:
            return False
        self._proved_at_s = read_at_s
        self.is_current()
        return True

    def get_age_s(self) -> float:
        """Returns the age of the newest proof; infinity without one."""
        return self._clock() - self._proved_at_s

    def is_older_than(self, share: float) -> bool:
        """Returns whether a proof is needed and exceeds a share of its age."""
        if self.max_age_s is None:
            return False
        return self.get_age_s() >= share * self.max_age_s

    def is_current(self) -> bool:
        """Returns whether requests under a key may run now."""
        is_current = not self.is_older_than(1.0)
        if is_current is not self._was_current:
            self._was_current = is_current
            self._on_change(is_current)
        return is_current


def _ignore(is_current: bool) -> None:
    del is_current


def _return_zero() -> int:
    return 0


def read_boot_clock() -> float:
    """Returns seconds since the start of the machine, its suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def create_key_age(
    max_age_s: float | None,
    clock: Callable[[], float] = read_boot_clock,
    get_version: Callable[[], int | None] = _return_zero,
) -> KeyAge:
    """Creates a `KeyAge` without a proof.

    Args:
        max_age_s: Greatest age of the proof; None if none is needed.
        clock: Returns seconds, those of a suspension included.
        get_version: Returns the version of the document in force; None if
            there is none.
    """
    return KeyAge(max_age_s, clock, get_version)
