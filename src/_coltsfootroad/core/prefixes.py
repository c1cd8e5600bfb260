"""Approximate index of the prefixes in the engines' caches."""

import collections

import attrs

MAX_BLOCKS_PER_ENGINE = 4_096
# Time after which a stored block no longer counts as cached. Lost events show
# as a gap once a later one arrives; this covers an engine that stopped
# publishing. Prompts on the same document follow minutes later.
BLOCK_TTL_S = 300.0
# Engines offered to routing for their cache, which bounds the time of a choice.
MAX_HOLDERS = 4


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Blocks stored and evicted by an engine, numbered without gaps."""

    endpoint: str
    incarnation: int
    seq: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


@attrs.define
class EngineBlocks:
    """Assumed content of one engine's cache."""

    incarnation: int
    next_seq: int
    blocks: collections.OrderedDict = attrs.Factory(collections.OrderedDict)


@attrs.define
class PrefixIndex:
    """Tracks the cached blocks of each engine in bounded memory."""

    engines: dict[str, EngineBlocks] = attrs.Factory(dict)
    holders: dict[str, set[str]] = attrs.Factory(dict)
    gaps: int = 0

    def apply(self, event: CacheEvent, now: float) -> None:
        """Apply an event; a gap in the sequence drops all assumed blocks."""
        known = self.engines.get(event.endpoint)
        if known is None or event.incarnation > known.incarnation:
            self.forget(event.endpoint)
            known = EngineBlocks(event.incarnation, event.seq)
            self.engines[event.endpoint] = known
        if event.incarnation < known.incarnation or event.seq < known.next_seq:
            return
        if event.seq > known.next_seq:
            # The lost event may have evicted any block.
            for block in list(known.blocks):
                self.drop(event.endpoint, known, block)
            self.gaps += 1
        known.next_seq = event.seq + 1
        for block in event.evicted:
            self.drop(event.endpoint, known, block)
        for block in event.stored:
            known.blocks[block] = now
            known.blocks.move_to_end(block)
            self.holders.setdefault(block, set()).add(event.endpoint)
        while len(known.blocks) > MAX_BLOCKS_PER_ENGINE:
            self.drop(event.endpoint, known, next(iter(known.blocks)))

    def drop(self, endpoint: str, known: EngineBlocks, block: str) -> None:
        """Remove a block of an engine."""
        if known.blocks.pop(block, None) is None:
            return
        holders = self.holders[block]
        holders.discard(endpoint)
        if not holders:
            del self.holders[block]

    def forget(self, endpoint: str) -> None:
        """Remove an engine."""
        known = self.engines.pop(endpoint, None)
        for block in list(known.blocks) if known else ():
            self.drop(endpoint, known, block)

    def likely_holders(self, prefix_hashes: tuple[str, ...]) -> list[str]:
        """Return a few engines that hold the longest known prefix."""
        for block in reversed(prefix_hashes):
            holders = self.holders.get(block)
            if holders:
                return sorted(holders)[:MAX_HOLDERS]
        return []

    def cached_share(
        self, endpoint: str, prefix_hashes: tuple[str, ...], now: float
    ) -> float:
        """Return the assumed share, 0 to 1, of a prompt that is cached."""
        known = self.engines.get(endpoint)
        if known is None or not prefix_hashes:
            return 0.0
        matched = 0
        for block in prefix_hashes:
            stored_at = known.blocks.get(block)
            if stored_at is None or now - stored_at > BLOCK_TTL_S:
                break
            matched += 1
        return matched / len(prefix_hashes)
