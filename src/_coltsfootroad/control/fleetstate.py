"""The fleet state that watches publish, with a revision for each change.

A watcher names the revision that it knows and gets the changes since, in order
of revision and one page at a time, so a lost response costs one page. After a
change of leader a copy can take the place of the state that it was copied from:
a watcher that knows no more than the copy held then gets changes only, and
never needs the complete state again.
"""

import attrs

from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine
from _coltsfootroad.core import registry

# Tombstones kept per table; the oldest are dropped first.
MAX_TOMBSTONES = 4_096
# Changes in one response: some ten thousand bytes once compressed.
MAX_PAGE_CHANGES = 500
# A new epoch starts its revisions at the next multiple of this, above all
# revisions that the earlier state may have assigned since it was copied.
EPOCH_REVISION_STRIDE = 2**40
# Earlier epochs that are kept in `continued`.
MAX_CONTINUED_EPOCHS = 8


@attrs.frozen
class Versioned:
    """A value or a tombstone's value, and the revision that set it."""

    revision: int
    value: object


@attrs.define
class ChangeTable:
    """Live values of one kind by name, and tombstones of removed ones."""

    items: dict[str, Versioned] = attrs.Factory(dict)
    tombstones: dict[str, Versioned] = attrs.Factory(dict)

    def put(self, name: str, value: object, revision: int) -> None:
        """Add or replace a value."""
        self.tombstones.pop(name, None)
        self.items[name] = Versioned(revision, value)

    def drop(self, name: str, revision: int, value: object = None) -> None:
        """Replace a value by a tombstone."""
        self.items.pop(name, None)
        self.tombstones[name] = Versioned(revision, value)
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def values(self) -> list[object]:
        """Return all live values."""
        return [item.value for item in self.items.values()]

    def changed_between(self, after: int, last: int) -> list[object]:
        """Return values changed after revision `after`, up to `last`."""
        return [
            item.value
            for item in self.items.values()
            if after < item.revision <= last
        ]

    def removed_between(
        self, after: int, last: int
    ) -> list[tuple[str, object]]:
        """Return names and values of tombstones after `after`, up to `last`."""
        return [
            (name, item.value)
            for name, item in self.tombstones.items()
            if after < item.revision <= last
        ]

    def revisions(self, after: int) -> list[int]:
        """Return the revisions of values and tombstones after one revision."""
        all_values = [*self.items.values(), *self.tombstones.values()]
        return [item.revision for item in all_values if item.revision > after]


@attrs.define
class FleetState:
    """Live gateways, endpoints and relays, with the history of changes.

    Attributes:
        epoch: Leader and term that assigned the revisions, empty for none yet.
        last_revision: Revision of the newest change.
        continued: Earlier epochs that this epoch continues, each with its last
            revision that the copy held.
        members: Gateways by name.
        endpoints: Announcements by endpoint. A tombstone holds the sign-off, or
            None if the endpoint's lease expired.
        relays: Relays by name.
        quarantined: Quarantined requests by fingerprint.
        suspected: Requests that may crash endpoints, by fingerprint.
        evacuated: Evacuated zones by name.
    """

    epoch: str = ""
    last_revision: int = 0
    continued: dict[str, int] = attrs.Factory(dict)
    members: ChangeTable = attrs.Factory(ChangeTable)
    endpoints: ChangeTable = attrs.Factory(ChangeTable)
    relays: ChangeTable = attrs.Factory(ChangeTable)
    quarantined: ChangeTable = attrs.Factory(ChangeTable)
    suspected: ChangeTable = attrs.Factory(ChangeTable)
    evacuated: ChangeTable = attrs.Factory(ChangeTable)

    def tables(self) -> tuple[ChangeTable, ...]:
        """Return all tables."""
        return (
            self.members,
            self.endpoints,
            self.relays,
            self.quarantined,
            self.suspected,
            self.evacuated,
        )

    def next_revision(self) -> int:
        """Return a revision above all earlier ones."""
        self.last_revision += 1
        return self.last_revision

    def put_member(self, member: addresses.Member) -> None:
        """Add or update a gateway."""
        self.members.put(member.entry, member, self.next_revision())

    def drop_member(self, name: str) -> None:
        """Remove a gateway."""
        self.members.drop(name, self.next_revision())

    def put_endpoint(self, announcement: registry.Announcement) -> None:
        """Add or update an endpoint."""
        revision = self.next_revision()
        self.endpoints.put(announcement.endpoint, announcement, revision)

    def drop_endpoint(
        self, name: str, sign_off: registry.Announcement | None
    ) -> None:
        """Remove an endpoint whose lease expired or that signed off."""
        self.endpoints.drop(name, self.next_revision(), sign_off)

    def put_relay(self, relay: watching.Relay) -> None:
        """Add or update a relay."""
        self.relays.put(relay.name, relay, self.next_revision())

    def drop_relay(self, name: str) -> None:
        """Remove a relay."""
        self.relays.drop(name, self.next_revision())

    def put_quarantine(self, entry: quarantine.Entry) -> None:
        """Add or update a quarantined request."""
        name = fingerprint_key(entry.fingerprint)
        self.quarantined.put(name, entry, self.next_revision())

    def drop_quarantine(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Remove a request from quarantine."""
        name = fingerprint_key(fingerprint)
        self.quarantined.drop(name, self.next_revision(), fingerprint)

    def put_suspect(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Add a request that may crash endpoints."""
        name = fingerprint_key(fingerprint)
        self.suspected.put(name, fingerprint, self.next_revision())

    def drop_suspect(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Remove a request that is no longer suspected."""
        name = fingerprint_key(fingerprint)
        self.suspected.drop(name, self.next_revision(), fingerprint)

    def put_evacuated(self, zone: str) -> None:
        """Add an evacuated zone."""
        self.evacuated.put(zone, zone, self.next_revision())

    def drop_evacuated(self, zone: str) -> None:
        """Remove a zone whose evacuation was withdrawn."""
        self.evacuated.drop(zone, self.next_revision())

    # --- epochs ------------------------------------------------------------

    def start_epoch(self, epoch: str) -> None:
        """Continue the state under a new leader's epoch."""
        if self.epoch:
            self.continued[self.epoch] = self.last_revision
            while len(self.continued) > MAX_CONTINUED_EPOCHS:
                del self.continued[next(iter(self.continued))]
        self.epoch = epoch
        self.last_revision = (
            self.last_revision // EPOCH_REVISION_STRIDE + 1
        ) * EPOCH_REVISION_STRIDE

    def clear(self) -> None:
        """Discard all state."""
        for table in self.tables():
            table.items.clear()
            table.tombstones.clear()
        self.continued = {}
        self.epoch = ""
        self.last_revision = 0

    def known_revision(self, epoch: str, revision: int) -> int | None:
        """Return the revision to continue from, None for an unrelated epoch."""
        if epoch == self.epoch:
            return revision
        taken_over = self.continued.get(epoch)
        if taken_over is None or revision > taken_over:
            return None
        return revision

    # --- responses ---------------------------------------------------------

    def page(self, epoch: str, revision: int) -> watching.News:
        """Return the next changes for a watcher that knows `revision`."""
        known_revision = self.known_revision(epoch, revision)
        after = -1 if known_revision is None else known_revision
        if epoch == self.epoch and after >= self.last_revision:
            return watching.News(epoch=self.epoch, registry_mark=after)
        last = self.last_revision_of_page(after)
        changes = attrs.evolve(
            self.changes(after, last),
            whole=known_revision is None,
            more=last < self.last_revision,
            continued=None if epoch == self.epoch else dict(self.continued),
        )
        return watching.News(
            epoch=self.epoch,
            registry_mark=last,
            told=None if changes == watching.NO_CHANGES else changes,
        )

    def changes(self, after: int, last: int) -> watching.Changes:
        """Return the changes after revision `after`, up to `last`.

        Evacuated zones are never left to a later page: each response proves
        to its receiver that it knows all of them.
        """
        newest = self.last_revision
        removed = self.endpoints.removed_between(after, last)
        return watching.Changes(
            members=tuple(self.members.changed_between(after, last)),
            lost_members=removed_names(
                self.members.removed_between(after, last)
            ),
            announcements=tuple(self.endpoints.changed_between(after, last)),
            gone=tuple(name for name, sign_off in removed if sign_off is None),
            left=tuple(s for _, s in removed if s is not None),
            relays=tuple(self.relays.changed_between(after, last)),
            lost_relays=removed_names(self.relays.removed_between(after, last)),
            quarantined=tuple(self.quarantined.changed_between(after, last)),
            released=removed_fingerprints(
                self.quarantined.removed_between(after, last)
            ),
            suspected=tuple(self.suspected.changed_between(after, last)),
            unsuspected=removed_fingerprints(
                self.suspected.removed_between(after, last)
            ),
            evacuated=tuple(self.evacuated.changed_between(after, newest)),
            restored=removed_names(
                self.evacuated.removed_between(after, newest)
            ),
        )

    def last_revision_of_page(self, after: int) -> int:
        """Return the last revision of a page; equal revisions stay together."""
        revisions = [
            m for table in self.tables() for m in table.revisions(after)
        ]
        if len(revisions) <= MAX_PAGE_CHANGES:
            return self.last_revision
        revisions.sort()
        return revisions[MAX_PAGE_CHANGES - 1]

    def apply_response(self, response: watching.News) -> None:
        """Copy changes of another state; the caller handles `changes.whole`."""
        if response.epoch != self.epoch:
            self.continued = dict(response.changes.continued or {})
            self.epoch = response.epoch
        revision = self.last_revision = response.registry_mark
        self.apply_members(response.changes, revision)
        self.apply_endpoints(response.changes, revision)
        self.apply_quarantine(response.changes, revision)
        self.apply_evacuation(response.changes, revision)

    def apply_members(self, changes: watching.Changes, revision: int) -> None:
        """Copy changes of gateways and relays."""
        for member in changes.members:
            self.members.put(member.entry, member, revision)
        for name in changes.lost_members:
            self.members.drop(name, revision)
        for relay in changes.relays:
            self.relays.put(relay.name, relay, revision)
        for name in changes.lost_relays:
            self.relays.drop(name, revision)

    def apply_endpoints(self, changes: watching.Changes, revision: int) -> None:
        """Copy changes of endpoints."""
        for announcement in changes.announcements:
            self.endpoints.put(announcement.endpoint, announcement, revision)
        for name in changes.gone:
            self.endpoints.drop(name, revision)
        for sign_off in changes.left:
            self.endpoints.drop(sign_off.endpoint, revision, sign_off)

    def apply_quarantine(
        self, changes: watching.Changes, revision: int
    ) -> None:
        """Copy changes of quarantined and suspected requests."""
        for entry in changes.quarantined:
            self.quarantined.put(
                fingerprint_key(entry.fingerprint), entry, revision
            )
        for fingerprint in changes.released:
            self.quarantined.drop(
                fingerprint_key(fingerprint), revision, fingerprint
            )
        for fingerprint in changes.suspected:
            self.suspected.put(
                fingerprint_key(fingerprint), fingerprint, revision
            )
        for fingerprint in changes.unsuspected:
            self.suspected.drop(
                fingerprint_key(fingerprint), revision, fingerprint
            )

    def apply_evacuation(
        self, changes: watching.Changes, revision: int
    ) -> None:
        """Copy changes of evacuated zones."""
        for zone in changes.evacuated:
            self.evacuated.put(zone, zone, revision)
        for zone in changes.restored:
            self.evacuated.drop(zone, revision)


def fingerprint_key(fingerprint: fingerprints.Fingerprint) -> str:
    """Return a fingerprint's key in a table."""
    return f"{fingerprint.workspace}/{fingerprint.text}"


def removed_fingerprints(
    removed: list[tuple[str, object]],
) -> tuple[fingerprints.Fingerprint, ...]:
    """Return the fingerprints in tombstones."""
    return tuple(fingerprint for _, fingerprint in removed)


def removed_names(removed: list[tuple[str, object]]) -> tuple[str, ...]:
    """Return the names of tombstones."""
    return tuple(name for name, _ in removed)
