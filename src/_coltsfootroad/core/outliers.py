"""Ejects endpoints that fail or answer slowly, up to a share of them."""

import attrs

FAILURES_TO_EJECT = 3
EJECT_S = 5.0
MAX_EJECT_S = 60.0
REFUSED_BACKOFF_S = 0.5
MAX_REFUSED_BACKOFF_S = 4.0
MAX_EJECTED_SHARE = 0.34
SLOW_RATIO = 3.0
SLOW_SAMPLES = 5
SLOW_START_S = 10.0
SMOOTHING = 0.3
# Successes per computation of the median.
MEDIAN_EVERY = 16


@attrs.define
class Health:
    """Recent failures and latency of one endpoint."""

    failures: int = 0
    slowness: float = 1.0
    samples: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    returned_at: float = float("-inf")
    refusals: int = 0
    backoff_until: float = 0.0


@attrs.define
class OutlierDetector:
    """Tracks the endpoints of one service that should get no new work.

    At most `MAX_EJECTED_SHARE` of them are ejected at once: ejecting more moves
    their load to the others, which then look slow as well.
    """

    health: dict[str, Health] = attrs.Factory(dict)
    median: float = 1.0
    since_median: int = MEDIAN_EVERY

    def on_success(
        self, endpoint: str, actual_s: float, predicted_s: float, now: float
    ) -> None:
        """Record a time to first token and compare it with the prediction."""
        health = self.health.setdefault(endpoint, Health())
        health.failures = 0
        health.refusals = 0
        ratio = actual_s / max(predicted_s, 1e-3)
        health.slowness += SMOOTHING * (ratio - health.slowness)
        health.samples += 1
        slow = health.slowness > SLOW_RATIO * self.median_slowness()
        if slow and health.samples >= SLOW_SAMPLES:
            self.eject(endpoint, now)

    def on_refused(self, endpoint: str, now: float) -> None:
        """Back off from an endpoint that refuses connections.

        No process listens there, so the backoff costs no capacity, and the
        limit on ejections does not apply. Without it, a request spent all its
        retries on one dead engine that looked idle.
        """
        health = self.health.setdefault(endpoint, Health())
        health.refusals += 1
        backoff_s = min(
            MAX_REFUSED_BACKOFF_S,
            REFUSED_BACKOFF_S * 2 ** (health.refusals - 1),
        )
        health.backoff_until = now + backoff_s

    def on_failure(self, endpoint: str, now: float) -> None:
        """Record a failed attempt."""
        health = self.health.setdefault(endpoint, Health())
        health.failures += 1
        if health.failures >= FAILURES_TO_EJECT:
            self.eject(endpoint, now)

    def median_slowness(self) -> float:
        """Return the median slowness, 1 at least.

        Comparing with the median ejects no endpoint if the whole fleet is slow.
        """
        self.since_median += 1
        if self.since_median >= MEDIAN_EVERY:
            self.since_median = 0
            values = sorted(h.slowness for h in self.health.values())
            self.median = max(values[len(values) // 2], 1.0)
        return self.median

    def eject(self, endpoint: str, now: float) -> bool:
        """Eject an endpoint unless too many are ejected already."""
        health = self.health.setdefault(endpoint, Health())
        if now < health.ejected_until:
            return False
        ejected_count = sum(
            1 for h in self.health.values() if now < h.ejected_until
        )
        if ejected_count + 1 > MAX_EJECTED_SHARE * len(self.health):
            return False
        health.ejections += 1
        ejection_s = min(MAX_EJECT_S, EJECT_S * 2 ** (health.ejections - 1))
        health.ejected_until = now + ejection_s
        health.returned_at = health.ejected_until
        health.failures = 0
        health.samples = 0
        health.slowness = 1.0
        return True

    def is_ejected(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is ejected or backed off."""
        health = self.health.get(endpoint)
        if health is None:
            return False
        return now < max(health.ejected_until, health.backoff_until)

    def slow_start_factor(self, endpoint: str, now: float) -> float:
        """Return a cost factor, 1 at least, that decays after an ejection."""
        health = self.health.get(endpoint)
        if health is None or now - health.returned_at >= SLOW_START_S:
            return 1.0
        progress = max(0.0, now - health.returned_at) / SLOW_START_S
        return 1.0 / max(progress, 0.1)

    def retain(self, endpoints: set[str]) -> None:
        """Drop the state of all endpoints but the given ones."""
        for removed in set(self.health) - endpoints:
            del self.health[removed]
