"""Sends requests that are suspected of crashes to separate endpoints.

Shuffle sharding: while several requests are suspects of the same crashes, each
endpoint takes at most one of them, chosen by rendezvous hashing of endpoint and
fingerprint. A crash then tells which of them caused it, and the others are
answered meanwhile. Gateways agree without asking each other, and a suspect more
or an endpoint less moves few of the others.
"""

from collections.abc import Collection
from collections.abc import Sequence

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import hashing

Known = endpointset.KnownEndpoint
# Of fewer nobody has to be told apart.
MIN_SUSPECTS = 2
# With a smaller share of the endpoints in use suspects wait for their own.
STORM_SHARE = 0.5


@attrs.define
class Isolation:
    """Which suspect each endpoint takes.

    Attributes:
        suspects: The suspects, cleared ones left out.
        owners: The suspect of each endpoint that was looked at, by start.
    """

    suspects: tuple[fingerprints.Fingerprint, ...] = ()
    owners: dict[str, fingerprints.Fingerprint] = attrs.Factory(dict)

    def update(self, suspects: Collection[fingerprints.Fingerprint]) -> None:
        """Take the suspects that there are now."""
        found = tuple(suspects)
        if found != self.suspects:
            self.suspects = found
            self.owners.clear()

    def isolates(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether a request is kept apart from others."""
        is_suspect = fingerprint in self.suspects
        return is_suspect and len(self.suspects) >= MIN_SUSPECTS

    def select(
        self,
        fingerprint: fingerprints.Fingerprint,
        known: Sequence[Known],
        avoid: set[str],
        now: float,
    ) -> Sequence[Known]:
        """Return the endpoints that a suspect may be sent to, maybe none.

        While most endpoints are down, suspects would all meet at those that
        come back; each then waits for an endpoint that takes it.
        """
        alive = [e for e in known if e.rest_until <= now]
        if len(alive) < len(known) * STORM_SHARE:
            own = {e.name for e in self.taking(fingerprint, known)}
            return [e for e in alive if e.name in own.difference(avoid)]
        usable = [e for e in alive if e.name not in avoid]
        return self.taking(fingerprint, usable or alive)

    def taking(
        self, fingerprint: fingerprints.Fingerprint, among: Sequence[Known]
    ) -> Sequence[Known]:
        """Return the endpoints that take a suspect, one at least if any is."""
        own = [e for e in among if self.owner(e) == fingerprint]
        if own or not among:
            return own
        return [max(among, key=lambda e: score(e, fingerprint))]

    def owner(self, endpoint: Known) -> fingerprints.Fingerprint:
        """Return the suspect that a start of an endpoint takes."""
        key = start_of(endpoint)
        if key not in self.owners:
            self.owners[key] = max(
                self.suspects, key=lambda suspect: score(endpoint, suspect)
            )
        return self.owners[key]


def start_of(endpoint: Known) -> str:
    """Return what names a start of an endpoint."""
    return f"{endpoint.name}#{endpoint.announcement.incarnation}"


def score(endpoint: Known, fingerprint: fingerprints.Fingerprint) -> int:
    """Return how strongly an endpoint attracts a suspect.

    Each start draws anew, so that no suspect has to wait for one endpoint.
    """
    return hashing.stable_hash(start_of(endpoint), fingerprint.text)
