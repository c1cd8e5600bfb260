"""A simulated fleet in virtual time, with production code and fake engines.

One queue of scheduled calls connects entry cores, the control state and fake
engines, with delays, losses and partitions between them. It does not simulate
the processes and machines of a cluster.
"""

import random

import attrs

from _coltsfootroad.replay import network as network_lib
from _coltsfootroad.replay import simcallers
from _coltsfootroad.replay import simcontrol
from _coltsfootroad.replay import simendpoints
from _coltsfootroad.replay import simentries


@attrs.frozen(eq=False, kw_only=True)
class World:
    """The components of a simulated fleet."""

    network: network_lib.Network
    control: simcontrol.SimControl
    callers: simcallers.SimCallers
    endpoints: simendpoints.SimEndpoints
    entries: simentries.SimEntries


def build(
    rng: random.Random,
    one_way_s: float = 0.001,
    client_one_way_s: float = 0.001,
    report_every_s: float = simendpoints.REPORT_INTERVAL_S,
    plain_s: float = simendpoints.PLAIN_SERVICE_S,
) -> World:
    """Return a fleet without entries and endpoints.

    Args:
        rng: Source of all randomness.
        one_way_s: Delay between processes of the fleet.
        client_one_way_s: Delay between callers and entries.
        report_every_s: Seconds between two load reports of an endpoint.
        plain_s: Seconds that a plain service takes for a call.
    """
    network = network_lib.Network(rng, one_way_s=one_way_s)
    control = simcontrol.SimControl(network)
    callers = simcallers.SimCallers(network, one_way_s=client_one_way_s)
    endpoints = simendpoints.SimEndpoints(
        network, report_every_s=report_every_s, plain_s=plain_s
    )
    entries = simentries.SimEntries(network, control, endpoints, callers)
    callers.entries = entries
    endpoints.entries = entries
    return World(
        network=network,
        control=control,
        callers=callers,
        endpoints=endpoints,
        entries=entries,
    )
