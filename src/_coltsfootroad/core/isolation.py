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

KnownEndpoint = endpointset.KnownEndpoint
# Of fewer nobody has to be told apart.
MIN_SUSPECTS = 2
# With a smaller share of the endpoints in use suspects wait for their own.
MIN_ALIVE_SHARE = 0.5


@attrs.define
class Isolation:
    """Which suspect each endpoint takes.

    Attributes:
        suspects: The suspects, cleared ones left out.
        owners: The suspect of each endpoint that was looked at, by start.
    """

    suspects: tuple[fingerprints.Fingerprint, ...] = ()
    assignments: dict[str, fingerprints.Fingerprint] = attrs.Factory(dict)

    def update(self, suspects: Collection[fingerprints.Fingerprint]) -> None:
        """Take the suspects that there are now."""
        found = tuple(suspects)
        if found != self.suspects:
            self.suspects = found
            self.assignments.clear()

    def is_isolated(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether a request is kept apart from others."""
        is_suspect = fingerprint in self.suspects
        return is_suspect and len(self.suspects) >= MIN_SUSPECTS

    def select(
        self,
        fingerprint: fingerprints.Fingerprint,
        known: Sequence[KnownEndpoint],
        avoid: set[str],
        now: float,
    ) -> Sequence[KnownEndpoint]:
        """Return the endpoints that a suspect may be sent to, maybe none.

        While most endpoints are down, suspects would all meet at those that
        come back; each then waits for an endpoint that takes it.
        """
        alive = [e for e in known if e.ejected_until <= now]
        if len(alive) < len(known) * MIN_ALIVE_SHARE:
            own = {e.name for e in self.assigned_endpoints(fingerprint, known)}
            return [e for e in alive if e.name in own.difference(avoid)]
        usable = [e for e in alive if e.name not in avoid]
        return self.assigned_endpoints(fingerprint, usable or alive)

    def assigned_endpoints(
        self,
        fingerprint: fingerprints.Fingerprint,
        among: Sequence[KnownEndpoint],
    ) -> Sequence[KnownEndpoint]:
        """Return the endpoints that take a suspect, one at least if any is."""
        own = [e for e in among if self.assigned_suspect(e) == fingerprint]
        if own or not among:
            return own
        return [max(among, key=lambda e: score(e, fingerprint))]

    def assigned_suspect(
        self, endpoint: KnownEndpoint
    ) -> fingerprints.Fingerprint:
        """Return the suspect that a start of an endpoint takes."""
        key = incarnation_key(endpoint)
        if key not in self.assignments:
            self.assignments[key] = max(
                self.suspects, key=lambda suspect: score(endpoint, suspect)
            )
        return self.assignments[key]


def incarnation_key(endpoint: KnownEndpoint) -> str:
    """Return what names a start of an endpoint."""
    return f"{endpoint.name}#{endpoint.announcement.incarnation}"


def score(
    endpoint: KnownEndpoint, fingerprint: fingerprints.Fingerprint
) -> int:
    """Return how strongly an endpoint attracts a suspect.

    Each start draws anew, so that no suspect has to wait for one endpoint.
    """
    return hashing.stable_hash(incarnation_key(endpoint), fingerprint.text)
