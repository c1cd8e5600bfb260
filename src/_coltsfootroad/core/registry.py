"""Registry of the endpoints' announcements, with leases and incarnations.

An endpoint may restart under the same name. Its incarnation, if it states one,
distinguishes the starts: a later incarnation replaces all that is known of the
name, and delayed announcements of earlier ones are ignored. A sign-off states
no incarnation, so one that arrives soon after a restart may come from the
earlier incarnation.
"""

import enum

import attrs

from _coltsfootroad.core import servicekind

# Stands for the incarnation of an endpoint that states none. Such an endpoint
# uses a new name for each start, or lets its lease expire in between.
NO_INCARNATION = 0
# A sign-off carries no number and supersedes every announcement.
SIGN_OFF_SEQ = 2**62
# Lifetime of a tombstone, which keeps delayed announcements from reviving an
# incarnation that has ended.
TOMBSTONE_S = 300.0
# A sign-off within this time after a restart may come from the incarnation
# before, as announcements are seconds late at most.
UNCERTAIN_SIGN_OFF_S = 10.0
# An endpoint with an uncertain sign-off counts again after two announcements
# that arrive this far apart. Late announcements from before the sign-off arrive
# together.
MIN_RENEWAL_SPAN_S = 1.0
# An announcement may be this much later on its way than the one before. With a
# lower tolerance, each late one would be published as a longer cold phase.
COLD_END_TOLERANCE_S = 0.5


class EndpointState(enum.Enum):
    """State that an endpoint announces."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen(kw_only=True)
class Announcement:
    """An endpoint's description of itself, renewed while it runs.

    Attributes:
        endpoint: Name, unique in the fleet.
        incarnation: Increases with every start of the endpoint.
        seq: Increases with every announcement of an incarnation.
        service: Name of the service.
        kind: Engine or plain service.
        address: `ip:port` for requests.
        availability_zone: Zone in which it runs.
        state: Serving, leaving or gone.
        kv_tokens: Size of the KV cache in tokens, engines only.
        max_running: Size of a batch.
        models: Models that are loaded and ready.
        cold_remaining_s: Seconds for which it is still slow after a start.
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
    cold_remaining_s: float = 0.0


@attrs.define
class Registration:
    """An announcement with the end of its lease.

    Attributes:
        announcement: The newest announcement.
        lease_until: End of its lease.
        cold_until: End of the cold phase as of the last change, which is what
            others count down to.
    """

    announcement: Announcement
    lease_until: float
    cold_until: float = float("-inf")

    def same_phase(self, announcement: Announcement, now: float) -> bool:
        """Return whether an announcement states the known cold phase.

        One that counts down, with the delays of announcements, is the same.
        """
        was_cold = self.announcement.cold_remaining_s > 0
        is_cold = announcement.cold_remaining_s > 0
        if is_cold != was_cold:
            return False
        end = now + announcement.cold_remaining_s
        return not is_cold or end <= self.cold_until + COLD_END_TOLERANCE_S


@attrs.frozen(kw_only=True)
class Tombstone:
    """The ended incarnations of one name.

    Attributes:
        incarnation: The latest ended incarnation.
        until: Time at which the tombstone is dropped.
        replaced_at: Time at which a later incarnation replaced the ended one,
            None if there is none.
    """

    incarnation: int
    until: float
    replaced_at: float | None = None


@attrs.define
class UncertainSignOff:
    """A sign-off that may come from an earlier incarnation.

    Attributes:
        incarnation: Incarnation that it was applied to, None if none was known.
        seq: Number of the newest announcement of that incarnation.
        renewed_at: Arrival of the first announcement after the sign-off.
    """

    incarnation: int | None = None
    seq: int = -1
    renewed_at: float | None = None


class Change(enum.Enum):
    """Effect of an announcement on the registry."""

    NONE = "none"
    RENEWED = "renewed"
    UPDATED = "updated"


@attrs.define
class Registry:
    """Holds the newest announcement of each endpoint until its lease ends."""

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
        """Apply an announcement unless a newer one is known.

        `from_endpoint` states that the endpoint itself has just sent it.
        Announcements that others remember resolve no uncertain sign-off.
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
        renewed = Registration(
            announcement, lease_until, now + announcement.cold_remaining_s
        )
        self.registrations[name] = renewed
        if known is None:
            return Change.UPDATED
        same = attrs.evolve(
            announcement,
            seq=known.announcement.seq,
            cold_remaining_s=known.announcement.cold_remaining_s,
        )
        if same == known.announcement and known.same_phase(announcement, now):
            renewed.cold_until = known.cold_until
            return Change.RENEWED
        return Change.UPDATED

    def has_ended(self, announcement: Announcement) -> bool:
        """Return whether an announcement is of an incarnation that has ended.

        One without an incarnation is not a late announcement of an incarnation
        that stated one.
        """
        tombstone = self.tombstones.get(announcement.endpoint)
        if tombstone is None:
            return False
        if announcement.incarnation == NO_INCARNATION and tombstone.replaced_at:
            return tombstone.incarnation == NO_INCARNATION
        return announcement.incarnation <= tombstone.incarnation

    def supersede(
        self, announcement: Announcement, previous: Announcement, now: float
    ) -> Announcement:
        """Return an announcement, adjusted by the state of its predecessor."""
        if announcement.incarnation != previous.incarnation:
            self.tombstones[previous.endpoint] = Tombstone(
                incarnation=previous.incarnation,
                until=now + TOMBSTONE_S,
                replaced_at=now,
            )
            return announcement
        if previous.state is EndpointState.LEAVING:
            # An endpoint that has begun to leave never serves again under the
            # same incarnation.
            return attrs.evolve(announcement, state=EndpointState.LEAVING)
        return announcement

    def sign_off(
        self,
        announcement: Announcement,
        known: Registration | None,
        now: float,
        from_endpoint: bool,
    ) -> Change:
        """Apply a sign-off.

        Without an incarnation it ends the known one if the endpoint sent it,
        and the one that states no incarnation if others remember it.
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
        lacks_incarnation = announcement.incarnation == NO_INCARNATION
        if from_endpoint and known is None and lacks_incarnation:
            # It is unknown which incarnation this ends.
            self.uncertain_sign_offs[name] = UncertainSignOff()
        return Change.UPDATED

    def is_uncertain(
        self,
        announcement: Announcement,
        known: Registration | None,
        now: float,
    ) -> bool:
        """Return whether an earlier incarnation may have sent a sign-off."""
        if known is None:
            return False
        newest = known.announcement
        if announcement.incarnation != NO_INCARNATION:
            return False
        if newest.state is EndpointState.LEAVING:
            return False
        tombstone = self.tombstones.get(newest.endpoint)
        if tombstone is None or tombstone.replaced_at is None:
            return False
        return now - tombstone.replaced_at < UNCERTAIN_SIGN_OFF_S

    def resolves_sign_off(
        self, announcement: Announcement, now: float, from_endpoint: bool
    ) -> bool:
        """Return whether an endpoint counts despite an uncertain sign-off."""
        uncertain = self.uncertain_sign_offs.get(announcement.endpoint)
        if uncertain is None:
            return True
        if uncertain.incarnation is None and from_endpoint:
            uncertain.incarnation = announcement.incarnation
        if uncertain.incarnation is None:
            return False
        is_resolved = announcement.incarnation > uncertain.incarnation
        if announcement.incarnation == uncertain.incarnation and from_endpoint:
            is_resolved = keeps_announcing(uncertain, announcement, now)
        if is_resolved:
            del self.uncertain_sign_offs[announcement.endpoint]
        return is_resolved

    def add_tombstone(self, name: str, incarnation: int, now: float) -> None:
        """Remove an endpoint and refuse this incarnation from now on."""
        self.registrations.pop(name, None)
        self.uncertain_sign_offs.pop(name, None)
        tombstone = self.tombstones.get(name)
        if tombstone is not None:
            incarnation = max(incarnation, tombstone.incarnation)
        self.tombstones[name] = Tombstone(
            incarnation=incarnation, until=now + TOMBSTONE_S
        )

    def final_incarnation(self, name: str) -> int | None:
        """Return the last ended incarnation, None if a later one may run."""
        tombstone = self.tombstones.get(name)
        if tombstone is None or tombstone.replaced_at is not None:
            return None
        return tombstone.incarnation

    def expire(self, now: float) -> list[str]:
        """Drop ended leases and old tombstones; return names of ended leases.

        The end of a lease leaves no tombstone: the endpoint may only have been
        disconnected, and renews under the same incarnation.
        """
        expired = [
            name
            for name, known in self.registrations.items()
            if known.lease_until <= now
        ]
        for name in expired:
            del self.registrations[name]
        for name, tombstone in list(self.tombstones.items()):
            if tombstone.until <= now:
                del self.tombstones[name]
                self.uncertain_sign_offs.pop(name, None)
        return expired


def keeps_announcing(
    uncertain: UncertainSignOff, announcement: Announcement, now: float
) -> bool:
    """Return whether announcements continue after an uncertain sign-off."""
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
    """Return an announcement of the end of an endpoint."""
    return Announcement(
        endpoint=endpoint,
        incarnation=incarnation,
        seq=seq,
        service="",
        state=EndpointState.GONE,
    )
