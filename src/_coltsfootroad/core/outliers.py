"""Ejects endpoints that fail or answer slowly, up to a floor."""

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
# Successes between two computations of the median.
MEDIAN_EVERY = 16


@attrs.define
class Health:
    """Recent conduct of one endpoint."""

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
    """Keeps the endpoints of one service that should get no new work.

    At most `MAX_EJECTED_SHARE` are out at once: ejecting more moves their
    load to the rest, which then look slow as well.
    """

    health: dict[str, Health] = attrs.Factory(dict)
    median: float = 1.0
    since_median: int = MEDIAN_EVERY

    def on_success(
        self, endpoint: str, actual_s: float, predicted_s: float, now: float
    ) -> None:
        """Record a first token and compare it with the prediction."""
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
        """Rest an endpoint that refuses connections.

        Nobody listens there, so resting it costs no capacity and the floor
        on ejections does not hold it back. Without this, the retries of a
        request were spent on the one dead engine that looked idle.
        """
        health = self.health.setdefault(endpoint, Health())
        health.refusals += 1
        pause = min(
            MAX_REFUSED_BACKOFF_S,
            REFUSED_BACKOFF_S * 2 ** (health.refusals - 1),
        )
        health.backoff_until = now + pause

    def on_failure(self, endpoint: str, now: float) -> None:
        """Record a failed attempt."""
        health = self.health.setdefault(endpoint, Health())
        health.failures += 1
        if health.failures >= FAILURES_TO_EJECT:
            self.eject(endpoint, now)

    def median_slowness(self) -> float:
        """Return the median slowness, so that a slow fleet ejects nobody."""
        self.since_median += 1
        if self.since_median >= MEDIAN_EVERY:
            self.since_median = 0
            values = sorted(h.slowness for h in self.health.values())
            self.median = max(values[len(values) // 2], 1.0)
        return self.median

    def eject(self, endpoint: str, now: float) -> bool:
        """Eject an endpoint unless too many are out already."""
        health = self.health.setdefault(endpoint, Health())
        if now < health.ejected_until:
            return False
        out = sum(1 for h in self.health.values() if now < h.ejected_until)
        if out + 1 > MAX_EJECTED_SHARE * len(self.health):
            return False
        health.ejections += 1
        pause = min(MAX_EJECT_S, EJECT_S * 2 ** (health.ejections - 1))
        health.ejected_until = now + pause
        health.returned_at = health.ejected_until
        health.failures = 0
        health.samples = 0
        health.slowness = 1.0
        return True

    def is_ejected(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is out now."""
        health = self.health.get(endpoint)
        if health is None:
            return False
        return now < max(health.ejected_until, health.backoff_until)

    def slow_start_factor(self, endpoint: str, now: float) -> float:
        """Return a cost factor of at least 1 that fades after a return."""
        health = self.health.get(endpoint)
        if health is None or now - health.returned_at >= SLOW_START_S:
            return 1.0
        progress = max(0.0, now - health.returned_at) / SLOW_START_S
        return 1.0 / max(progress, 0.1)

    def retain(self, endpoints: set[str]) -> None:
        """Forget endpoints that are no longer known."""
        for gone in set(self.health) - endpoints:
            del self.health[gone]
