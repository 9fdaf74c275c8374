"""When prompts with a part were last served, for a bounded number of parts."""

import collections

#: Several times the parts that callers of a fleet have in use, some 100 bytes
#: each.
MAX_PARTS = 4096
NEVER_S = float('-inf')


class ServedParts:
    """Start of the latest run with output, by part of its prompt."""

    __slots__ = ('_began_at_s',)

    def __init__(self) -> None:
        self._began_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, part: str, began_at_s: float) -> None:
        """Records a run that had output; the least recent part makes room."""
        known_s = self._began_at_s.pop(part, NEVER_S)
        self._began_at_s[part] = max(known_s, began_at_s)
        if len(self._began_at_s) > MAX_PARTS:
            self._began_at_s.popitem(last=False)

    def get(self, part: str) -> float:
        """Returns the monotonic start of that run; `NEVER_S` if none is known."""
        return self._began_at_s.get(part, NEVER_S)


def create_served_parts() -> ServedParts:
    """Creates a `ServedParts` without entries."""
    return ServedParts()
