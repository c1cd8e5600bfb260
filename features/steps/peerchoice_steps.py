"""Steps for the choice of the gateway that a request is forwarded to."""

import random

from behave import then

from _coltsfootroad.core import addresses
from _coltsfootroad.core import peerchoice

NOW = 100.0


@then("of g1 {g1}, g2 {g2} and g3 {g3} gateway g0 chooses {chosen}")
def chooses(context, g1, g2, g3, chosen):
    del context
    states = {"g0": "in its zone", "g1": g1, "g2": g2, "g3": g3}
    chooser = peerchoice.PeerChooser("g0", "za", random.Random(1))
    for name, state in states.items():
        if state.startswith("backed off"):
            chooser.back_off(name, NOW - (2.0 if "ago" in state else 0.0))
        if "in flight" in state:
            chooser.in_flight[name] = int(state.split()[1])
    tried = {name for name, state in states.items() if state == "tried"}
    members = [
        addresses.Member(
            entry=name,
            incarnation=1,
            address=f"{name}:1",
            peer_address=f"{name}:2",
            availability_zone="zb" if state == "in another zone" else "za",
            leaving=state == "leaving",
        )
        for name, state in states.items()
    ]
    for _ in range(10):
        found = chooser.choose(members, tried, NOW)
        assert (found.entry if found else "none") == chosen, found
