"""Messages of the watch protocol between gateways, relays and the leader."""

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine
from _coltsfootroad.core import registry
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes as routes_lib


@attrs.frozen(kw_only=True)
class Relay:
    """A control process that publishes changes to gateways.

    Attributes:
        name: Name of the process.
        incarnation: Grows with each start of the process.
        address: `ip:port` for gateways.
        availability_zone: Availability zone of the process.
    """

    name: str
    incarnation: int
    address: str
    availability_zone: str = ""


@attrs.frozen(kw_only=True)
class Watch:
    """A gateway's long poll for changes; a response may take `wait_s`.

    Attributes:
        member: The gateway itself.
        attachment: Number of times that the gateway has chosen a relay.
        routes_version: Route version in use at the gateway, -1 for none.
        epoch: Epoch of the registry that `registry_mark` belongs to.
        registry_mark: Revision up to which the gateway knows the registry.
        announcements: Announcements that the gateway holds, for a new leader
            that has to rebuild the registry.
        wait_s: Seconds for which a response without changes may be delayed.
        knows_relays: Whether the gateway knows any relay. One that knows none
            is redirected to the relays of its availability zone.
    """

    member: addresses.Member
    routes_version: int
    attachment: int = 0
    epoch: str = ""
    registry_mark: int = 0
    announcements: tuple[registry.Announcement, ...] = ()
    wait_s: float = 0.0
    knows_relays: bool = True


@attrs.frozen(kw_only=True)
class Attached:
    """A gateway that watches a relay.

    A gateway that changes to another relay raises `attachment`.
    """

    member: addresses.Member
    attachment: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which later attachments sort after earlier ones."""
        return (self.member.incarnation, self.attachment)


@attrs.frozen(kw_only=True)
class RelayWatch:
    """A relay's long poll of the leader, with reports of its gateways.

    Attributes:
        relay: The relay itself.
        attached: Gateways that attached or changed and are not reported yet.
        detached: Gateways that detached and are not reported yet.
        complete: Whether `attached` lists all gateways that watch the relay.
        routes_version: As in `Watch`, like the fields below.
    """

    relay: Relay
    attached: tuple[Attached, ...] = ()
    detached: tuple[str, ...] = ()
    complete: bool = False
    routes_version: int = routes_lib.NO_VERSION
    epoch: str = ""
    registry_mark: int = 0
    announcements: tuple[registry.Announcement, ...] = ()
    wait_s: float = 0.0


@attrs.frozen(kw_only=True)
class AskElsewhere:
    """Redirects a gateway to the relays of its own availability zone."""

    relays: tuple[Relay, ...]


@attrs.frozen(kw_only=True)
class Changes:
    """Changes in the fleet, and how to apply them.

    Attributes:
        whole: Whether this replaces all state of the watcher: the leader does
            not know what an earlier leader published.
        more: Whether more changes follow in the next response at once.
        wants_complete: Whether the relay must report all its gateways again.
        continued: Earlier epochs whose revisions are valid in this epoch, each
            up to the revision given; sent with the first response of an epoch.
        members: Live gateways, new or changed.
        lost_members: Gateways that were removed.
        announcements: Endpoints, new or changed.
        gone: Endpoints whose lease expired.
        left: Sign-offs of endpoints that left permanently.
        relays: Relays, new or changed.
        lost_relays: Relays that were removed.
        quarantined: Quarantined requests, new or changed.
        released: Requests that left the quarantine.
        suspected: Suspected requests, whose answers gateways report.
        unsuspected: Requests that are no longer suspected.
        evacuated: Zones whose evacuation was ordered.
        restored: Zones whose evacuation was withdrawn.
    """

    whole: bool = False
    more: bool = False
    wants_complete: bool = False
    continued: dict[str, int] | None = None
    members: tuple[addresses.Member, ...] = ()
    lost_members: tuple[str, ...] = ()
    announcements: tuple[registry.Announcement, ...] = ()
    gone: tuple[str, ...] = ()
    left: tuple[registry.Announcement, ...] = ()
    relays: tuple[Relay, ...] = ()
    lost_relays: tuple[str, ...] = ()
    quarantined: tuple[quarantine.Entry, ...] = ()
    released: tuple[fingerprints.Fingerprint, ...] = ()
    suspected: tuple[fingerprints.Fingerprint, ...] = ()
    unsuspected: tuple[fingerprints.Fingerprint, ...] = ()
    evacuated: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()


NO_CHANGES = Changes()


@attrs.frozen(kw_only=True)
class News:
    """Response to a watch: changes, and proof that the routes are current.

    Most responses hold only the proof. Fields without a value add no more than
    their names to the message.

    Attributes:
        epoch: Identifies the leader and term that assigned `registry_mark`.
        registry_mark: Revision that the watcher knows after this response.
        proof_age_s: Seconds since the route version was known to be current,
            counted from when the request was sent that the leader answered.
        registry_age_s: Seconds since the leader began to receive announcements.
        routes: Newer version of the routes, if no delta is available.
        routes_delta: Delta to a newer version of the routes.
        told: Changes since the revision requested, None for none.
        replicas: Addresses of the control replicas.
    """

    epoch: str
    registry_mark: int
    proof_age_s: float = 0.0
    registry_age_s: float = 0.0
    routes: routes_lib.RouteConfig | None = None
    routes_delta: routedelta.RouteDelta | None = None
    told: Changes | None = None
    replicas: tuple[str, ...] = ()

    @property
    def changes(self) -> Changes:
        """Return the changes in the fleet."""
        return self.told or NO_CHANGES

    @property
    def is_empty(self) -> bool:
        """Return whether there are no changes to apply."""
        return not (self.routes or self.routes_delta or self.told)
