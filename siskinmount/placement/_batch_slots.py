"""The free slots that items may take, in an order common to all members."""

from collections.abc import Sequence

from siskinmount import fleet


class _Band:
    """Slots that alternate between the same upstreams.

    Attributes:
        upstreams: Upstreams with a slot in each round, by id.
        rounds: Number of rounds.
    """

    __slots__ = ('upstreams', 'rounds')

    def __init__(self, upstreams: list[fleet.Upstream], rounds: int) -> None:
        self.upstreams = upstreams
        self.rounds = rounds

    @property
    def slot_count(self) -> int:
        """Number of slots."""
        return len(self.upstreams) * self.rounds

    def find(self, number: int, excluded: set[str]) -> fleet.Upstream | None:
        """Returns the upstream of the first slot from a number on."""
        round_number, first = divmod(number, len(self.upstreams))
        following = self.upstreams[first:]
        if round_number + 1 < self.rounds:
            following = following + self.upstreams[:first]
        for upstream in following:
            if upstream.upstream_id not in excluded:
                return upstream
        return None


class BatchSlots(Sequence[fleet.Upstream]):
    """The upstream of each free slot, the emptiest first.

    An upstream says itself how many slots it has, so they are not listed one by
    one.

    Attributes:
        upstreams: The upstreams, each once.
    """

    __slots__ = ('upstreams', '_bands')

    def __init__(self, free: list[tuple[int, fleet.Upstream]]) -> None:
        rows = sorted(free, key=_get_free_count, reverse=True)
        self.upstreams = [upstream for _, upstream in rows]
        self._bands: list[_Band] = []
        for index, (count, _) in enumerate(rows):
            next_count = rows[index + 1][0] if index + 1 < len(rows) else 0
            if count == next_count:
                continue
            self._bands.append(
                _Band(
                    sorted(self.upstreams[: index + 1], key=_get_id),
                    count - next_count,
                )
            )

    def __len__(self) -> int:
        return sum(band.slot_count for band in self._bands)

    def __getitem__(self, number: int) -> fleet.Upstream:  # type: ignore[override]
        if not 0 <= number < len(self):
            raise IndexError(number)
        chosen = self._find(number, set())
        assert chosen is not None
        return chosen

    def choose(self, rank: int, excluded: set[str]) -> fleet.Upstream | None:
        """Returns the upstream of the free slot that is an item's own.

        Many members start items at the same time, before they see each other's.
        So the free slots have an order that is the same at all members, and the
        item that is the nth to start takes the nth slot.

        Args:
            rank: Number of items that are to start before this one.
            excluded: Upstreams at which the item is not to start.
        """
        if not self._bands:
            return None
        found = self._find(rank % len(self), excluded)
        return found or self._find(0, excluded)

    def _find(self, number: int, excluded: set[str]) -> fleet.Upstream | None:
        """Returns the upstream of the first slot from a number on."""
        for band in self._bands:
            if number >= band.slot_count:
                number -= band.slot_count
                continue
            found = band.find(number, excluded)
            if found is not None:
                return found
            number = 0
        return None


def _get_free_count(row: tuple[int, fleet.Upstream]) -> int:
    return row[0]


def _get_id(upstream: fleet.Upstream) -> str:
    return upstream.upstream_id


def create_batch_slots(free: list[tuple[int, fleet.Upstream]]) -> BatchSlots:
    """Creates the order of the free slots of some upstreams.

    Args:
        free: Upstreams, with the number of slots that each has free.
    """
    return BatchSlots(free)
