"""The work that one request is at its endpoints, told to other gateways."""

import attrs

from _coltsfootroad.core import engineplacement
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.gateway import engines


@attrs.define(eq=False)
class OwnWork:
    """Counts the present send of a request at each endpoint that it uses.

    Attributes:
        gateway: The gateway that sends.
        keys: The work's keys, the endpoint that answers first.
    """

    gateway: object
    keys: list[int] = attrs.Factory(list)

    def begin(
        self,
        choice: engines.Choice,
        prompt: engineplacement.Prompt | None,
        late: bool,
        now: float,
    ) -> None:
        """Count a send; `late` if it cannot meet its aim any more."""
        held = {share.endpoint.name: share.tokens for share in choice.shares}
        known = (choice.endpoint, *choice.helpers)
        for place, endpoint in enumerate(known):
            work = work_lib.Work(endpoint=endpoint.name, sent_at=now)
            work.leads = place == 0
            work.kv_tokens = held.get(endpoint.name, 0)
            if prompt is not None:
                describe(work, prompt, len(known), late)
            if work.leads and prompt is not None:
                whole = prompt.prompt_tokens + prompt.output_tokens
                work.kv_tokens = whole - sum(held.values())
            self.keys.append(self.gateway.load.add(work))
        # Places in batches are taken within milliseconds; plain endpoints
        # have room for two calls that meet.
        self.gateway.tell_peers(urgent=prompt is not None)

    def end(self) -> None:
        """Forget the send, if there is one."""
        if not self.keys:
            return
        for key in self.keys:
            self.gateway.load.remove(key)
        self.keys.clear()
        self.gateway.tell_peers()

    def note_event(self, pause_s: float) -> bool:
        """Note an event after a pause; return whether it was the first."""
        load = self.gateway.load
        work = load.own.get(self.keys[0]) if self.keys else None
        if work is None:
            return False
        if not work.writing:
            for key in self.keys:
                load.own[key].writing = True
                load.touch(key)
            self.gateway.tell_peers()
            return True
        if pause_s > work.gap_target_s > 0:
            # Late already; nothing more is lost by further pauses.
            work.gap_target_s = 0.0
            load.touch(self.keys[0])
        return False


def describe(
    work: work_lib.Work, prompt: engineplacement.Prompt, parts: int, late: bool
) -> None:
    """Say what a prompt is at one of the endpoints that read it."""
    work.prompt_tokens = prompt.prompt_tokens
    work.output_tokens = prompt.output_tokens
    work.parts = parts
    work.gap_target_s = prompt.gap_target_s
    work.value = prompt.value
    work.late = late
