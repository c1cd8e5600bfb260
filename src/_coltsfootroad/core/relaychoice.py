"""Chooses the control process that a gateway watches.

Relays of the gateway's availability zone come first, then those of other zones,
then the configured seed addresses. Rendezvous hashing spreads the gateways of a
zone over its relays and moves only the gateways of a lost relay.
"""

import attrs

from _coltsfootroad.core import hashing

# Time for which other relays are preferred after one did not answer or was out
# of date.
RELAY_BACKOFF_S = 2.0
# A relay with an older proof is out of date: it is disconnected from the
# leader, or there is no leader. Well below the age at which a gateway stops
# serving, and above the sum of the delays of two answers.
MAX_RELAY_PROOF_AGE_S = 1.5
RANK_KEY = "relay"


@attrs.define
class RelayChoice:
    """The known control processes and the one in use.

    Attributes:
        gateway: Name of the gateway.
        zone: Availability zone of the gateway.
        seeds: Addresses that were configured or learned since.
        relays: Addresses and zones of the relays, by name.
        backoff_until: End of the backoff by address.
        hint: Address to use next, as named by another process.
        current: Address in use.
        attachment: Number of changes of `current`.
    """

    gateway: str
    zone: str
    seeds: list[str]
    relays: dict[str, tuple[str, str]] = attrs.Factory(dict)
    backoff_until: dict[str, float] = attrs.Factory(dict)
    hint: str = ""
    current: str = ""
    attachment: int = 0

    def learn_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add seed addresses that are not known yet."""
        for address in addresses:
            if address not in self.seeds:
                self.seeds.append(address)

    def learn(self, name: str, address: str, zone: str) -> None:
        """Add or update a relay."""
        self.relays[name] = (address, zone)

    def forget(self, name: str) -> None:
        """Remove a relay."""
        self.relays.pop(name, None)

    def choose(self, now: float) -> str:
        """Return the address to use now."""
        address, self.hint = self.hint, ""
        if not address:
            address = self.first_available(now)
        if address != self.current:
            self.current = address
            self.attachment += 1
        return address

    def first_available(self, now: float) -> str:
        """Return the first address whose backoff has ended or ends first."""
        ranked_addresses = self.ranked_addresses()
        for address in ranked_addresses:
            if self.backoff_until.get(address, now) <= now:
                return address
        return min(ranked_addresses, key=self.backoff_until.__getitem__)

    def ranked_addresses(self) -> list[str]:
        """Return all addresses, the most preferred first."""
        ranked = sorted(self.relays, key=self.rank)
        in_zone = [n for n in ranked if self.relays[n][1] == self.zone]
        elsewhere = [n for n in ranked if self.relays[n][1] != self.zone]
        addresses = [self.relays[name][0] for name in (*in_zone, *elsewhere)]
        seeds = sorted(self.seeds, key=self.rank)
        return addresses + [seed for seed in seeds if seed not in addresses]

    def rank(self, name: str) -> int:
        """Return the rendezvous rank of a relay for this gateway."""
        return hashing.stable_hash(name, RANK_KEY + self.gateway)

    def back_off(self, address: str, now: float) -> None:
        """Prefer other addresses for a while."""
        self.backoff_until = {
            a: at for a, at in self.backoff_until.items() if at > now
        }
        self.backoff_until[address] = now + RELAY_BACKOFF_S

    def follow_hint(self, hint: str, address: str, now: float) -> None:
        """Use the address that a process which cannot answer has named."""
        self.back_off(address, now)
        if hint and self.backoff_until.get(hint, now) <= now:
            self.hint = hint
