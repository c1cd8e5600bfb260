"""How many prompts a gateway sends while it cannot know what others send.

The pattern it answers: everybody starts at once, with requests that have waited
since. The first engines that announce themselves look idle to each of dozens of
gateways, which hand them several times what they have places for; whoever waits
there then waits for whole answers, or until the caller leaves. So each gateway
fills its part of the places that it knows, until it has heard of the others.
"""

# Part of the known places that all gateways together fill. Each draws engines
# without knowing of the others, so some get twice as many prompts as the mean.
FILLED_SLOT_SHARE = 0.5


def max_prompts(slots: int, gateways: int) -> int:
    """Return how many prompts one of some gateways may have under way.

    At least one: few gateways have anything to send at a moment.
    """
    if gateways <= 1:
        return slots
    return max(1, int(FILLED_SLOT_SHARE * slots / gateways))
