"""Endpoints as they announce themselves, with leases and incarnations.

An endpoint may start again under the name that it had. Its incarnation, where
it states one, tells the starts apart: a later one replaces everything that was
known, and no delayed word of an earlier one counts again. A sign-off states no
incarnation, so one that comes soon after a restart may be the earlier start's.
"""

import enum

import attrs

from _coltsfootroad.core import servicekind

# The incarnation of an endpoint that states none. Such an endpoint uses a new
# name for each start, or lets its lease run out in between.
NO_INCARNATION = 0
# Signing off carries no number and supersedes every announcement.
SIGN_OFF_SEQ = 2**62
# How long an ended incarnation is remembered, so that an announcement that
# was delayed on the way cannot revive it.
TOMBSTONE_S = 300.0
# A sign-off within this time of a restart may have been sent by the start
# before; announcements come seconds late at most.
UNCERTAIN_SIGN_OFF_S = 10.0
# An endpoint whose sign-off is in doubt counts again once two announcements
# this far apart have come after it. Those that an endpoint sends before it
# signs off arrive together if they are late.
MIN_RENEWAL_SPAN_S = 1.0


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
    kind: servicekind.ServiceKind = servicekind.ServiceKind.ENGINE
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


@attrs.frozen(kw_only=True)
class Tombstone:
    """The starts of one name that have ended.

    Attributes:
        incarnation: The latest of them.
        until: When this is forgotten.
        replaced_at: When a later start took the name over, None if none has.
    """

    incarnation: int
    until: float
    replaced_at: float | None = None


@attrs.define
class UncertainSignOff:
    """A sign-off that may have been an earlier start's.

    Attributes:
        incarnation: The start that it was taken for, None if none was known.
        seq: The newest announcement of that start.
        heard_at: When the first announcement after the sign-off came.
    """

    incarnation: int | None = None
    seq: int = -1
    renewed_at: float | None = None


class Change(enum.Enum):
    """What an announcement changed."""

    NONE = "none"
    RENEWED = "renewed"
    UPDATED = "updated"


@attrs.define
class Registry:
    """Keeps the newest announcement of each endpoint while its lease lasts."""

    registrations: dict[str, Registration] = attrs.Factory(dict)
    tombstones: dict[str, Tombstone] = attrs.Factory(dict)
    uncertain_sign_offs: dict[str, UncertainSignOff] = attrs.Factory(dict)

    def announce(
        self,
        announcement: Announcement,
        lease_until: float,
        now: float,
        from_endpoint: bool = True,
    ) -> Change:
        """Take an announcement unless a newer one is known.

        `first_hand` says that the endpoint itself sent it just now; what
        others remember of an endpoint settles no doubt.
        """
        name = announcement.endpoint
        known = self.registrations.get(name)
        if announcement.state is EndpointState.GONE:
            return self.sign_off(announcement, known, now, from_endpoint)
        if self.has_ended(announcement):
            return Change.NONE
        if known is not None and not is_newer(announcement, known.announcement):
            return Change.NONE
        if not self.resolves_sign_off(announcement, now, from_endpoint):
            return Change.NONE
        if known is not None:
            announcement = self.supersede(announcement, known.announcement, now)
        self.registrations[name] = Registration(announcement, lease_until)
        if known is None:
            return Change.UPDATED
        same = attrs.evolve(announcement, seq=known.announcement.seq)
        if same == known.announcement:
            return Change.RENEWED
        return Change.UPDATED

    def has_ended(self, announcement: Announcement) -> bool:
        """Return whether an announcement is of a start that has ended.

        One that states no incarnation is no late word of a start that did.
        """
        ended = self.tombstones.get(announcement.endpoint)
        if ended is None:
            return False
        if announcement.incarnation == NO_INCARNATION and ended.replaced_at:
            return ended.incarnation == NO_INCARNATION
        return announcement.incarnation <= ended.incarnation

    def supersede(
        self, announcement: Announcement, before: Announcement, now: float
    ) -> Announcement:
        """Return an announcement as it counts after the one before it."""
        if announcement.incarnation != before.incarnation:
            self.tombstones[before.endpoint] = Tombstone(
                incarnation=before.incarnation,
                until=now + TOMBSTONE_S,
                replaced_at=now,
            )
            return announcement
        if before.state is EndpointState.LEAVING:
            # An endpoint that has begun to leave never comes back under
            # the same incarnation.
            return attrs.evolve(announcement, state=EndpointState.LEAVING)
        return announcement

    def sign_off(
        self,
        announcement: Announcement,
        known: Registration | None,
        now: float,
        from_endpoint: bool,
    ) -> Change:
        """Take a sign-off; one without an incarnation is the known start's.

        Others who remember it mean the start that stated no incarnation.
        """
        name = announcement.endpoint
        incarnation = announcement.incarnation
        latest = (
            NO_INCARNATION if known is None else known.announcement.incarnation
        )
        if incarnation == NO_INCARNATION and from_endpoint:
            incarnation = latest
        if known is not None and incarnation < latest:
            return Change.NONE
        if from_endpoint and self.is_uncertain(announcement, known, now):
            newest = known.announcement
            self.uncertain_sign_offs[name] = UncertainSignOff(
                newest.incarnation, newest.seq
            )
            del self.registrations[name]
        else:
            self.add_tombstone(name, incarnation, now)
        states_none = announcement.incarnation == NO_INCARNATION
        if from_endpoint and known is None and states_none:
            # Which start it ended is not known here.
            self.uncertain_sign_offs[name] = UncertainSignOff()
        return Change.UPDATED

    def is_uncertain(
        self,
        announcement: Announcement,
        known: Registration | None,
        now: float,
    ) -> bool:
        """Return whether an earlier start may have sent a sign-off."""
        if known is None:
            return False
        newest = known.announcement
        if announcement.incarnation != NO_INCARNATION:
            return False
        if newest.state is EndpointState.LEAVING:
            return False
        ended = self.tombstones.get(newest.endpoint)
        if ended is None or ended.replaced_at is None:
            return False
        return now - ended.replaced_at < UNCERTAIN_SIGN_OFF_S

    def resolves_sign_off(
        self, announcement: Announcement, now: float, from_endpoint: bool
    ) -> bool:
        """Return whether an endpoint counts in spite of a sign-off."""
        uncertain = self.uncertain_sign_offs.get(announcement.endpoint)
        if uncertain is None:
            return True
        if uncertain.incarnation is None and from_endpoint:
            uncertain.incarnation = announcement.incarnation
        if uncertain.incarnation is None:
            return False
        settled = announcement.incarnation > uncertain.incarnation
        if announcement.incarnation == uncertain.incarnation and from_endpoint:
            settled = keeps_announcing(uncertain, announcement, now)
        if settled:
            del self.uncertain_sign_offs[announcement.endpoint]
        return settled

    def add_tombstone(self, name: str, incarnation: int, now: float) -> None:
        """Forget an endpoint and refuse this incarnation from now on."""
        self.registrations.pop(name, None)
        self.uncertain_sign_offs.pop(name, None)
        ended = self.tombstones.get(name)
        if ended is not None:
            incarnation = max(incarnation, ended.incarnation)
        self.tombstones[name] = Tombstone(
            incarnation=incarnation, until=now + TOMBSTONE_S
        )

    def final_incarnation(self, name: str) -> int | None:
        """Return the last start that has ended, None if one may go on."""
        ended = self.tombstones.get(name)
        if ended is None or ended.replaced_at is not None:
            return None
        return ended.incarnation

    def expire(self, now: float) -> list[str]:
        """Drop ended leases and old tombstones; return the dropped names.

        A lease that ran out buries nothing: the endpoint may only have been
        cut off and renews under the same incarnation.
        """
        lapsed = [
            name
            for name, known in self.registrations.items()
            if known.lease_until <= now
        ]
        for name in lapsed:
            del self.registrations[name]
        for name, ended in list(self.tombstones.items()):
            if ended.until <= now:
                del self.tombstones[name]
                self.uncertain_sign_offs.pop(name, None)
        return lapsed


def keeps_announcing(
    uncertain: UncertainSignOff, announcement: Announcement, now: float
) -> bool:
    """Return whether an endpoint goes on announcing itself for good."""
    if announcement.seq <= uncertain.seq:
        return False
    uncertain.seq = announcement.seq
    if uncertain.renewed_at is None:
        uncertain.renewed_at = now
    return now - uncertain.renewed_at >= MIN_RENEWAL_SPAN_S


def is_newer(announcement: Announcement, known: Announcement) -> bool:
    """Return whether an announcement supersedes the known one."""
    new_mark = (announcement.incarnation, announcement.seq)
    return new_mark > (known.incarnation, known.seq)


def sign_off_announcement(
    endpoint: str, incarnation: int = NO_INCARNATION, seq: int = SIGN_OFF_SEQ
) -> Announcement:
    """Return the announcement that an endpoint has ended."""
    return Announcement(
        endpoint=endpoint,
        incarnation=incarnation,
        seq=seq,
        service="",
        state=EndpointState.GONE,
    )
