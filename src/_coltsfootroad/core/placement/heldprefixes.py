"""Estimates which beginnings of prompts each engine still holds.

An engine that retains prompts does not prefill a beginning again that it
prefilled a short time ago. The estimate is made from the sends of this gateway
only; nothing is asked of the engines.
"""

import collections
import itertools

import attrs

from _coltsfootroad.core import hashing
from _coltsfootroad.core import prefixes
from _coltsfootroad.core import promptparts

# Prompts on the same document follow minutes later; the same time as for the
# blocks that engines report themselves.
PART_TTL_S = prefixes.BLOCK_TTL_S
# With MAX_PARTS_PER_ENGINE these bound the entries to 32,768 of about 300
# bytes, 10 MB of the 200 MB that small gateways have.
MAX_ENGINES = 512
MAX_PARTS_PER_ENGINE = 64
# Holders that a choice compares in addition to the sampled engines. The cost of
# a choice grows by a twelfth at most: 24 engines are compared for a short
# prompt.
MAX_COMPARED_HOLDERS = 2


@attrs.frozen
class Part:
    """A part of a prompt, identified together with all parts before it.

    Attributes:
        key: Hash of the workspace and of the ids up to this part's.
        tokens: Length of the part.
    """

    key: int
    tokens: int


def prefix_parts(
    header: str, workspace: str, prompt_tokens: int
) -> tuple[Part, ...]:
    """Return the parts at the beginning of a prompt that others may share.

    Args:
        header: The parts as the caller states them, see `promptparts`.
        workspace: Workspace of the caller. Ids of different workspaces do not
            denote the same text.
        prompt_tokens: Length of the prompt. Parts beyond it are left out, as
            their stated lengths are wrong.
    """
    parts, key, left = [], hashing.stable_hash(workspace), prompt_tokens
    for part_id, tokens in promptparts.leading_parts(header):
        left -= tokens
        if left < 0:
            break
        key = hashing.stable_hash(str(key), part_id)
        parts.append(Part(key, tokens))
    return tuple(parts)


@attrs.define
class HeldPart:
    """A part that an engine holds.

    Attributes:
        tokens: Length in tokens.
        at: When it was last prefilled or reused.
    """

    tokens: int
    at: float


@attrs.define
class HeldByEngine:
    """The parts that one engine is assumed to hold.

    Attributes:
        incarnation: Key of the engine's incarnation.
        parts: Parts by key, the oldest first.
        tokens: Sum of their tokens.
    """

    incarnation: str
    parts: collections.OrderedDict[int, HeldPart] = attrs.Factory(
        collections.OrderedDict
    )
    tokens: int = 0


@attrs.define
class HeldPrefixes:
    """The parts that all engines are assumed to hold.

    Attributes:
        engines: By name, the one with the oldest record first.
        holders: Names of the engines that hold a part, by the part's key; the
            newest last.
        counts: Counts of records, hits and dropped parts, for the metrics.
    """

    engines: collections.OrderedDict[str, HeldByEngine] = attrs.Factory(
        collections.OrderedDict
    )
    holders: dict[int, dict[str, None]] = attrs.Factory(dict)
    counts: collections.Counter = attrs.Factory(collections.Counter)

    def record(
        self,
        endpoint: str,
        incarnation: str,
        parts: tuple[Part, ...],
        now: float,
    ) -> None:
        """Record that an engine has prefilled the parts of a prompt.

        The last parts count as the oldest, so that a beginning is dropped after
        what follows it and is useless without it.
        """
        if not parts:
            return
        known = self.engines.get(endpoint)
        if known is None or known.incarnation != incarnation:
            self.forget(endpoint)
            known = self.engines[endpoint] = HeldByEngine(incarnation)
        self.engines.move_to_end(endpoint)
        for part in reversed(parts):
            self.drop(endpoint, known, part.key)
            known.parts[part.key] = HeldPart(part.tokens, now)
            known.tokens += part.tokens
            self.holders.setdefault(part.key, {})[endpoint] = None
        while len(known.parts) > MAX_PARTS_PER_ENGINE:
            self.drop(endpoint, known, next(iter(known.parts)))
        while len(self.engines) > MAX_ENGINES:
            self.forget(next(iter(self.engines)))
        self.counts["recorded"] += 1

    def held_tokens(
        self,
        endpoint: str,
        incarnation: str,
        parts: tuple[Part, ...],
        free_tokens: int,
        now: float,
    ) -> int:
        """Return the tokens at a prompt's beginning that an engine holds.

        Drops what the engine no longer holds: all after a restart, parts that
        are too old, and the oldest ones beyond `free_tokens`, the memory that
        work in flight leaves.
        """
        known = self.engines.get(endpoint)
        if known is None:
            return 0
        if known.incarnation != incarnation:
            self.forget(endpoint)
            return 0
        while known.parts:
            key, oldest = next(iter(known.parts.items()))
            if known.tokens <= free_tokens and now - oldest.at <= PART_TTL_S:
                break
            self.drop(endpoint, known, key)
            self.counts["dropped"] += 1
        tokens = 0
        for part in parts:
            held = known.parts.get(part.key)
            if held is None:
                break
            tokens += part.tokens
        return tokens

    def likely_holders(self, parts: tuple[Part, ...], limit: int) -> list[str]:
        """Return up to `limit` engines that hold the longest held beginning.

        The newest come first, as they are the least likely to have dropped it.
        """
        for part in reversed(parts):
            holders = self.holders.get(part.key)
            if holders:
                return list(itertools.islice(reversed(holders), limit))
        return []

    def on_first_event(
        self,
        endpoint: str,
        parts: tuple[Part, ...],
        observed_s: float,
        predicted_s: float,
        full_s: float,
    ) -> bool:
        """Compare a first event with its prediction; return if it is plausible.

        The parts are dropped if the event came as late as if nothing had been
        saved.

        Args:
            endpoint: Name of the engine.
            parts: Parts of the prompt.
            observed_s: Seconds from the send to the first event.
            predicted_s: Prediction with the saved prefill.
            full_s: Prediction without it.
        """
        if full_s <= predicted_s or observed_s < full_s:
            return True
        known = self.engines.get(endpoint)
        for part in parts if known is not None else ():
            self.drop(endpoint, known, part.key)
        self.counts["nothing_saved"] += 1
        return False

    def drop(self, endpoint: str, known: HeldByEngine, key: int) -> None:
        """Remove a part of an engine, if present."""
        held = known.parts.pop(key, None)
        if held is None:
            return
        known.tokens -= held.tokens
        holders = self.holders[key]
        del holders[endpoint]
        if not holders:
            del self.holders[key]

    def forget(self, endpoint: str) -> None:
        """Remove an engine, if present."""
        known = self.engines.pop(endpoint, None)
        for key in list(known.parts) if known is not None else ():
            self.drop(endpoint, known, key)

    def dump(self) -> dict[str, object]:
        """Return sums for the state dump."""
        return {
            "engines": len(self.engines),
            "parts": sum(len(known.parts) for known in self.engines.values()),
            "tokens": sum(known.tokens for known in self.engines.values()),
            "counts": dict(self.counts),
        }
