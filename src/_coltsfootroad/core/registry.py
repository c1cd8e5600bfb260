"""Endpoints as they announce themselves, with leases and incarnations."""

import enum

import attrs

from _coltsfootroad.core import request as request_lib

# How long a gone incarnation is remembered, so that an announcement that
# was delayed on the way cannot revive it.
TOMBSTONE_S = 300.0


class EndpointState(enum.Enum):
    """What an endpoint says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen(kw_only=True)
class Announcement:
    """What an endpoint says of itself, renewed while it lives.

    Attributes:
        endpoint: Name, unique over the fleet.
        incarnation: Grows with every start of the endpoint.
        seq: Grows with every announcement of an incarnation.
        service: Service that it serves.
        kind: Engine or plain service.
        address: `ip:port` that takes requests.
        availability_zone: Where it runs.
        state: Serving, leaving or gone.
        kv_tokens: KV cache size in tokens, engines only.
        max_running: Requests that it batches at once.
        models: Models that are loaded and ready.
    """

    endpoint: str
    incarnation: int
    seq: int
    service: str
    address: str = ""
    kind: request_lib.ServiceKind = request_lib.ServiceKind.ENGINE
    availability_zone: str = ""
    state: EndpointState = EndpointState.SERVING
    kv_tokens: int = 0
    max_running: int = 256
    models: tuple[str, ...] = ()


@attrs.define
class Registration:
    """An announcement with the end of its lease."""

    announcement: Announcement
    lease_until: float


class Change(enum.Enum):
    """What an announcement changed."""

    NONE = "none"
    RENEWED = "renewed"
    UPDATED = "updated"


@attrs.define
class Registry:
    """Keeps the newest announcement of each endpoint while its lease lasts."""

    registrations: dict[str, Registration] = attrs.Factory(dict)
    tombstones: dict[str, tuple[int, float]] = attrs.Factory(dict)

    def announce(
        self, announcement: Announcement, lease_until: float, now: float
    ) -> Change:
        """Take an announcement unless a newer one is known."""
        name = announcement.endpoint
        gone_incarnation, _ = self.tombstones.get(name, (-1, 0.0))
        if announcement.incarnation <= gone_incarnation:
            return Change.NONE
        known = self.registrations.get(name)
        if known is not None and not is_newer(announcement, known.announcement):
            return Change.NONE
        if announcement.state is EndpointState.GONE:
            self.bury(name, announcement.incarnation, now)
            return Change.UPDATED
        if (
            known is not None
            and known.announcement.incarnation == announcement.incarnation
            and known.announcement.state is EndpointState.LEAVING
        ):
            # An endpoint that has begun to leave never comes back under
            # the same incarnation.
            announcement = attrs.evolve(
                announcement, state=EndpointState.LEAVING
            )
        self.registrations[name] = Registration(announcement, lease_until)
        if known is None:
            return Change.UPDATED
        same = attrs.evolve(announcement, seq=known.announcement.seq)
        if same == known.announcement:
            return Change.RENEWED
        return Change.UPDATED

    def bury(self, name: str, incarnation: int, now: float) -> None:
        """Forget an endpoint and refuse this incarnation from now on."""
        self.registrations.pop(name, None)
        self.tombstones[name] = (incarnation, now + TOMBSTONE_S)

    def expire(self, now: float) -> list[str]:
        """Drop ended leases and old tombstones; return the dropped names.

        A lease that ran out buries nothing: the endpoint may only have been
        cut off and renews under the same incarnation.
        """
        ended = [
            name
            for name, known in self.registrations.items()
            if known.lease_until <= now
        ]
        for name in ended:
            del self.registrations[name]
        for name, (_, until) in list(self.tombstones.items()):
            if until <= now:
                del self.tombstones[name]
        return ended


def is_newer(announcement: Announcement, known: Announcement) -> bool:
    """Return whether an announcement supersedes the known one."""
    new_mark = (announcement.incarnation, announcement.seq)
    return new_mark > (known.incarnation, known.seq)
