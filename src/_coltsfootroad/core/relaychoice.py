"""Which process of the control state a gateway asks for news.

The relays of its own availability zone come first, then those of others, then
the addresses that it was set up with. Rendezvous spreads the gateways of a
zone over its relays, and moves only those of one that is lost.
"""

import attrs

from _coltsfootroad.core import hashing

# A relay that gave no answer, or an old one, is not asked again for this long
# while another one can be.
RELAY_BACKOFF_S = 2.0
# Age of a relay's proof past which another one is asked: the relay is cut off
# from the leader, or nobody leads. Well below the age at which a gateway stops
# serving, and above what the ways of two answers add up to.
MAX_RELAY_PROOF_AGE_S = 1.5
RANK_KEY = "relay"


@attrs.define
class RelayChoice:
    """The processes that can be asked and which of them is.

    Attributes:
        gateway: Name of the gateway.
        zone: Its availability zone.
        seeds: Addresses that it was set up with or has learned since.
        relays: Addresses and zones of the relays, by name.
        avoided: Until when addresses are not asked again.
        hint: An address that another process named, to be asked next.
        current: The address asked last.
        attachment: How many times it has changed.
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
        """Add addresses that are not known yet."""
        for address in addresses:
            if address not in self.seeds:
                self.seeds.append(address)

    def learn(self, name: str, address: str, zone: str) -> None:
        """Note a relay that is new or has changed."""
        self.relays[name] = (address, zone)

    def forget(self, name: str) -> None:
        """Note that a relay is gone."""
        self.relays.pop(name, None)

    def choose(self, now: float) -> str:
        """Return the address to ask now."""
        address, self.hint = self.hint, ""
        if not address:
            address = self.first_available(now)
        if address != self.current:
            self.current = address
            self.attachment += 1
        return address

    def first_available(self, now: float) -> str:
        """Return the first address that is not avoided, else the next to be."""
        ranked_addresses = self.ranked_addresses()
        for address in ranked_addresses:
            if self.backoff_until.get(address, now) <= now:
                return address
        return min(ranked_addresses, key=self.backoff_until.__getitem__)

    def ranked_addresses(self) -> list[str]:
        """Return all addresses, the most fitting first."""
        ranked = sorted(self.relays, key=self.rank)
        near = [n for n in ranked if self.relays[n][1] == self.zone]
        far = [n for n in ranked if self.relays[n][1] != self.zone]
        addresses = [self.relays[name][0] for name in (*near, *far)]
        seeds = sorted(self.seeds, key=self.rank)
        return addresses + [seed for seed in seeds if seed not in addresses]

    def rank(self, name: str) -> int:
        """Return the place of a relay in this gateway's order."""
        return hashing.stable_hash(name, RANK_KEY + self.gateway)

    def back_off(self, address: str, now: float) -> None:
        """Ask others for a while, if there are any."""
        self.backoff_until = {
            a: at for a, at in self.backoff_until.items() if at > now
        }
        self.backoff_until[address] = now + RELAY_BACKOFF_S

    def follow_hint(self, hint: str, address: str, now: float) -> None:
        """Take the word of a process that cannot answer who can."""
        self.back_off(address, now)
        if hint and self.backoff_until.get(hint, now) <= now:
            self.hint = hint
