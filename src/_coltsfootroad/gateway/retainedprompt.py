"""Uses and updates the held prefixes for one request."""

import attrs

from _coltsfootroad.core.placement import heldprefixes
from _coltsfootroad.gateway import engines
from _coltsfootroad.shell import logs

LOG = logs.logger("prefixes")


@attrs.define(eq=False)
class RetainedPrompt:
    """The parts of one exchange's prompt, and its current send.

    Attributes:
        exchange: The exchange; its request must be admitted before use.
        cached_parts: Parts of the prompt, None before first use.
        choice: Choice of the current send until its first event, None if that
            event is not to be recorded.
        sent_at: Time of that send.
    """

    exchange: object
    cached_parts: tuple[heldprefixes.Part, ...] | None = None
    choice: engines.Choice | None = None
    sent_at: float = 0.0

    def parts(self) -> tuple[heldprefixes.Part, ...]:
        """Return the parts whose holders count, none if engines keep none.

        A suspect of the quarantine may end its engine, and must not be drawn to
        the engines of others that share its parts.
        """
        exchange = self.exchange
        engine, prompt = exchange.service.engine, exchange.admitted.prompt
        if engine is None or not engine.retains_prefixes or prompt is None:
            return ()
        guard = exchange.guard
        reporter = exchange.gateway.crash_reporter
        if guard.on_trial or reporter.may_suspect(*guard.size):
            return ()
        if self.cached_parts is None:
            self.cached_parts = heldprefixes.prefix_parts(
                guard.header(),
                exchange.admitted.workspace,
                prompt.prompt_tokens,
            )
        return self.cached_parts

    def begin(self, choice: engines.Choice, now: float) -> None:
        """Begin a send. Split prompts are held in pieces and not recorded."""
        is_resumed = self.exchange.reply.streaming
        self.choice = None if choice.helpers or is_resumed else choice
        self.sent_at = now

    def end(self) -> None:
        """End a send; later events are of other sends."""
        self.choice = None

    def on_events(self, now: float) -> None:
        """Record the prompt at its first event, unless nothing was saved."""
        choice, self.choice = self.choice, None
        parts = self.parts() if choice is not None else ()
        if not parts:
            return
        gateway, known = self.exchange.gateway, choice.endpoint
        if not gateway.endpoints.is_current(known):
            return
        held = gateway.chooser.held
        observed_s = now - self.sent_at
        full_s = choice.predicted_s + choice.factor * choice.saved_s
        is_plausible = held.on_first_event(
            known.name, parts, observed_s, choice.predicted_s, full_s
        )
        if is_plausible:
            held.record(known.name, known.incarnation_key, parts, now)
        LOG.info(
            "prefix recorded" if is_plausible else "prefix not held",
            request=self.exchange.request_id,
            endpoint=known.name,
            tokens=sum(part.tokens for part in parts),
            observed_s=round(observed_s, 3),
            predicted_s=round(choice.predicted_s, 3),
            saved_s=round(choice.saved_s, 3),
        )
