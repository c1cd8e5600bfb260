"""Isolates requests that are suspected of crashes on separate endpoints.

Shuffle sharding: while several requests are suspects of the same crashes, each
endpoint accepts at most one of them, chosen by rendezvous hashing of endpoint
and fingerprint. A crash then identifies the request that caused it, and the
others are answered meanwhile. Gateways agree without coordination, and a
change of one suspect or endpoint reassigns few others.
"""

from collections.abc import Collection
from collections.abc import Sequence

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import hashing

KnownEndpoint = endpointset.KnownEndpoint
# A single suspect needs no isolation.
MIN_SUSPECTS = 2
# With a smaller share of the endpoints alive, a suspect waits for one that is
# assigned to it.
MIN_ALIVE_SHARE = 0.5


@attrs.define
class Isolation:
    """Assigns suspects to endpoints.

    Attributes:
        suspects: The suspects that have not been cleared.
        assignments: Cached suspect of each endpoint, by incarnation key.
    """

    suspects: tuple[fingerprints.Fingerprint, ...] = ()
    assignments: dict[str, fingerprints.Fingerprint] = attrs.Factory(dict)

    def update(self, suspects: Collection[fingerprints.Fingerprint]) -> None:
        """Set the current suspects."""
        found = tuple(suspects)
        if found != self.suspects:
            self.suspects = found
            self.assignments.clear()

    def is_isolated(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether a request is isolated from other suspects."""
        is_suspect = fingerprint in self.suspects
        return is_suspect and len(self.suspects) >= MIN_SUSPECTS

    def select(
        self,
        fingerprint: fingerprints.Fingerprint,
        known: Sequence[KnownEndpoint],
        avoid: set[str],
        now: float,
    ) -> Sequence[KnownEndpoint]:
        """Return the endpoints that a suspect may be sent to, possibly none.

        While most endpoints are down, all suspects would be sent to the few
        that return. Each suspect then waits for an endpoint of its own.
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
        """Return the endpoints assigned to a suspect, one at least if any."""
        own = [e for e in among if self.assigned_suspect(e) == fingerprint]
        if own or not among:
            return own
        return [max(among, key=lambda e: score(e, fingerprint))]

    def assigned_suspect(
        self, endpoint: KnownEndpoint
    ) -> fingerprints.Fingerprint:
        """Return the suspect assigned to an incarnation of an endpoint."""
        key = endpoint.incarnation_key
        if key not in self.assignments:
            self.assignments[key] = max(
                self.suspects, key=lambda suspect: score(endpoint, suspect)
            )
        return self.assignments[key]


def score(
    endpoint: KnownEndpoint, fingerprint: fingerprints.Fingerprint
) -> int:
    """Return the rendezvous score of a suspect on an endpoint.

    It depends on the incarnation: each restart reassigns the endpoint, so that
    no suspect depends on one endpoint.
    """
    return hashing.stable_hash(endpoint.incarnation_key, fingerprint.text)
