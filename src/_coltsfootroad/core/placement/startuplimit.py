"""Limits the prompts that a gateway sends before it knows the others' load.

When a whole fleet starts at once, each of dozens of gateways holds requests and
sees the first announced engines as idle. Together they would send several times
the prompts that the engines have batch slots for, and the excess would wait for
complete answers or until the caller disconnects. Each gateway therefore fills
only its share of the known slots until it knows the load of the other gateways.
"""

# Share of the known batch slots that all gateways together fill. Gateways
# choose engines independently, so some engines get twice the mean.
FILLED_SLOT_SHARE = 0.5


def max_prompts(slots: int, gateways: int) -> int:
    """Return the number of prompts that one gateway may have in flight.

    It is at least one, as few gateways have a prompt to send at any time.
    """
    if gateways <= 1:
        return slots
    return max(1, int(FILLED_SLOT_SHARE * slots / gateways))
