"""Tracks the load of one request on its endpoints for all gateways."""

import attrs

from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.gateway import engines


@attrs.define(eq=False)
class OwnWork:
    """Registers the current send as work at each endpoint that it uses.

    Attributes:
        gateway: The gateway that sends.
        keys: Keys of the work items; the responding endpoint's is the first.
    """

    gateway: object
    keys: list[int] = attrs.Factory(list)

    def begin(
        self,
        choice: engines.Choice,
        prompt: engineplacement.Prompt | None,
        late: bool,
        now: float,
        workspace: str = "",
    ) -> None:
        """Register a send; `late` if it can no longer meet its target."""
        fairness = self.gateway.fairness
        tag = fairness.tag(workspace)
        held = {share.endpoint.name: share.tokens for share in choice.shares}
        known = (choice.endpoint, *choice.helpers)
        for position, endpoint in enumerate(known):
            work = work_lib.WorkItem(endpoint=endpoint.name, sent_at=now)
            work.leads = position == 0
            work.kv_tokens = held.get(endpoint.name, 0)
            if prompt is not None:
                set_prompt_fields(work, prompt, len(known), late)
                work.workspace = tag
                work.queued = bool(tag) and choice.predicted_s > prompt.target_s
            if work.leads and prompt is not None:
                total = prompt.prompt_tokens + prompt.output_tokens
                work.kv_tokens = total - sum(held.values())
            self.keys.append(self.gateway.load.add(work))
            fairness.on_own_work(work, now)
        # Batch slots fill up within milliseconds, so other gateways must know
        # of a prompt at once. Plain endpoints can run two simultaneous calls.
        self.gateway.notify_peers(urgent=prompt is not None)

    def end(self) -> None:
        """Remove the work items of the send, if there are any."""
        if not self.keys:
            return
        for key in self.keys:
            self.gateway.load.remove(key)
        self.keys.clear()
        self.gateway.notify_peers()

    def record_event(self, pause_s: float) -> bool:
        """Record an event after a pause; return whether it was the first."""
        load = self.gateway.load
        work = load.own.get(self.keys[0]) if self.keys else None
        if work is None:
            return False
        if not work.writing:
            for key in self.keys:
                load.own[key].writing = True
                load.mark_changed(key)
            self.gateway.notify_peers()
            return True
        if pause_s > work.gap_target_s > 0:
            # The target is missed already; further pauses cost nothing more.
            work.gap_target_s = 0.0
            load.mark_changed(self.keys[0])
        return False


def set_prompt_fields(
    work: work_lib.WorkItem,
    prompt: engineplacement.Prompt,
    parts: int,
    late: bool,
) -> None:
    """Set the prompt's fields in the work item of one endpoint."""
    work.prompt_tokens = prompt.prompt_tokens
    work.output_tokens = prompt.output_tokens
    work.parts = parts
    work.gap_target_s = prompt.gap_target_s
    work.value = prompt.value
    work.late = late
