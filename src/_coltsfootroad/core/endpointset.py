"""The endpoints that a gateway knows, and which of them it avoids."""

import enum

import attrs

from _coltsfootroad.core import registry

# An endpoint that could not be reached is tried again after this time,
# doubled with each failure in a row up to the longest.
FIRST_EJECTION_S = 0.7
MAX_EJECTION_S = 5.0
# Answers lost in a row after which an endpoint rests.
LOSSES_TO_EJECT = 2
# Gone endpoints that are remembered; a late announcement revives none.
MAX_TOMBSTONES = 4_096


# Stands for the incarnation of a name of which no start has ended.
NO_TOMBSTONE = -1


class AnnouncementResult(enum.Enum):
    """What an announcement was to a gateway."""

    NEW = "new"
    OLD = "old"
    ENDED = "ended"
    RESTARTED = "restarted"


@attrs.define
class KnownEndpoint:
    """An endpoint and what the gateway has seen of it.

    Attributes:
        announcement: The newest word of it.
        expired: Whether its lease has ended.
        failures: Answers lost in a row.
        rest_until: When it may be used again after failures.
        pace: How many times slower than stated it works.
        restarted_at: When a start after the one that was known was heard of;
            what had been sent until then ended with that one.
    """

    announcement: registry.Announcement
    expired: bool = False
    failures: int = 0
    ejected_until: float = 0.0
    slowdown: float = 1.0
    restarted_at: float = float("-inf")

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.announcement.endpoint

    @property
    def accepts(self) -> bool:
        """Return whether the endpoint takes new work by its own word."""
        serving = self.announcement.state is registry.EndpointState.SERVING
        return serving and not self.expired


@attrs.define
class EndpointSet:
    """All endpoints by name and service."""

    known: dict[str, KnownEndpoint] = attrs.Factory(dict)
    tombstones: dict[str, int] = attrs.Factory(dict)
    # Those that take new work, by service, until anything changes.
    serving: dict[str, list[KnownEndpoint]] = attrs.Factory(dict)

    def learn(
        self, announcement: registry.Announcement, now: float = 0.0
    ) -> AnnouncementResult:
        """Take an announcement unless a later start or its end is known."""
        self.serving.clear()
        name = announcement.endpoint
        incarnation = announcement.incarnation
        if incarnation <= self.tombstones.get(name, NO_TOMBSTONE):
            return AnnouncementResult.OLD
        if announcement.state is registry.EndpointState.GONE:
            self.add_tombstone(name, incarnation)
            return AnnouncementResult.ENDED
        known = self.known.get(name)
        if known is None:
            self.known[name] = KnownEndpoint(announcement)
            return AnnouncementResult.NEW
        latest = known.announcement.incarnation
        # One without an incarnation that comes after a silence is a start of
        # other software; the leader would have refused a late word.
        unmarked = incarnation == registry.NO_INCARNATION and known.expired
        if incarnation > latest or (unmarked and incarnation < latest):
            self.known[name] = KnownEndpoint(announcement, restarted_at=now)
            return AnnouncementResult.RESTARTED
        if incarnation < latest:
            return AnnouncementResult.OLD
        known.expired = False
        if known.announcement.state is registry.EndpointState.LEAVING:
            return AnnouncementResult.OLD
        known.announcement = announcement
        return AnnouncementResult.NEW

    def add_tombstone(self, name: str, incarnation: int) -> None:
        """Forget an endpoint whose start has ended, unless a later one is."""
        self.serving.clear()
        known = self.known.get(name)
        if known is not None and known.announcement.incarnation <= incarnation:
            del self.known[name]
        before = self.tombstones.pop(name, NO_TOMBSTONE)
        self.tombstones[name] = max(before, incarnation)
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def is_current(self, endpoint: KnownEndpoint) -> bool:
        """Return whether an endpoint has not ended or started again since."""
        return self.known.get(endpoint.name) is endpoint

    def has_restarted(self, endpoint: KnownEndpoint) -> bool:
        """Return whether a later start of an endpoint has been heard of."""
        known = self.known.get(endpoint.name)
        return known is not None and known is not endpoint

    def expire(self, name: str) -> None:
        """Stop using an endpoint that announces itself no longer."""
        self.serving.clear()
        if name in self.known:
            self.known[name].expired = True

    def serving_endpoints(self, service: str) -> list[KnownEndpoint]:
        """Return the endpoints that take new work; not to be changed."""
        found = self.serving.get(service)
        if found is None:
            found = self.serving[service] = [
                known
                for known in self.known.values()
                if known.announcement.service == service and known.accepts
            ]
        return found

    def serves(self, name: str, service: str) -> bool:
        """Return whether an endpoint takes new work of a service."""
        known = self.known.get(name)
        if known is None or not known.accepts:
            return False
        return known.announcement.service == service

    def on_failure(self, name: str, now: float, unreachable: bool) -> float:
        """Rest an endpoint that failed; return for how long.

        One lost answer proves little, and resting for it would take a sound
        engine from the rest of its callers; one that cannot be reached, or
        loses two answers in a row, rests.
        """
        known = self.known.get(name)
        if known is None:
            return 0.0
        known.failures += 1
        if not unreachable and known.failures < LOSSES_TO_EJECT:
            return 0.0
        ejection_s = min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (known.failures - 1)
        )
        known.ejected_until = now + ejection_s
        return ejection_s

    def on_success(self, name: str) -> None:
        """Note that an endpoint works."""
        known = self.known.get(name)
        if known is not None:
            known.failures = 0
            known.ejected_until = 0.0

    def current_announcements(self) -> tuple[registry.Announcement, ...]:
        """Return all that a new leader has to learn again."""
        alive = tuple(
            known.announcement
            for known in self.known.values()
            if not known.expired
        )
        gone = tuple(
            registry.sign_off_announcement(name, incarnation)
            for name, incarnation in self.tombstones.items()
        )
        return alive + gone
