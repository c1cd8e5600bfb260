"""The endpoints that a gateway knows, and which of them it avoids."""

import attrs

from _coltsfootroad.core import registry

# An endpoint that could not be reached is tried again after this time,
# doubled with each failure in a row up to the longest.
REST_S = 0.7
MAX_REST_S = 5.0
# Answers lost in a row after which an endpoint rests.
LOST_TO_REST = 2
# Gone endpoints that are remembered; a late announcement revives none.
MAX_BURIED = 4_096


@attrs.define
class KnownEndpoint:
    """An endpoint and what the gateway has seen of it."""

    announcement: registry.Announcement
    expired: bool = False
    failures: int = 0
    rest_until: float = 0.0
    pace: float = 1.0

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
    buried: dict[str, float] = attrs.Factory(dict)

    def learn(self, announcement: registry.Announcement) -> bool:
        """Take an announcement unless a newer one is known."""
        name = announcement.endpoint
        if name in self.buried:
            return False
        known = self.known.get(name)
        if announcement.state is registry.EndpointState.GONE:
            self.bury(name)
            return True
        if known is None:
            self.known[name] = KnownEndpoint(announcement)
            return True
        known.expired = False
        if known.announcement.state is registry.EndpointState.LEAVING:
            return False
        known.announcement = announcement
        return True

    def bury(self, name: str) -> None:
        """Forget an endpoint that has ended, for good."""
        self.known.pop(name, None)
        self.buried[name] = 0.0
        while len(self.buried) > MAX_BURIED:
            del self.buried[next(iter(self.buried))]

    def expire(self, name: str) -> None:
        """Stop using an endpoint that announces itself no longer."""
        if name in self.known:
            self.known[name].expired = True

    def of_service(self, service: str) -> list[KnownEndpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            known
            for known in self.known.values()
            if known.announcement.service == service and known.accepts
        ]

    def usable(self, service: str, now: float) -> list[KnownEndpoint]:
        """Return those that are not resting, or all if all are."""
        found = self.of_service(service)
        rested = [known for known in found if known.rest_until <= now]
        return rested or found

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
        if not unreachable and known.failures < LOST_TO_REST:
            return 0.0
        rest_s = min(MAX_REST_S, REST_S * 2 ** (known.failures - 1))
        known.rest_until = now + rest_s
        return rest_s

    def on_success(self, name: str) -> None:
        """Note that an endpoint works."""
        known = self.known.get(name)
        if known is not None:
            known.failures = 0
            known.rest_until = 0.0

    def everything(self) -> tuple[registry.Announcement, ...]:
        """Return all that a new leader has to learn again."""
        alive = tuple(
            known.announcement
            for known in self.known.values()
            if not known.expired
        )
        gone = tuple(
            registry.Announcement(
                endpoint=name,
                incarnation=1,
                seq=0,
                service="",
                state=registry.EndpointState.GONE,
            )
            for name in self.buried
        )
        return alive + gone
