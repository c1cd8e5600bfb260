"""Learns how slow each engine of a service is from its streams.

A stream compares the pauses between its events with the predicted pass of its
engine. Two passes in a row that agree are a reading. Readings of all streams
at an engine, also of other gateways, decide whether it counts as slow.

Engines are compared with each other: as many count as slow as are known to be
sound, so if all are slow together, none does and no load moves.
"""

from collections.abc import Hashable

import attrs

from _coltsfootroad.core import endpointset

# Ratio of an observed to a predicted pass from which an engine counts as slow.
# Slow engines take 3 to 5 times as long, and the pauses of sound ones reach
# 1.5 times a pass of 0.1 s where a gateway waits 0.05 s for its processor.
SLOW_FROM = 1.8
# Larger ratios are clipped: they come from lost packets and stalled processes.
MAX_SLOWDOWN = 6.0
# Slowdowns are multiples of this, so that noise changes neither cached engine
# states nor the values sent to other gateways.
SLOWDOWN_STEP = 0.5
# Readings of other streams are considered for this long. A pass of an engine
# that is 5 times slower takes 0.5 s.
READING_VALID_S = 1.0
# Half of the slowdown is dropped after this time without a reading, all of it
# after the second one, so that an engine without work is tried again within
# 2 s of its recovery.
HALVE_AFTER_S = 0.8
DROP_AFTER_S = 1.5
# For this long after an engine counted as slow, one slow sample is a reading.
# Otherwise each lapse would cost two passes of the streams that are sent next.
SUSPECT_S = 3.0
# Readings kept per engine; a batch has fewer streams.
MAX_READINGS = 16
SOUND = 1.0
# Stands for a stream without a reading.
NO_READING = 0.0


def to_slowdown(ratio: float) -> float:
    """Return the slowdown that a ratio stands for, exactly 1.0 if sound."""
    if ratio < SLOW_FROM:
        return SOUND
    steps = round(min(ratio, MAX_SLOWDOWN) / SLOWDOWN_STEP)
    return steps * SLOWDOWN_STEP


@attrs.define
class StreamPace:
    """The samples of one stream, from one engine.

    Attributes:
        previous: The slowdown of the sample before, `NO_READING` if none.
        reading: The slowdown on which the last samples agreed.
        read_at: Time of the last sample that the reading is based on.
    """

    previous: float = NO_READING
    reading: float = NO_READING
    read_at: float = float("-inf")

    def observe(self, ratio: float, now: float, suspected: bool) -> bool:
        """Add a sample; return whether it completed a reading.

        Two consecutive samples must agree: one long pause may be a lost packet,
        and the short pause after it would look sound. `suspected` states
        that the engine counted as slow recently.
        """
        slowdown = to_slowdown(ratio)
        previous, self.previous = self.previous, slowdown
        is_slow = slowdown > SOUND
        if previous == NO_READING:
            if not (suspected and is_slow):
                return False
            previous = slowdown
        if (previous > SOUND) is not is_slow:
            return False
        self.reading = min(previous, slowdown)
        self.read_at = now
        return True


@attrs.frozen
class Reading:
    """The slowdown that one stream observed."""

    slowdown: float
    at: float


@attrs.define(eq=False)
class EnginePace:
    """What is known of one incarnation of an engine.

    Attributes:
        endpoint: The incarnation.
        readings: Latest reading of each stream.
        learned: Slowdown by the readings, 1.0 if sound.
        last_at: Time of the last reading.
        fading: Whether half of the slowdown was dropped.
    """

    endpoint: endpointset.KnownEndpoint
    readings: dict[Hashable, Reading] = attrs.Factory(dict)
    learned: float = SOUND
    last_at: float = float("-inf")
    fading: bool = False

    @property
    def is_slow(self) -> bool:
        """Return whether the readings say that it is slow."""
        return self.learned > SOUND

    @property
    def slowdown(self) -> float:
        """Return the slowdown to apply if it counts as slow."""
        if self.fading:
            return SOUND + (self.learned - SOUND) / 2
        return self.learned

    def add(self, stream: Hashable, slowdown: float, now: float) -> None:
        """Add a reading of a stream and update the learned slowdown.

        The lower median of the streams' readings counts, so one stream of
        several can't make an engine slow.
        """
        self.readings.pop(stream, None)
        self.readings[stream] = Reading(slowdown, now)
        while (
            len(self.readings) > MAX_READINGS
            or now - next(iter(self.readings.values())).at > READING_VALID_S
        ):
            del self.readings[next(iter(self.readings))]
        values = sorted(reading.slowdown for reading in self.readings.values())
        self.learned = values[(len(values) - 1) // 2]
        self.last_at = now
        self.fading = False


@attrs.define(eq=False)
class ServicePaces:
    """The engines of one service with recent readings, by name.

    Attributes:
        sound: Engines that are sound.
        counted: Slow engines that count as slow, the latest last.
        waiting: Slow engines that don't count, as too few are sound.
    """

    sound: set[str] = attrs.Factory(set)
    counted: dict[str, EnginePace] = attrs.Factory(dict)
    waiting: dict[str, EnginePace] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class PaceChange:
    """A change of the slowdown that placement uses for an engine."""

    endpoint: str
    before: float
    after: float
    readings: int
    slow: int
    sound: int


@attrs.define(eq=False)
class PaceTable:
    """Sets `KnownEndpoint.slowdown` from the readings of all streams.

    Each reading costs the same in any fleet: engines are kept in the order of
    their last reading, and no operation iterates over them.

    Attributes:
        engines: Engines with recent readings, those without for the longest
            time first.
        faded: Engines of which half of the slowdown was dropped.
        services: The engines by service.
        suspected_until: When engines that counted as slow stop being suspected.
    """

    engines: dict[str, EnginePace] = attrs.Factory(dict)
    faded: dict[str, EnginePace] = attrs.Factory(dict)
    services: dict[str, ServicePaces] = attrs.Factory(dict)
    suspected_until: dict[str, float] = attrs.Factory(dict)

    def observe(
        self,
        endpoint: endpointset.KnownEndpoint,
        stream: Hashable,
        slowdown: float,
        now: float,
    ) -> list[PaceChange]:
        """Add the reading of a stream; return what it changed."""
        changes = self.advance(now)
        name = endpoint.name
        pace = self.engines.pop(name, None) or self.faded.pop(name, None)
        if pace is not None and pace.endpoint is not endpoint:
            changes += self.forget(pace)
            self.suspected_until.pop(name, None)
            pace = None
        if pace is None:
            pace = EnginePace(endpoint)
        pace.add(stream, slowdown, now)
        self.engines[name] = pace
        return changes + self.classify(pace, now)

    def is_suspected(
        self, endpoint: endpointset.KnownEndpoint, now: float
    ) -> bool:
        """Return whether an engine counted as slow recently."""
        until = self.suspected_until.get(endpoint.name, 0.0)
        return now < until and endpoint.restarted_at < until - SUSPECT_S

    def without_unproved(
        self, engines: list[endpointset.KnownEndpoint], now: float
    ) -> list[endpointset.KnownEndpoint]:
        """Return the engines that long prompts may use, at least half of them.

        Engines that counted as slow and have no reading since then are tried
        with short prompts first: a long one takes seconds on a slow engine.
        """
        if not self.suspected_until:
            return engines
        proved = [
            engine
            for engine in engines
            if engine.slowdown > SOUND or not self.is_suspected(engine, now)
        ]
        return proved if 2 * len(proved) >= len(engines) else engines

    def advance(self, now: float) -> list[PaceChange]:
        """Drop slowdowns without recent readings; return what changed."""
        changes = []
        while self.engines:
            name, pace = next(iter(self.engines.items()))
            if now - pace.last_at <= HALVE_AFTER_S:
                break
            del self.engines[name]
            self.faded[name] = pace
            pace.fading = True
            if name in self.of(pace).counted:
                changes += self.apply(pace, pace.slowdown)
        while self.faded:
            name, pace = next(iter(self.faded.items()))
            if now - pace.last_at <= DROP_AFTER_S:
                break
            del self.faded[name]
            changes += self.forget(pace)
        while self.suspected_until:
            name, until = next(iter(self.suspected_until.items()))
            if until > now:
                break
            del self.suspected_until[name]
        return changes

    def of(self, pace: EnginePace) -> ServicePaces:
        """Return the engines of the same service."""
        service = pace.endpoint.announcement.service
        return self.services.setdefault(service, ServicePaces())

    def classify(self, pace: EnginePace, now: float) -> list[PaceChange]:
        """Record whether an engine is slow or sound after a reading."""
        service, name = self.of(pace), pace.endpoint.name
        self.suspected_until.pop(name, None)
        if not pace.is_slow:
            changes = self.remove_slow(pace)
            service.sound.add(name)
            return changes + self.balance(service)
        service.sound.discard(name)
        self.suspected_until[name] = now + SUSPECT_S
        if name in service.counted:
            return self.apply(pace, pace.slowdown) + self.balance(service)
        service.waiting[name] = pace
        return self.balance(service)

    def forget(self, pace: EnginePace) -> list[PaceChange]:
        """Remove an engine without recent readings."""
        service = self.of(pace)
        service.sound.discard(pace.endpoint.name)
        return self.remove_slow(pace) + self.balance(service)

    def remove_slow(self, pace: EnginePace) -> list[PaceChange]:
        """Remove an engine from the slow ones."""
        service, name = self.of(pace), pace.endpoint.name
        service.waiting.pop(name, None)
        if service.counted.pop(name, None) is None:
            return []
        return self.apply(pace, SOUND)

    def balance(self, service: ServicePaces) -> list[PaceChange]:
        """Count as many engines as slow as are sound, the first ones first."""
        changes = []
        while len(service.counted) > len(service.sound):
            name, pace = service.counted.popitem()
            service.waiting[name] = pace
            changes += self.apply(pace, SOUND)
        while service.waiting and len(service.counted) < len(service.sound):
            name = next(iter(service.waiting))
            pace = service.counted[name] = service.waiting.pop(name)
            changes += self.apply(pace, pace.slowdown)
        return changes

    def apply(self, pace: EnginePace, slowdown: float) -> list[PaceChange]:
        """Set the slowdown of an engine; return the change, if any."""
        endpoint = pace.endpoint
        before = endpoint.slowdown
        if before == slowdown:
            return []
        endpoint.slowdown = slowdown
        service = self.of(pace)
        return [
            PaceChange(
                endpoint=endpoint.name,
                before=before,
                after=slowdown,
                readings=len(pace.readings),
                slow=len(service.counted) + len(service.waiting),
                sound=len(service.sound),
            )
        ]
