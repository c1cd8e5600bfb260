"""The cold phase of one incarnation of an endpoint, as a gateway knows it."""

import attrs

from _coltsfootroad.core import registry

NEVER = float("-inf")
# Cold phases last seconds; a longer one is cut off, as it must not outlast the
# endpoint's next announcements by much.
MAX_REMAINING_S = 600.0
# Added to the remaining time that an announcement states: control publishes no
# announcement that moves the end of the phase by up to this much.
COUNTDOWN_MARGIN_S = registry.COLD_END_TOLERANCE_S


@attrs.define
class Coldness:
    """Counts down the cold phase with the gateway's own clock.

    Attributes:
        seq: Number of the newest announcement that was applied.
        started_at: When the endpoint was first known, if its first announcement
            may be late; it then counts as cold for the service's cold start.
        stated_until: End of the phase that the endpoint stated.
    """

    seq: int = -1
    started_at: float = NEVER
    stated_until: float = NEVER

    def restart(self, now: float) -> None:
        """Discard what is known; the endpoint has started again."""
        self.seq = -1
        self.started_at = now
        self.stated_until = NEVER

    def learn(self, announcement: registry.Announcement, now: float) -> None:
        """Apply an announcement unless it is no newer than the last one."""
        if announcement.seq <= self.seq:
            return
        is_first = self.seq < 0
        self.seq = announcement.seq
        if announcement.cold_remaining_s > 0:
            self.stated_until = (
                now + announcement.cold_remaining_s + COUNTDOWN_MARGIN_S
            )
        elif not is_first:
            self.started_at = self.stated_until = NEVER

    def learn_from_response(self, remaining_s: float, now: float) -> None:
        """Apply the remaining time that a response states.

        A response may be older than the newest announcement, so it extends the
        phase and never ends it.
        """
        if remaining_s > 0:
            until = now + min(remaining_s, MAX_REMAINING_S)
            self.stated_until = max(self.stated_until, until)

    def remaining_s(self, cold_start_s: float, now: float) -> float:
        """Return for how long the endpoint counts as cold, 0 if it is warm."""
        end = max(self.stated_until, self.started_at + cold_start_s)
        return max(0.0, end - now)
