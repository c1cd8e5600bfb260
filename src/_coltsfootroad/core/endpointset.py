"""The endpoints that a gateway knows, and their ejection after failures."""

import enum

import attrs

from _coltsfootroad.core import coldness
from _coltsfootroad.core import registry

# Ejection time after the first failure, doubled with each further consecutive
# failure.
FIRST_EJECTION_S = 0.7
MAX_EJECTION_S = 5.0
# Consecutive lost answers after which an endpoint is ejected.
LOSSES_TO_EJECT = 2
# Tombstones keep late announcements from reviving endpoints that have ended.
MAX_TOMBSTONES = 4_096


# Stands for the incarnation of a name without a tombstone.
NO_TOMBSTONE = -1


class AnnouncementResult(enum.Enum):
    """Effect of an announcement."""

    NEW = "new"
    OLD = "old"
    ENDED = "ended"
    RESTARTED = "restarted"


@attrs.define
class KnownEndpoint:
    """One incarnation of an endpoint and its recent failures.

    Attributes:
        announcement: The newest announcement.
        expired: Whether its lease has ended.
        failures: Consecutive lost answers.
        ejected_until: End of its ejection.
        slowdown: Factor by which it is slower than its specification.
        restarted_at: When this incarnation replaced an earlier one. Requests
            sent before that ended with the earlier incarnation.
        cold: Its cold phase.
        cold_slowdown: The same factor while it is cold, before it is learned;
            0 while it is not.
    """

    announcement: registry.Announcement
    expired: bool = False
    failures: int = 0
    ejected_until: float = 0.0
    slowdown: float = 1.0
    restarted_at: float = float("-inf")
    cold: coldness.Coldness = attrs.Factory(coldness.Coldness)
    cold_slowdown: float = 0.0

    @property
    def expected_slowdown(self) -> float:
        """Return the factor to predict its times with."""
        return max(self.slowdown, self.cold_slowdown)

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.announcement.endpoint

    @property
    def incarnation_key(self) -> str:
        """Return a key that identifies this incarnation of the endpoint."""
        return f"{self.name}#{self.announcement.incarnation}"

    @property
    def accepts(self) -> bool:
        """Return whether the endpoint announces that it takes new work."""
        is_serving = self.announcement.state is registry.EndpointState.SERVING
        return is_serving and not self.expired


@attrs.define
class EndpointSet:
    """All endpoints by name and service."""

    known: dict[str, KnownEndpoint] = attrs.Factory(dict)
    tombstones: dict[str, int] = attrs.Factory(dict)
    # Endpoints that take new work, by service; a cache.
    serving_by_service: dict[str, list[KnownEndpoint]] = attrs.Factory(dict)
    # Zones whose endpoints get nothing, and the services that have endpoints
    # there which would take new work, or None if not computed.
    evacuated_zones: frozenset[str] = frozenset()
    evacuated_services: set[str] | None = None

    def learn(
        self, announcement: registry.Announcement, now: float = 0.0
    ) -> AnnouncementResult:
        """Apply an announcement unless a newer one or the end is known."""
        self.clear_caches()
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
        # An announcement without an incarnation after an expired lease is from
        # other software; the leader would have refused a late one.
        is_other_software = (
            incarnation == registry.NO_INCARNATION and known.expired
        )
        if incarnation > latest or (is_other_software and incarnation < latest):
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
        """Record the end of an incarnation; remove it and earlier ones."""
        self.clear_caches()
        known = self.known.get(name)
        if known is not None and known.announcement.incarnation <= incarnation:
            del self.known[name]
        previous = self.tombstones.pop(name, NO_TOMBSTONE)
        self.tombstones[name] = max(previous, incarnation)
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def is_current(self, endpoint: KnownEndpoint) -> bool:
        """Return whether an incarnation has neither ended nor been replaced."""
        return self.known.get(endpoint.name) is endpoint

    def has_restarted(self, endpoint: KnownEndpoint) -> bool:
        """Return whether a later incarnation of an endpoint is known."""
        known = self.known.get(endpoint.name)
        return known is not None and known is not endpoint

    def has_ended(self, endpoint: KnownEndpoint) -> bool:
        """Return whether control's announcements prove an endpoint's end.

        Its lease has ended, a later incarnation is known, or another endpoint
        announces its address.
        """
        address = endpoint.announcement.address
        return (
            endpoint.expired
            or self.has_restarted(endpoint)
            or any(
                known.announcement.address == address
                for known in self.known.values()
                if known is not endpoint and known.accepts
            )
        )

    def expire(self, name: str) -> None:
        """Stop using an endpoint whose lease has ended."""
        self.clear_caches()
        if name in self.known:
            self.known[name].expired = True

    def serving_endpoints(self, service: str) -> list[KnownEndpoint]:
        """Return the endpoints that take new work; do not modify the list."""
        found = self.serving_by_service.get(service)
        if found is None:
            found = self.serving_by_service[service] = [
                known
                for known in self.known.values()
                if known.announcement.service == service
                and self.is_usable(known)
            ]
        return found

    def serving_services(self) -> set[str]:
        """Return the services that have endpoints that take new work."""
        return {
            known.announcement.service
            for known in self.known.values()
            if self.is_usable(known)
        }

    def serves(self, name: str, service: str) -> bool:
        """Return whether an endpoint takes new work of a service."""
        known = self.known.get(name)
        if known is None or not self.is_usable(known):
            return False
        return known.announcement.service == service

    def clear_caches(self) -> None:
        """Discard what is computed from the endpoints and zones."""
        self.serving_by_service.clear()
        self.evacuated_services = None

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Set the zones whose endpoints get nothing."""
        self.clear_caches()
        self.evacuated_zones = zones

    def is_evacuated(self, endpoint: KnownEndpoint) -> bool:
        """Return whether an endpoint lies in an evacuated zone."""
        zone = endpoint.announcement.availability_zone
        return zone in self.evacuated_zones

    def is_usable(self, endpoint: KnownEndpoint) -> bool:
        """Return whether an endpoint takes new work and may be sent some."""
        return endpoint.accepts and not self.is_evacuated(endpoint)

    def has_only_evacuated(self, service: str) -> bool:
        """Return whether only evacuated zones have endpoints of a service."""
        if not self.evacuated_zones or self.serving_endpoints(service):
            return False
        if self.evacuated_services is None:
            self.evacuated_services = {
                known.announcement.service
                for known in self.known.values()
                if known.accepts and self.is_evacuated(known)
            }
        return service in self.evacuated_services

    def count_in_zone(self, zone: str) -> int:
        """Return how many endpoints of a zone take new work."""
        return sum(
            known.accepts and known.announcement.availability_zone == zone
            for known in self.known.values()
        )

    def on_failure(self, name: str, now: float, unreachable: bool) -> float:
        """Record a failure; return the seconds of ejection, 0 for none.

        An endpoint is ejected if it is unreachable or loses two consecutive
        answers. A single lost answer is weak evidence, and an ejection for it
        would take a healthy engine away from its other callers.
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
        """Reset the failures of an endpoint."""
        known = self.known.get(name)
        if known is not None:
            known.failures = 0
            known.ejected_until = 0.0

    def current_announcements(self) -> tuple[registry.Announcement, ...]:
        """Return the announcements and ends that a new leader has to know."""
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
