"""Bounds how much less often than the mean any group of requests is served."""

import math

import attrs

# Counts decay with this time constant, two phases of a load that alternates
# every ten seconds, so that groups of both phases are compared.
DECAY_S = 20.0
# Groups with fewer requests are not judged: one refusal would count as none
# served.
MIN_OFFERED = 4.0
# Share of the mean served share that each group gets at least.
FLOOR = 0.5
MAX_GROUPS = 4_096


@attrs.define
class Counts:
    """Decaying counts of one group's requests."""

    offered: float = 0.0
    served: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to a time."""
        factor = math.exp(-max(0.0, now - self.at) / DECAY_S)
        self.offered *= factor
        self.served *= factor
        self.at = now


@attrs.define
class ServedShares:
    """Requests of this gateway that were offered and served, by group."""

    total: Counts = attrs.Factory(Counts)
    groups: dict[str, Counts] = attrs.Factory(dict)

    def record(self, groups: tuple[str, ...], served: bool, now: float) -> None:
        """Count one decided request in each of its groups."""
        for name in groups:
            counts = self.groups.pop(name, None) or Counts(at=now)
            # The least recently used group is the first.
            self.groups[name] = counts
            add(counts, served, now)
        while len(self.groups) > MAX_GROUPS:
            del self.groups[next(iter(self.groups))]
        add(self.total, served, now)

    def protects(self, groups: tuple[str, ...], now: float) -> bool:
        """Return whether a refusal would leave a group below the floor."""
        self.total.decay(now)
        if not self.total.offered:
            return False
        least = FLOOR * self.total.served / self.total.offered
        for name in groups:
            counts = self.groups.get(name)
            if counts is None:
                continue
            counts.decay(now)
            if counts.offered < MIN_OFFERED:
                continue
            if counts.served / (counts.offered + 1.0) < least:
                return True
        return False


def add(counts: Counts, served: bool, now: float) -> None:
    """Count one request."""
    counts.decay(now)
    counts.offered += 1.0
    counts.served += served
