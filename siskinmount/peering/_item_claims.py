"""Batch items that peers run or hold output of."""


class ItemClaims:
    """Claims of peers on batch items, kept up to date with each message.

    Attributes:
        holders_by_tag: Peers that run an item, or are about to list or hand
            over its output, in the order in which they told so.
        keeper_by_tag: The peer that keeps output of a waiting item.
    """

    __slots__ = ('holders_by_tag', 'keeper_by_tag', '_held', '_kept')

    def __init__(self) -> None:
        self.holders_by_tag: dict[str, list[str]] = {}
        self.keeper_by_tag: dict[str, str] = {}
        self._held: dict[str, set[str]] = {}
        self._kept: dict[str, set[str]] = {}

    def replace(self, peer: str, held: set[str], kept: set[str]) -> None:
        """Replaces the claims of a peer.

        Args:
            peer: Name of the peer.
            held: Items that nobody else may start.
            kept: Waiting items that the peer is to continue.
        """
        before = self._held.get(peer, _NO_TAGS)
        if held != before:
            for tag in before - held:
                self._remove_holder(tag, peer)
            for tag in held - before:
                self.holders_by_tag.setdefault(tag, []).append(peer)
            _store(self._held, peer, held)
        before = self._kept.get(peer, _NO_TAGS)
        if kept != before:
            _store(self._kept, peer, kept)
            for tag in before - kept:
                if self.keeper_by_tag.get(tag) == peer:
                    self._find_other_keeper(tag)
            for tag in kept - before:
                self.keeper_by_tag[tag] = peer

    def drop(self, peer: str) -> None:
        """Drops all claims of a peer."""
        self.replace(peer, set(), set())

    def has_claims(self, peer: str) -> bool:
        """Returns whether a peer claims any item."""
        return peer in self._held or peer in self._kept

    def list_claimants(self) -> list[str]:
        """Returns the peers that claim any item."""
        return list(self._held | self._kept)

    def _remove_holder(self, tag: str, peer: str) -> None:
        holders = self.holders_by_tag[tag]
        holders.remove(peer)
        if not holders:
            del self.holders_by_tag[tag]

    def _find_other_keeper(self, tag: str) -> None:
        del self.keeper_by_tag[tag]
        for peer, tags in self._kept.items():
            if tag in tags:
                self.keeper_by_tag[tag] = peer
                return


_NO_TAGS: set[str] = set()


def _store(
    tags_by_peer: dict[str, set[str]], peer: str, tags: set[str]
) -> None:
    """Replaces the tags of a peer, which has no entry without any."""
    if tags:
        tags_by_peer[peer] = tags
    else:
        tags_by_peer.pop(peer, None)


def create_item_claims() -> ItemClaims:
    """Creates an `ItemClaims` without claims."""
    return ItemClaims()
