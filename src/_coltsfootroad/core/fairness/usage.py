"""Measures the engine time that workspaces were granted in the last seconds.

Older usage counts exponentially less. With a sliding window, a workspace above
its share spends a whole window's share at once and is then refused for the rest
of the window, and the queue of each such burst makes the others late.

All gateways count every prompt that any of them sends, so they agree on the
usage without a coordinator, up to the delay of load summaries.
"""

import math

import attrs

from _coltsfootroad.core import hashing
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import enginemodel

# Time constant of the decay. In a phase of ten seconds the usage of the phase
# before must not count, and one long prompt takes 7 engine-seconds, more than a
# workspace's share of 60 engines in a second.
DECAY_S = 2.0
# Stored values grow by the inverse of the decay, and are scaled down beyond
# this factor.
MAX_SCALE = 1e6
# Smaller usage, in engine-seconds, is dropped when values are scaled down.
NEGLIGIBLE_S = 1e-4
# Limit of workspaces; more share one record.
MAX_WORKSPACES = 1_024
# Stands for requests without a workspace, and for all beyond the limit.
NO_WORKSPACE = 0
TAG_RANGE = 2**32
# Time for which a stream occupies a batch slot at most. The stated output is an
# upper bound that most answers stay far below.
MAX_STREAM_S = 2.0


def workspace_tag(workspace: str) -> int:
    """Return the short hash that stands for a workspace in messages.

    It is 32 bits, which take 5 bytes. Two of 24 workspaces share one with a
    probability of 1e-7, and would then share what one may use.
    """
    if not workspace:
        return NO_WORKSPACE
    return 1 + hashing.stable_hash(workspace, "usage") % (TAG_RANGE - 1)


def engine_seconds(
    spec: routes.EngineSpec, prompt_tokens: int, output_tokens: int
) -> float:
    """Return the engine time of a prompt in seconds.

    Prefill occupies an engine; a decoding stream occupies one of its slots.
    """
    pass_s = enginemodel.pass_s(spec, 1, prompt_tokens) / spec.stride
    stream_s = min(MAX_STREAM_S, output_tokens * pass_s)
    return enginemodel.prefill_s(spec, prompt_tokens) + stream_s / spec.slots


@attrs.define
class Usage:
    """Decaying usage of one service's engines, by workspace.

    All values are stored relative to `origin`, so that adding and reading cost
    the same for any number of workspaces.

    Attributes:
        origin: Time at which a stored value equals the actual one.
        used: Stored engine-seconds by workspace.
        sends: Stored number of prompts that were sent.
        queued: Those for which no engine had room within their target.
        refused: Prompts that this gateway refused as capacity is scarce.
    """

    origin: float = 0.0
    used: dict[int, float] = attrs.Factory(dict)
    sends: float = 0.0
    queued: float = 0.0
    refused: float = 0.0

    def scale(self, now: float) -> float:
        """Return the factor from an actual value to a stored one."""
        factor = math.exp(min(700.0, (now - self.origin) / DECAY_S))
        if factor <= MAX_SCALE:
            return factor
        self.used = {
            tag: stored / factor
            for tag, stored in self.used.items()
            if stored / factor > NEGLIGIBLE_S
        }
        self.sends /= factor
        self.queued /= factor
        self.refused /= factor
        self.origin = now
        return 1.0

    def add(self, tag: int, engine_s: float, queued: bool, now: float) -> None:
        """Count a prompt that was sent."""
        scale = self.scale(now)
        if tag not in self.used and len(self.used) >= MAX_WORKSPACES:
            tag = NO_WORKSPACE
        self.used[tag] = self.used.get(tag, 0.0) + scale * engine_s
        self.sends += scale
        self.queued += scale * queued

    def add_refused(self, now: float) -> None:
        """Count a prompt that was refused as capacity is scarce."""
        self.refused += self.scale(now)

    def used_s(self, tag: int, now: float) -> float:
        """Return the engine-seconds that a workspace was granted."""
        return self.used.get(tag, 0.0) / self.scale(now)

    def all_used_s(self, now: float) -> dict[int, float]:
        """Return the engine-seconds by workspace."""
        scale = self.scale(now)
        return {tag: stored / scale for tag, stored in self.used.items()}

    def missed(self, now: float) -> float:
        """Return the number of prompts that were queued or refused."""
        return (self.queued + self.refused) / self.scale(now)

    def missed_share(self) -> float:
        """Return the share of prompts that were queued or refused."""
        missed = self.queued + self.refused
        return missed / max(1e-9, self.sends + self.refused)

    def queued_share(self) -> float:
        """Return the share of queued prompts among those sent."""
        return self.queued / max(1e-9, self.sends)
